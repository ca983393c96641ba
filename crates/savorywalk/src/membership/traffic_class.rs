/// Class of traffic for the byte budget. Earlier classes have a higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TrafficClass {
    /// Notices that an endpoint accepts no more work; never held back.
    Leave,
    /// Probes and updates of the membership protocol.
    Membership,
    /// Details of endpoints and renewals of their leases.
    EndpointState,
    /// Capacity used by workspaces.
    Usage,
    /// Load of endpoints, and pool totals of other regions.
    Load,
}

impl TrafficClass {
    /// All classes, the highest priority first.
    pub const ALL: [Self; 5] = [
        Self::Leave,
        Self::Membership,
        Self::EndpointState,
        Self::Usage,
        Self::Load,
    ];

    /// Value of the class label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leave => "leave",
            Self::Membership => "membership",
            Self::EndpointState => "endpoint_state",
            Self::Usage => "usage",
            Self::Load => "load",
        }
    }
}
