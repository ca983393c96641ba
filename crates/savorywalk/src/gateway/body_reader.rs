use crate::api::ClientBody;
use crate::http_bodies::{BodyFailure, BodyHold, MemoryFull, collect_body, parsed_size};
use crate::prelude::*;

/// Why a caller's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive in time.
    TimedOut,
    /// It does not fit beside other bodies, or made no progress while they needed its room.
    MemoryFull,
    /// The connection failed, or the caller sent an invalid body.
    Failed,
}

impl From<MemoryFull> for BodyReadError {
    fn from(full: MemoryFull) -> Self {
        match full.is_permanent() {
            true => Self::TooLarge,
            false => Self::MemoryFull,
        }
    }
}

/// Holds the memory that a JSON body takes while it is parsed, in addition to what `hold` has.
pub(super) fn hold_parsed(body: &[u8], mut hold: BodyHold) -> Result<BodyHold, BodyReadError> {
    hold.grow(parsed_size(body))?;
    Ok(hold)
}

/// Reads a complete body of at most `max_bytes` within `timeout`, so that it can be sent
/// more than once. `hold` grows with the body, and is released with its last copy.
pub(super) async fn read(
    body: ClientBody,
    max_bytes: u64,
    timeout: Duration,
    hold: BodyHold,
) -> Result<Bytes, BodyReadError> {
    match tokio::time::timeout(timeout, collect_body(body, max_bytes as usize, hold)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyFailure::TooLarge { .. })) => Err(BodyReadError::TooLarge),
        Ok(Err(BodyFailure::MemoryFull(full))) => Err(full.into()),
        Ok(Err(BodyFailure::Broken(_))) => Err(BodyReadError::Failed),
        Err(_) => Err(BodyReadError::TimedOut),
    }
}
