/// Permission to send one call to an endpoint. Each is used for one call, so no request is sent again
/// without a retry from the budget.
#[derive(Debug)]
#[must_use]
pub(in crate::gateway) struct SendToken(());

impl SendToken {
    /// The token of a call that is counted.
    pub(super) fn counted() -> Self {
        Self(())
    }

    /// The token of a call with pieces, of which those that were sent before have retries.
    pub(super) fn for_pieces() -> Self {
        Self(())
    }

    /// The token of a call that releases results, which is no request.
    pub(in crate::gateway) fn for_release() -> Self {
        Self(())
    }
}
