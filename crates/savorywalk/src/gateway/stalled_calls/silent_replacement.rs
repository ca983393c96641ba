/// When an endpoint that was to replace a silent one was found to be silent itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum SilentReplacement {
    /// Nothing was sent to it.
    BeforeSend,
    /// The request was sent to it, and withdrawn.
    AfterSend,
}

impl SilentReplacement {
    /// Name in logs and metrics.
    pub(in crate::gateway) const fn name(self) -> &'static str {
        match self {
            Self::BeforeSend => "before_send",
            Self::AfterSend => "after_send",
        }
    }
}
