use miette::Diagnostic;

use crate::prelude::*;

/// All that is wrong with a settings file; one reading names every error.
#[derive(Debug, Error, Diagnostic)]
#[error("the settings have {} error(s)", errors.len())]
pub struct SettingsReport {
    /// Every error found, in the order of the file's schema.
    #[related]
    pub errors: Vec<SettingsError>,
}

/// One error in a settings file, with the place and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("[{section}] {key}: {problem}")]
#[diagnostic(help("{remedy}"))]
pub struct SettingsError {
    /// Section of the INI file.
    pub section: String,
    /// Key in the section; `*` when the whole section is meant.
    pub key: String,
    /// What is wrong.
    pub problem: SettingsProblem,
    /// What to write instead.
    pub remedy: String,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// The file is not INI.
    #[error("the file is not valid INI: {0}")]
    Syntax(String),
    /// No such section.
    #[error("unknown section")]
    UnknownSection,
    /// No such key.
    #[error("unknown key")]
    UnknownKey,
    /// A needed key or section is not there.
    #[error("missing")]
    Missing,
    /// The value can't be read.
    #[error("bad value {0:?}")]
    BadValue(String),
    /// The file or folder that it names can't be used.
    #[error("can't use {path:?}: {reason}")]
    Unusable {
        /// The path, from the folder in which the process runs.
        path: String,
        /// The system's word.
        reason: String,
    },
    /// The value contradicts another one.
    #[error("conflict: {0}")]
    Conflict(String),
}
