use crate::prelude::*;

/// When the caller of a refused request may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnTime {
    /// After a delay; nothing is reserved.
    After(Duration),
    /// After a delay, from which on room is reserved.
    Appointed(Duration),
    /// No room is expected in the time that the caller has left.
    Hopeless,
}

impl ReturnTime {
    /// Delay before the return; `None` if a return is of no use.
    pub const fn delay(self) -> Option<Duration> {
        match self {
            Self::After(delay) | Self::Appointed(delay) => Some(delay),
            Self::Hopeless => None,
        }
    }

    /// Name of the kind in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::After(_) => "after",
            Self::Appointed(_) => "appointed",
            Self::Hopeless => "hopeless",
        }
    }
}
