use std::path::PathBuf;

use miette::Diagnostic;
use savorywalk::configuration::ConfigurationError;
use savorywalk::settings::SettingsError;
use thiserror::Error;

/// All that is wrong with a settings file and with what it points at.
#[derive(Debug, Error, Diagnostic)]
#[error("{} has {} error(s)", file.display(), problems.len())]
#[diagnostic(help(
    "`savorywalk check --settings -` lists every key; samples/ has files that work"
))]
pub(crate) struct CheckReport {
    /// The settings file.
    pub(crate) file: PathBuf,
    /// Every error found.
    #[related]
    pub(crate) problems: Vec<CheckProblem>,
}

/// One error, with its place and its remedy.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CheckProblem {
    /// In the settings themselves, or in a path that they name.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Setting(#[from] SettingsError),
    /// In a configuration file.
    #[error("[{section}] configuration: {}: {}: {}", file.display(), error.path, error.problem)]
    #[diagnostic(help("{}", error.remedy))]
    Configuration {
        /// Section that names the file.
        section: &'static str,
        /// The file.
        file: PathBuf,
        /// The error.
        error: ConfigurationError,
    },
}
