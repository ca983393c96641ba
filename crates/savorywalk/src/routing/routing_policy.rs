/// Policy by which the endpoint of an attempt is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Least cost of all endpoints of a small pool or of two random ones, by own
    /// outstanding work, reported load and observed health.
    Adaptive,
    /// Round robin; a baseline for measurements.
    RoundRobin,
    /// Fewest own attempts in progress; a baseline for measurements.
    LeastOutstanding,
}

impl RoutingPolicy {
    /// The policy with this name in a settings file; `None` for another name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "adaptive" => Some(Self::Adaptive),
            "round_robin" => Some(Self::RoundRobin),
            "least_outstanding" => Some(Self::LeastOutstanding),
            _ => None,
        }
    }
}
