//! Reads what several calls need of a request: token, headers, body.

use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request};
use serde::de::DeserializeOwned;

use super::{ApiError, BodyLimit, ClientBody, Result};
use crate::http_bodies::{BodyFailure, BodyHold, collect_body, parsed_size};
use crate::prelude::*;

/// Scheme of the token; HTTP compares schemes without regard to case.
const BEARER: &str = "bearer";

/// A request without its body.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub method: Method,
    pub path: String,
    pub query: String,
    pub headers: HeaderMap,
}

/// Splits a request into its head and its body.
pub(super) fn split(request: Request<ClientBody>) -> (RequestHead, ClientBody) {
    let (parts, body) = request.into_parts();
    let head = RequestHead {
        method: parts.method,
        path: parts.uri.path().to_string(),
        query: parts.uri.query().unwrap_or_default().to_string(),
        headers: parts.headers,
    };
    (head, body)
}

impl RequestHead {
    /// The bearer token.
    pub(super) fn token(&self) -> Result<&str> {
        self.header(AUTHORIZATION.as_str())?
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(BEARER))
            .map(|(_, token)| token.trim())
            .filter(|token| !token.is_empty())
            .ok_or(ApiError::Unauthorized)
    }

    /// A header as text; it is an error when it is not text.
    pub(super) fn header(&self, name: &str) -> Result<Option<&str>> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let text = value.to_str().map_err(|_| {
            ApiError::InvalidRequest(format!("header {name} is not text; send ASCII"))
        })?;
        Ok(Some(text.trim()))
    }

    /// A number in the query part; it is an error when it is no number.
    pub(super) fn query_number(&self, name: &str) -> Result<Option<u64>> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        let Some((_, text)) = pairs.find(|(key, _)| key == name) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| {
            ApiError::InvalidRequest(format!("{name} is {text:?}; send a whole number"))
        })?;
        Ok(Some(number))
    }

    /// Refuses all methods but `method`.
    pub(super) fn require(&self, method: &Method, name: &'static str) -> Result<()> {
        if self.method == *method {
            return Ok(());
        }
        Err(ApiError::MethodNotAllowed(name))
    }

    /// Size of the headers, in bytes.
    pub(super) fn header_bytes(&self) -> usize {
        let headers = self.headers.iter();
        headers
            .map(|(name, value)| name.as_str().len() + value.len() + 4)
            .sum::<usize>()
            + self.path.len()
            + self.query.len()
    }
}

/// Reads a whole body within `limit`.
pub(super) async fn read_body(body: ClientBody, limit: BodyLimit) -> Result<Bytes> {
    let hold = limit.hold();
    let BodyLimit { bytes, timeout, .. } = limit;
    let collecting = collect_body(body, bytes as usize, hold);
    let Ok(collected) = tokio::time::timeout(timeout, collecting).await else {
        return Err(ApiError::BodyTimeout { timeout });
    };
    collected.map_err(|failure| match failure {
        BodyFailure::MemoryFull(full) => full.into(),
        BodyFailure::TooLarge { .. } => ApiError::BodyTooLarge { limit: bytes },
        BodyFailure::Broken(reason) => ApiError::InvalidRequest(format!(
            "the body could not be read: {reason}; send it again"
        )),
    })
}

/// Reads a JSON body, whose parsed form `hold` has for as long as the value is in use.
pub(super) fn parse_json<T: DeserializeOwned>(body: &[u8], hold: &mut BodyHold) -> Result<T> {
    hold.grow(parsed_size(body))?;
    serde_json::from_slice(body).map_err(|error| {
        ApiError::InvalidRequest(format!(
            "the body is not the JSON that this call takes: {error}; see docs/API.md"
        ))
    })
}
