use crate::routing::RoutingPolicy;

/// Whether requests pass admission and the pools' queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Estimates, early refusal, fair queues and limits.
    Adaptive,
    /// Everything goes straight on to the endpoints, first come, first served;
    /// for the baselines that measurements compare with.
    Passthrough,
}

impl AdmissionMode {
    /// The mode that goes with a routing policy: a baseline is one as a whole.
    pub fn for_routing(policy: RoutingPolicy) -> Self {
        match policy {
            RoutingPolicy::Adaptive => Self::Adaptive,
            RoutingPolicy::RoundRobin | RoutingPolicy::LeastOutstanding => Self::Passthrough,
        }
    }
}
