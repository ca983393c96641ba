use std::io;

use thiserror::Error;

/// Why the capacity page could not be made or checked.
#[derive(Debug, Error)]
pub(crate) enum SlopeError {
    /// A file can't be read or written.
    #[error("{file}: {error}")]
    File {
        /// The file.
        file: String,
        /// The system's word.
        error: io::Error,
    },
    /// The slopes are not INI.
    #[error("the slopes are not valid INI: {0}; see the head of docs/measurements/slopes.ini")]
    Syntax(String),
    /// A key is missing or can't be read.
    #[error("[{section}] {key}: missing or bad; see the head of docs/measurements/slopes.ini")]
    BadKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// The page lacks the marks between which the tables stand.
    #[error("docs/CAPACITY.md lacks the line {0:?}; put it back")]
    NoMark(&'static str),
    /// The page's tables differ from what the slopes give.
    #[error("docs/CAPACITY.md differs from the slopes; run `cargo xtask capacity` and commit")]
    Stale,
}
