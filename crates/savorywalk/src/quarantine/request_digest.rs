use hyper::http::request;
use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Length of a digest in bytes; long enough that finding another request with the same digest is
/// infeasible.
const DIGEST_BYTES: usize = 16;

/// Identifies a request across resends and entries by a hash of its method, host, path, caller
/// and body. Request ids and headers are left out, since they differ between resends.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request to `host` by `caller`, which is empty for a caller
    /// without a key.
    ///
    /// The query counts only for a request without a body, where nothing else distinguishes
    /// two requests to the same path.
    pub fn from_request(head: &request::Parts, host: &str, caller: &str, body: &[u8]) -> Self {
        let query = match body.is_empty() {
            true => head.uri.query().unwrap_or_default(),
            false => "",
        };
        let parts = [
            head.method.as_str().as_bytes(),
            host.as_bytes(),
            head.uri.path().as_bytes(),
            query.as_bytes(),
            caller.as_bytes(),
            body,
        ];
        let mut hasher = Sha256::new();
        for part in parts {
            // The length prefix fixes where each part ends, so that shifted parts hash differently.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Reads a digest; `None` if `bytes` doesn't have the length of one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Reads the digests of a message and skips those of a wrong length.
    pub fn read_all(digests: &[Bytes]) -> impl Iterator<Item = Self> {
        digests.iter().filter_map(|digest| Self::from_bytes(digest))
    }

    /// The bytes of the digest, as in messages.
    pub fn to_bytes(self) -> Bytes {
        Bytes::copy_from_slice(&self.0)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

#[cfg(test)]
#[path = "request_digest_tests.rs"]
mod tests;
