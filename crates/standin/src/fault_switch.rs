use std::sync::{Mutex, PoisonError};

use crate::EndpointFault;

/// Lets a test or an operator change a stand-in's behaviour while it runs.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    fault: Mutex<EndpointFault>,
}

impl FaultSwitch {
    /// The fault in force.
    pub fn get(&self) -> EndpointFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a fault in force for requests that come from now on; an engine's
    /// slowness holds for what it has in progress, too.
    pub fn set(&self, fault: EndpointFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}
