use crate::prelude::*;
use crate::transport::LinkError;

/// Why a daemon of the gateway could not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A section of the settings is missing.
    #[error("the settings have no [{0}] section; add it")]
    MissingSection(&'static str),
    /// A value of the settings can't be used.
    #[error("[{section}] {key} is {value:?}; {remedy}")]
    BadSetting {
        /// Section.
        section: &'static str,
        /// Key.
        key: &'static str,
        /// What it is.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
    /// An address can't be bound.
    #[error("can't listen on {address}: {reason}; write a free address of this VM")]
    Listen {
        /// The address.
        address: String,
        /// What was met.
        reason: String,
    },
    /// The links can't be started.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The system gives no thread.
    #[error("the thread of the links can't be started: {0}; allow this process one more thread")]
    Thread(std::io::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] crate::telemetry::MetricError),
}
