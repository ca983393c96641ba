//! Operators' calls: configuration and status.

use hyper::header::{ETAG, HeaderValue};
use hyper::{Method, StatusCode};

use super::request_parts::RequestHead;
use super::{ApiError, ApiResponse, Result, response_body};
use crate::entry::EntryNode;

pub(super) fn handle(node: &EntryNode, head: &RequestHead) -> Result<ApiResponse> {
    let configuration = node.configuration().load();
    let operator = configuration.operator_of(head.token()?);
    operator.ok_or(ApiError::Unauthorized)?;
    match head.path.as_str() {
        "/v1/config" => {
            head.require(&Method::GET, "GET")?;
            let mut response = response_body::json(StatusCode::OK, &configuration.source);
            if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", configuration.version)) {
                response.headers_mut().insert(ETAG, tag);
            }
            Ok(response)
        }
        "/v1/status" => {
            head.require(&Method::GET, "GET")?;
            Ok(response_body::json(StatusCode::OK, &node.status()))
        }
        _ => {
            let message = "no such path; operators use /v1/config and /v1/status";
            Err(ApiError::NotFound(message.into()))
        }
    }
}
