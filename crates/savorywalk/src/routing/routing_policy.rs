/// How the endpoint of an attempt is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Power of two choices over own outstanding work and reported load.
    Adaptive,
    /// In turn; a baseline for measurements.
    RoundRobin,
    /// Least own outstanding work; a baseline for measurements.
    LeastOutstanding,
}

impl RoutingPolicy {
    /// The policy that a settings file names.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "adaptive" => Some(Self::Adaptive),
            "round_robin" => Some(Self::RoundRobin),
            "least_outstanding" => Some(Self::LeastOutstanding),
            _ => None,
        }
    }
}
