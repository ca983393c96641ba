use std::pin::pin;

use http_body_util::BodyExt;
use hyper::body::Body;

use super::{BodyHold, MemoryFull, Result};
use crate::prelude::*;

/// Time without a byte after which a body leaves its room to others while memory is short.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Capacity of the first block of a body whose length is not known to be smaller.
const FIRST_CAPACITY: usize = 64 << 10;

/// Factor by which the block of a body grows.
const GROWTH: usize = 4;

/// Why a body could not be read as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyFailure {
    #[error("the body has more than {limit} bytes")]
    TooLarge {
        /// What the body may have.
        limit: usize,
    },
    #[error(transparent)]
    MemoryFull(#[from] MemoryFull),
    #[error("{0}")]
    Broken(String),
}

/// A body with the memory that it holds.
struct HeldBody {
    data: Vec<u8>,
    _hold: BodyHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// Reads a body of at most `limit` bytes. `hold` grows before the bytes are kept, and is released
/// with the last copy of the returned body.
///
/// Its pieces are copied: each is a part of a larger read buffer, and a body of many small ones would
/// keep several times its size. A length that was only declared holds no memory.
///
/// # Errors
///
/// The limit, as soon as the body exceeds it or announces that it will; likewise if the body does not
/// fit beside others, or makes no progress while memory is short; or the error of its connection.
pub(crate) async fn collect_body<B>(body: B, limit: usize, mut hold: BodyHold) -> Result<Bytes>
where
    B: Body<Data = Bytes, Error: std::fmt::Display>,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyFailure::TooLarge { limit });
    }
    hold.check_room(announced)?;
    let expected = body.size_hint().exact().map_or(limit, |_| announced);
    let mut body = pin!(body);
    let mut whole = Vec::new();
    loop {
        let Ok(frame) = tokio::time::timeout(STALL_TIME, body.frame()).await else {
            hold.check_stalled()?;
            continue;
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| BodyFailure::Broken(error.to_string()))?;
        // Trailers carry nothing that is used.
        if let Ok(data) = frame.into_data() {
            if data.len() > limit - whole.len() {
                return Err(BodyFailure::TooLarge { limit });
            }
            hold.grow(data.len())?;
            reserve(&mut whole, data.len(), expected);
            whole.extend_from_slice(&data);
        }
        // Frames may be ready for as long as the sender sends: other tasks have their turn.
        tokio::task::coop::consume_budget().await;
    }
    Ok(Bytes::from_owner(HeldBody {
        data: whole,
        _hold: hold,
    }))
}

/// Makes room for `more` bytes. Blocks grow in few steps, since each leaves a gap of its size, and no
/// further than to the expected size.
fn reserve(whole: &mut Vec<u8>, more: usize, expected: usize) {
    let needed = whole.len() + more;
    if needed <= whole.capacity() {
        return;
    }
    let grown = (whole.capacity() * GROWTH).max(FIRST_CAPACITY);
    let capacity = grown.min(expected).max(needed);
    whole.reserve_exact(capacity - whole.len());
}

#[cfg(test)]
#[path = "whole_body_tests.rs"]
mod tests;
