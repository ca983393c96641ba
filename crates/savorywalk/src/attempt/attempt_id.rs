use rand::RngExt;

use crate::prelude::*;

/// Identity of a request: 128 random bits, so that no two entries generate the
/// same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Generates a new identity.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }

    /// Returns the identity as 16 bytes, most significant first.
    pub fn bytes(self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_be_bytes())
    }
}

impl From<u128> for RequestId {
    fn from(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Identity of an attempt. The endpoint echoes it, and an answer that names
/// another attempt is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the stage in its pipeline.
    pub stage: u16,
    /// Number of the attempt at this stage, from 0.
    pub attempt: u16,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}/{}/{}",
            self.request, self.stage, self.attempt
        )
    }
}
