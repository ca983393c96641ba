use super::{MAX_PROMPT_PARTS, PartId, RequestDigest};
use crate::prelude::*;

/// What identifies a request to the quarantine: itself, when it is sent again, and the parts of its
/// prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// The shared parts, [`MAX_PROMPT_PARTS`] at most.
    pub parts: Arc<BTreeSet<PartId>>,
}

impl RequestIdentity {
    /// Creates the identity of a request whose prompt has the parts `prompt`, in order. The last one
    /// belongs to the request or its session and is left out.
    pub fn new(digest: RequestDigest, prompt: impl ExactSizeIterator<Item = u64>) -> Self {
        let shared = prompt.len().saturating_sub(1).min(MAX_PROMPT_PARTS);
        Self {
            digest,
            parts: Arc::new(prompt.take(shared).map(PartId).collect()),
        }
    }
}
