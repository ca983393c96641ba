use rand::RngExt;

use crate::prelude::*;

/// Identity of a request, random so that no two entries ever give the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// A new identity.
    pub fn random() -> Self {
        Self(rand::rng().random())
    }

    /// The identity as 16 bytes.
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

/// Identity of an attempt; an endpoint echoes it, and a reply that names
/// another one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
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
