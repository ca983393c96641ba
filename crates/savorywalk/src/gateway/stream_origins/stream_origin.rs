use sha2::{Digest, Sha256};

use crate::gateway::PoolMember;
use crate::generated::work;
use crate::prelude::*;

/// Length of a key in bytes; long enough that finding another stream with the same key is
/// infeasible.
const KEY_BYTES: usize = 16;

/// Identifies a stream over a caller's tries and at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(in crate::gateway) struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// The key of a stream of `caller` at `host` whose first event `request_id` brought.
    pub(in crate::gateway) fn new(caller: &str, host: &str, request_id: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [caller, host, request_id] {
            // The length prefix fixes where each part ends.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hasher.finalize()[..KEY_BYTES]);
        Self(key)
    }

    /// Reads a key; `None` if `bytes` doesn't have the length of one.
    pub(in crate::gateway) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    pub(in crate::gateway) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Pool and software version of the endpoint that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct StreamOrigin {
    pub(in crate::gateway) pool: String,
    /// `None` if unknown; then no endpoint may continue the stream.
    pub(in crate::gateway) version: Option<Arc<str>>,
}

/// The origin of all streams of a route during some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct OnlyOrigin {
    pub(in crate::gateway) origin: StreamOrigin,
    pub(in crate::gateway) time: Duration,
}

impl StreamOrigin {
    /// Whether an endpoint of the origin's pool may continue the stream.
    pub(in crate::gateway) fn admits(&self, member: &PoolMember) -> bool {
        self.version.is_some() && self.version == member.version
    }

    pub(super) fn from_message(message: work::StreamOrigin) -> Self {
        let version = message.version;
        Self {
            pool: message.pool,
            version: (!version.is_empty()).then(|| version.into()),
        }
    }

    pub(super) fn to_message(&self) -> work::StreamOrigin {
        work::StreamOrigin {
            pool: self.pool.clone(),
            version: self.version.as_deref().unwrap_or_default().to_string(),
        }
    }
}
