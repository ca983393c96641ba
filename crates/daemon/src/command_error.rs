use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use savorywalk::configuration::ConfigurationReport;
use savorywalk::entry::EntryError;
use savorywalk::settings::SettingsReport;
use savorywalk::transport::KeyError;
use savorywalk_standin::StandinError;
use thiserror::Error;

use crate::check_report::CheckReport;
use crate::operator_error::OperatorError;

/// Exit code when what the user wrote is wrong; the argument parser's too.
const WRONG_INPUT: u8 = 2;
/// Exit code of any other failure.
const FAILED: u8 = 1;

/// Why a command failed; each message names the remedy.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("can't read {}: {error}", file.display())]
    #[diagnostic(help("name a file that exists and that this user may read"))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// The settings, or what they point at, are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Check(#[from] CheckReport),
    /// The settings that a command made itself are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsReport),
    /// A daemon that finds the others by seeds could not start.
    #[error(transparent)]
    #[diagnostic(help("see docs/operators/run-on-a-platform.md"))]
    Gateway(#[from] savorywalk::gateway::GatewayError),
    /// The configuration is wrong.
    #[error(transparent)]
    #[diagnostic(help("correct the configuration file that [entry] names"))]
    Configuration(#[from] ConfigurationReport),
    /// No such deployment.
    #[error("no deployment {0:?}")]
    #[diagnostic(help("use roadside or airport"))]
    Deployment(String),
    /// No such pool in the deployment.
    #[error("no pool {pool:?} in this deployment")]
    #[diagnostic(help("use one of: {known}"))]
    Pool {
        /// The name given.
        pool: String,
        /// The names there are.
        known: String,
    },
    /// The report could not be written.
    #[error("can't write the report: {0}")]
    #[diagnostic(help("make room where standard output goes, or send it elsewhere"))]
    Output(io::Error),
    /// The daemon could not start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A stand-in could not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A key or certificate could not be made.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Keys(#[from] KeyError),
    /// Signals can't be waited for.
    #[error("can't wait for signals: {0}")]
    #[diagnostic(help("start the daemon as an ordinary process"))]
    Signals(io::Error),
    /// Not every request of a demo was answered whole and in time.
    #[error("{0} request(s) of the demo were not answered whole and in time")]
    #[diagnostic(help("run it again with SAVORYWALK_LOG=debug and read the log"))]
    DemoFailed(usize),
    /// An operator's command failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] OperatorError),
    /// Requests were cut by a stop.
    #[error("requests were still in progress when the drain timed out")]
    #[diagnostic(help("raise drain_timeout_ms in [entry]"))]
    DrainTimedOut,
}

impl CommandError {
    /// The exit code: 2 when what the user wrote is wrong, else 1.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreadable { .. }
            | Self::Check(_)
            | Self::Settings(_)
            | Self::Configuration(_)
            | Self::Deployment(_)
            | Self::Keys(_)
            | Self::Pool { .. } => WRONG_INPUT,
            Self::Operator(error) if error.is_wrong_input() => WRONG_INPUT,
            Self::Operator(_)
            | Self::Output(_)
            | Self::Entry(_)
            | Self::Gateway(_)
            | Self::Standin(_)
            | Self::Signals(_)
            | Self::DemoFailed(_)
            | Self::DrainTimedOut => FAILED,
        }
    }
}
