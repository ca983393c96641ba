use std::pin::pin;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::Result;
use crate::prelude::*;

/// Why a body could not be read as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyFailure {
    #[error("the body has more than {limit} bytes")]
    TooLarge {
        /// What the body may have.
        limit: usize,
    },
    #[error("{0}")]
    Broken(String),
}

/// Reads a body of at most `limit` bytes.
///
/// Its pieces are copied: each is a part of a larger read buffer, and a body of many small ones would
/// keep several times its size. A length that was only declared reserves no memory.
///
/// # Errors
///
/// The limit, as soon as the body exceeds it, or the error of its connection.
pub(crate) async fn collect_body<B>(body: B, limit: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes, Error: std::fmt::Display>,
{
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyFailure::Broken(error.to_string()))?;
        // Trailers carry nothing that is used.
        if let Ok(data) = frame.into_data() {
            if data.len() > limit - whole.len() {
                return Err(BodyFailure::TooLarge { limit });
            }
            whole.extend_from_slice(&data);
        }
        // Frames may be ready for as long as the sender sends: other tasks have their turn.
        tokio::task::coop::consume_budget().await;
    }
    Ok(whole.freeze())
}

#[cfg(test)]
#[path = "whole_body_tests.rs"]
mod tests;
