use crate::control::ControlError;
use crate::prelude::*;
use crate::transport::LinkError;

/// Why the registry could not do what it was asked.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// No majority of voters can be reached for now.
    #[error("control can't decide now: {0}; ask again in a second, at any control daemon")]
    Unavailable(String),
    /// It is not said by the endpoint that it speaks of.
    #[error("not from the endpoint itself: {0}")]
    Foreign(String),
    /// Neither the settings nor endpoints name the data centre.
    #[error("data centre {name} is not known; name one of: {known}")]
    UnknownDataCenter {
        /// As it was named.
        name: String,
        /// Those that are known, separated by commas.
        known: String,
    },
    /// No endpoint that lives would give way to a new one.
    #[error("{0} endpoints are listed; raise max_endpoints of [registry] at every control daemon")]
    Full(usize),
    /// The links can't be used.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The voter can't be used.
    #[error(transparent)]
    Control(#[from] ControlError),
}
