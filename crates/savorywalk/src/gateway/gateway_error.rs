use crate::prelude::*;
use crate::transport::LinkError;

/// Why a daemon of the gateway could not start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A required section of the settings is missing.
    #[error("the settings have no [{0}] section; add it")]
    MissingSection(&'static str),
    /// A value in the settings can't be used.
    #[error("[{section}] {key} is {value:?}; {remedy}")]
    BadSetting {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// The rejected value, as text.
        value: String,
        /// What to write instead.
        remedy: &'static str,
    },
    /// A listener can't be bound to its address.
    #[error("can't listen on {address}: {reason}; write a free address of this VM")]
    Listen {
        /// The address, as configured.
        address: String,
        /// Error of the bind attempt, as text.
        reason: String,
    },
    /// The links can't be started.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The operating system can't start another thread.
    #[error("the thread of the links can't be started: {0}; allow this process one more thread")]
    Thread(std::io::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] crate::telemetry::MetricError),
}
