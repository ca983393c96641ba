use std::sync::{Mutex, PoisonError};

/// How a stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum EndpointFault {
    /// It does not.
    #[default]
    None,
    /// It takes this many times as long.
    Slow(f64),
    /// It refuses and says that it ran nothing.
    Refuse,
    /// It runs the request, then answers with status 500.
    Fail,
    /// It cuts its answer in the middle.
    Cut,
    /// It takes the request and never answers.
    Silent,
    /// It answers for another attempt.
    Crossed,
}

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

    /// Puts a fault in force for requests that come from now on.
    pub fn set(&self, fault: EndpointFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}
