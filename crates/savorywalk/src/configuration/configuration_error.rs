use crate::prelude::*;

/// All that is wrong with a configuration; one check names every error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the configuration has {} error(s): {}", errors.len(), joined(errors))]
pub struct ConfigurationReport {
    /// Every error found.
    pub errors: Vec<ConfigurationError>,
}

fn joined(errors: &[ConfigurationError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// One error in a configuration, with the path and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}; {remedy}")]
pub struct ConfigurationError {
    /// Path into the JSON form, such as `pipelines.briefing.stages[0].pool`.
    pub path: String,
    /// What is wrong.
    pub problem: ConfigurationProblem,
    /// What to write instead.
    pub remedy: String,
}

/// What is wrong with a part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationProblem {
    /// Not a configuration in JSON.
    #[error("it can't be read: {0}")]
    Unreadable(String),
    /// A name that must be there is empty or not allowed.
    #[error("bad name {0:?}")]
    BadName(String),
    /// A name points at nothing.
    #[error("no such {kind} {name:?}")]
    Dangling {
        /// Kind of thing that is missing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A number is out of bounds.
    #[error("{0} is out of bounds")]
    OutOfBounds(u64),
    /// A list that must hold something is empty.
    #[error("it is empty")]
    Empty,
    /// A name or token stands twice.
    #[error("{0:?} stands twice")]
    Doubled(String),
    /// Not a token's digest.
    #[error("it is not a SHA-256 in hexadecimal")]
    BadDigest,
}
