use crate::control::ControlError;
use crate::prelude::*;
use crate::transport::LinkError;

/// Reason why a call to the registry failed.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// No majority of voters can be reached now; the call may be retried.
    #[error("control can't decide now: {0}; ask again in a second, at any control daemon")]
    Unavailable(String),
    /// The report was not sent by the endpoint that it names: that endpoint is listed at
    /// another address, pool or data centre.
    #[error("not from the endpoint itself: {0}")]
    Relocated(String),
    /// The data centre is named neither by the settings nor by any listed endpoint.
    #[error("data centre {name} is not known; name one of: {known}")]
    UnknownDataCenter {
        /// Name of the data centre in the call.
        name: String,
        /// Names of all known data centres, separated by commas.
        known: String,
    },
    /// The table is full and none of its endpoints may be removed for a new one; holds the
    /// maximum number of endpoints.
    #[error("{0} endpoints are listed; raise max_endpoints of [registry] at every control daemon")]
    Full(usize),
    /// A message or call over the links to other daemons failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The voter of this daemon failed.
    #[error(transparent)]
    Control(#[from] ControlError),
}
