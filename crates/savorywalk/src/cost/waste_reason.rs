use crate::prelude::*;

/// Why endpoint time gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WasteReason {
    /// An attempt failed, or its request did after it.
    FailedAttempt,
    /// Another attempt of the same stage was faster.
    LostHedge,
    /// The deadline passed.
    Late,
    /// The caller left.
    Cancelled,
}

impl WasteReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [
        Self::FailedAttempt,
        Self::LostHedge,
        Self::Late,
        Self::Cancelled,
    ];

    /// The reason as a metric's label.
    pub fn label(self) -> &'static str {
        match self {
            Self::FailedAttempt => "failed_attempt",
            Self::LostHedge => "lost_hedge",
            Self::Late => "late",
            Self::Cancelled => "cancelled",
        }
    }
}
