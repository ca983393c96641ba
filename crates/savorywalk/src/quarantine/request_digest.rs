use hyper::http::request;
use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Bytes of a digest: nobody finds another request with the same one.
const DIGEST_BYTES: usize = 16;

/// Tells a request by what makes it the same when it is sent again, at whatever entry:
/// its method, its host and path, who sends it, and its body. The identity of one try
/// and the headers that describe it are left out, since a resend has others.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of a request to `host` by `caller`; empty for a caller who shows no key.
    ///
    /// The query counts only without a body: there it is all that tells two requests
    /// from each other.
    pub fn of(head: &request::Parts, host: &str, caller: &str, body: &[u8]) -> Self {
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
            // Lengths keep a part's end from passing for the next one's beginning.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// The digest that `bytes` hold; `None` when their number is another one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The digests that messages hold; what can't be one is passed over.
    pub fn read_all(digests: &[Bytes]) -> impl Iterator<Item = Self> {
        digests.iter().filter_map(|digest| Self::from_bytes(digest))
    }

    /// The form that messages hold.
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
