use savorywalk::prelude::*;
use serde_json::Value;

/// The answer to a call with pieces.
pub(crate) struct PieceAnswer {
    /// The pieces, as request, stage and number.
    pub(crate) units: Vec<String>,
    /// Body with a handle for each piece.
    pub(crate) answer: String,
}

/// Answers a call with pieces at the endpoint with `address`; `None` if the call is not one.
pub(crate) fn piece_answer(body: &str, address: SocketAddr) -> Option<PieceAnswer> {
    let call: Value = serde_json::from_str(body).ok()?;
    let items = call["items"].as_array()?;
    let units = items
        .iter()
        .map(|item| format!("{}/{}/{}", item["id"], item["stage"], item["segment"]));
    let handle = format!(r#"{{"handle":"{address}/1"}}"#);
    let handles = vec![handle; items.len()].join(",");
    Some(PieceAnswer {
        units: units.collect(),
        answer: format!(r#"{{"items":[{handles}]}}"#),
    })
}

/// An endpoint's answer with a length. Each line of `headers` ends with a line break.
pub(crate) fn endpoint_answer(status: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
