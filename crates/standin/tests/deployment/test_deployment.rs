use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, ETAG};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorywalk::configuration::ConfigurationSnapshot;
use savorywalk::entry::EntryDaemon;
use savorywalk::settings;
use savorywalk_standin::{AnnounceTarget, Deployment, EndpointServer, start_announcer, token_for};
use serde_json::Value;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An entry with the roadside configuration, and the stand-ins of two pools.
pub struct TestDeployment {
    pub entry: EntryDaemon,
    pub services: Vec<Arc<EndpointServer>>,
    target: AnnounceTarget,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One HTTP request to the entry.
#[derive(Clone)]
pub struct TestRequest {
    pub method: Method,
    pub path: String,
    pub token: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
pub struct TestReply {
    pub status: u16,
    pub etag: Option<String>,
    pub body: Value,
}

impl TestRequest {
    /// An operator's request.
    pub fn operator(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.into(),
            token: token_for("operator"),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    /// A booking of a tow under an idempotency key.
    pub fn booking(key: &str, input: &str) -> Self {
        Self {
            method: Method::POST,
            path: "/v1/pipelines/book-tow".into(),
            token: token_for("addis-dispatch"),
            headers: vec![("idempotency-key", key.into())],
            body: serde_json::json!({ "input": input }).to_string(),
        }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }
}

impl TestDeployment {
    /// Starts the entry, with no stand-ins yet.
    pub async fn start() -> Self {
        let plan = Deployment::Roadside.plan();
        let configuration = ConfigurationSnapshot::build(1, plan.configuration).unwrap();
        let text = "[node]\nname = entry-1\ndata_center = bole\n\
            [callers]\naddress = 127.0.0.1:0\n[operators]\naddress = 127.0.0.1:0\n\
            [endpoints]\naddress = 127.0.0.1:0\n[entry]\ndrain_notice_ms = 0\n";
        let settings = settings::parse(text).unwrap();
        let entry = EntryDaemon::start(settings, configuration).await.unwrap();
        let target = AnnounceTarget {
            entries: vec![entry.endpoints_address()],
            token: token_for("endpoint"),
            everywhere: true,
            address: None,
        };
        Self {
            entry,
            services: Vec::new(),
            target,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Starts an engine and three workers of the dispatch application.
    pub async fn start_endpoints(&mut self) {
        let plan = Deployment::Roadside.plan();
        let wanted = [
            "engines-1",
            "dispatch-application-1",
            "dispatch-application-2",
        ];
        for planned in plan.endpoints {
            if !wanted.contains(&planned.options.name.as_str()) {
                continue;
            }
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = EndpointServer::start(planned.options, address)
                .await
                .unwrap();
            let server = Arc::new(server);
            start_announcer(&server, self.target.clone());
            self.services.push(server);
        }
        let node = self.entry.node();
        until(|| node.directory().snapshot().endpoints().count() == wanted.len()).await;
    }

    /// Bookings that the dispatch application has run, over all its workers.
    pub fn bookings(&self) -> u64 {
        self.dispatch().map(|server| server.counts().ran()).sum()
    }

    /// Bookings that have arrived at the dispatch application.
    pub fn bookings_seen(&self) -> u64 {
        self.dispatch().map(|server| server.counts().seen()).sum()
    }

    /// Workers of the dispatch application.
    pub fn dispatch(&self) -> impl Iterator<Item = &Arc<EndpointServer>> {
        let pool = "dispatch-application";
        self.services
            .iter()
            .filter(move |server| server.options().pool == pool)
    }

    /// Sends a request to the listener that it is for.
    pub async fn send(&self, request: TestRequest) -> TestReply {
        let address = match request.path.starts_with("/v1/pipelines/") {
            true => self.entry.callers_address(),
            false => self.entry.operators_address(),
        };
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path))
            .header(AUTHORIZATION, format!("Bearer {}", request.token));
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(Bytes::from(request.body))).unwrap();
        let response = self.client.request(request).await.unwrap();
        let etag = response.headers().get(ETAG);
        let etag = etag.map(|tag| tag.to_str().unwrap().to_string());
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body = serde_json::from_slice(&body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned()));
        TestReply { status, etag, body }
    }
}

/// Waits until a condition holds; the test runner's own limit ends it else.
pub async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
