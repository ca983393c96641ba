/// Why a request or a piece is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) enum RepeatReason {
    /// The endpoint rejected it without running it.
    Denied,
    /// Results of its stages were no longer stored.
    InputsGone,
    /// The endpoint answered with an error.
    Failed,
    /// No usable answer came back.
    Lost,
    /// The endpoint has been silent for long.
    Stalled,
    /// The endpoint had closed the cached connection.
    StaleConnection,
    /// A stream continues at another endpoint.
    Resumed,
    /// Another entry may have sent the pieces before it was lost, or the stage is executed again.
    Rerun,
}

impl RepeatReason {
    /// Name of the reason in logs and metrics.
    pub(in crate::gateway) const fn name(self) -> &'static str {
        match self {
            Self::Denied => "denied",
            Self::InputsGone => "inputs_gone",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Stalled => "stalled",
            Self::StaleConnection => "stale_connection",
            Self::Resumed => "resumed",
            Self::Rerun => "rerun",
        }
    }
}
