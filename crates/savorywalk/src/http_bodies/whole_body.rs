use std::pin::pin;

use http_body_util::BodyExt;
use hyper::body::Body;

use super::body_buffer::BodyBuffer;
use super::{BodyHold, MemoryFull, Result};
use crate::prelude::*;

/// Time without a byte after which a body leaves its room to others while memory is short, and its
/// connection its place while all are taken.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(1);

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
    data: BodyBuffer,
    _hold: BodyHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
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
    let most = body.size_hint().exact().map_or(limit, |_| announced);
    let mut body = pin!(body);
    let mut whole = BodyBuffer::new(announced);
    loop {
        let Ok(frame) = tokio::time::timeout(STALL_TIME, body.frame()).await else {
            hold.check_stalled()?;
            continue;
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| BodyFailure::Broken(error.to_string()))?;
        // Trailers carry nothing that is used.
        if let Ok(data) = frame.into_data() {
            if data.len() > most - whole.len() {
                return Err(BodyFailure::TooLarge { limit });
            }
            hold.grow(data.len())?;
            let pushed = whole.push(&data, most);
            pushed.map_err(|error| BodyFailure::Broken(error.to_string()))?;
        }
        // Frames may be ready for as long as the sender sends: other tasks have their turn.
        tokio::task::coop::consume_budget().await;
    }
    Ok(Bytes::from_owner(HeldBody {
        data: whole,
        _hold: hold,
    }))
}

#[cfg(test)]
#[path = "whole_body_tests.rs"]
mod tests;
