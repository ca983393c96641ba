use crate::routing::RoutingPolicy;

/// Whether requests go through admission and the pools' queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Requests are admitted by estimate, queued fairly and limited per pool.
    Adaptive,
    /// Requests go to the endpoints directly, in order of arrival. Used by the baselines of
    /// measurements.
    Passthrough,
}

impl AdmissionMode {
    /// The mode for a routing policy. The baseline policies run without admission, too.
    pub fn for_routing(policy: RoutingPolicy) -> Self {
        match policy {
            RoutingPolicy::Adaptive => Self::Adaptive,
            RoutingPolicy::RoundRobin | RoutingPolicy::LeastOutstanding => Self::Passthrough,
        }
    }
}
