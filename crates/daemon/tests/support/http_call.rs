use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Listeners of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    Callers,
    Operators,
    Endpoints,
}

impl ListenerKind {
    pub const ALL: [Self; 3] = [Self::Callers, Self::Operators, Self::Endpoints];
}

/// One HTTP call, over a connection of its own.
pub struct HttpCall {
    address: SocketAddr,
    method: String,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    http2: bool,
}

/// A whole answer.
#[derive(Debug)]
pub struct HttpAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl HttpCall {
    pub fn new(address: SocketAddr, method: &str, path: &str) -> Self {
        Self {
            address,
            method: method.into(),
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(br#"{"input": "minibus at kilometre 61"}"#),
            http2: false,
        }
    }

    pub fn header(self, name: &str, value: &str) -> Self {
        self.header_bytes(name, value.as_bytes())
    }

    pub fn header_bytes(mut self, name: &str, value: &[u8]) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        let value = HeaderValue::from_bytes(value).unwrap();
        self.headers.insert(name, value);
        self
    }

    pub fn token(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.remove(name);
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Speaks HTTP/2 from the first byte.
    pub fn http2(mut self) -> Self {
        self.http2 = true;
        self
    }

    /// The request, for tests that bring their own connection.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(self.method.as_str())
            .uri(format!("http://{}{}", self.address, self.path))
            .body(Full::new(self.body.clone()))
            .unwrap();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Sends it and gives the answer's head; its body still comes.
    pub async fn open(self) -> Response<Incoming> {
        let client = Client::builder(TokioExecutor::new())
            .http2_only(self.http2)
            .build_http();
        client.request(self.request()).await.unwrap()
    }

    pub async fn send(self) -> HttpAnswer {
        HttpAnswer::read(self.open().await).await
    }
}

impl HttpAnswer {
    pub async fn read(response: Response<Incoming>) -> Self {
        let (parts, body) = response.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        Self {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// `status kind: message` of an error document, whose request id must be
    /// the one in the header.
    pub fn error(&self) -> String {
        let document = self.json();
        let error = &document["error"];
        let id = error["request_id"].as_str().unwrap();
        assert_eq!(id, self.header("savorywalk-request"));
        assert_eq!(id.len(), 32, "{id}");
        let text = |key: &str| error[key].as_str().unwrap().to_string();
        format!("{} {}: {}", self.status, text("kind"), text("message"))
    }
}
