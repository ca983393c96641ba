use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use savorywalk::configuration::ConfigurationReport;
use savorywalk::entry::EntryError;
use savorywalk::settings::SettingsReport;
use savorywalk_standin::StandinError;
use thiserror::Error;

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
    /// The settings are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsReport),
    /// The configuration is wrong.
    #[error(transparent)]
    #[diagnostic(help("correct the configuration file that [entry] names"))]
    Configuration(#[from] ConfigurationReport),
    /// No such deployment.
    #[error("no deployment {0:?}")]
    #[diagnostic(help("use roadside or airport"))]
    Deployment(String),
    /// The daemon could not start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A stand-in could not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// Signals can't be waited for.
    #[error("can't wait for signals: {0}")]
    #[diagnostic(help("start the daemon as an ordinary process"))]
    Signals(io::Error),
    /// Not every request of a demo was answered whole and in time.
    #[error("{0} request(s) of the demo were not answered whole and in time")]
    #[diagnostic(help("run it again with SAVORYWALK_LOG=debug and read the log"))]
    DemoFailed(usize),
    /// Requests were cut by a stop.
    #[error("requests were still in progress when the drain timed out")]
    #[diagnostic(help("raise drain_timeout_ms in [entry]"))]
    DrainTimedOut,
}
