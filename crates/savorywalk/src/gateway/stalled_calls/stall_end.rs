/// How the stall of a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum StallEnd {
    /// The endpoint went on.
    WentOn,
    /// Another endpoint took its place.
    Replaced,
    /// The call failed, or its time was over.
    Failed,
    /// The request ended first.
    Abandoned,
}

impl StallEnd {
    /// Name of the end in logs and metrics.
    pub(in crate::gateway) const fn name(self) -> &'static str {
        match self {
            Self::WentOn => "went_on",
            Self::Replaced => "replaced",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
        }
    }
}
