use crate::prelude::*;

/// Whether an entry may rely on the configuration in force at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerStanding {
    /// It has not yet learnt the newest version; it is not ready.
    Learning,
    /// The version was confirmed lately.
    Confirmed,
    /// It can't be confirmed, and nobody's can: control has no quorum, so no
    /// change can be accepted. The entry goes on.
    NoQuorum,
    /// It can't be confirmed here, and may be at others. The entry admits
    /// nothing.
    Stale,
}

impl FollowerStanding {
    /// Whether requests may be admitted.
    pub fn admits(self) -> bool {
        match self {
            Self::Confirmed | Self::NoQuorum => true,
            Self::Learning | Self::Stale => false,
        }
    }
}

impl fmt::Display for FollowerStanding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Learning => "learning",
            Self::Confirmed => "confirmed",
            Self::NoQuorum => "no_quorum",
            Self::Stale => "stale",
        })
    }
}
