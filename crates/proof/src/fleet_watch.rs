use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorywalk::prelude::*;
use savorywalk_standin::token_for;
use serde_json::Value;

use crate::EntryFleet;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads the status of the running entries as an operator.
pub(crate) struct FleetWatch<'a> {
    fleet: &'a EntryFleet,
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// Cost of one stage at one entry.
pub(crate) struct StageCost {
    pub(crate) stage: String,
    pub(crate) endpoint_seconds: f64,
    pub(crate) wasted_seconds: f64,
}

/// Waits until an entry tells the balancer that it is ready.
pub(crate) async fn wait_until_ready(callers: SocketAddr) {
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    loop {
        let request = Request::get(format!("http://{callers}/readyz")).body(Empty::new());
        if let Ok(request) = request
            && let Ok(response) = client.request(request).await
            && response.status().is_success()
        {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl<'a> FleetWatch<'a> {
    pub(crate) fn new(fleet: &'a EntryFleet) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { fleet, client }
    }

    /// Waits until every running entry knows `count` endpoints.
    pub(crate) async fn wait_for_endpoints(&self, count: usize) {
        for (_, addresses) in self.fleet.routes() {
            while self.known_endpoints(addresses.operators).await < count {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn known_endpoints(&self, operators: SocketAddr) -> usize {
        let status = self.status(operators).await.unwrap_or_default();
        status["endpoints"].as_array().map_or(0, Vec::len)
    }

    /// Costs of all running entries.
    pub(crate) async fn costs(&self) -> Vec<StageCost> {
        let mut costs = Vec::new();
        for (_, addresses) in self.fleet.routes() {
            let status = self.status(addresses.operators).await.unwrap_or_default();
            let lines = status["costs"].as_array().cloned().unwrap_or_default();
            costs.extend(lines.iter().map(|line| StageCost {
                stage: line["stage"].as_str().unwrap_or_default().to_string(),
                endpoint_seconds: line["endpoint_seconds"].as_f64().unwrap_or_default(),
                wasted_seconds: line["wasted_seconds"].as_f64().unwrap_or_default(),
            }));
        }
        costs
    }

    async fn status(&self, operators: SocketAddr) -> Option<Value> {
        let request = Request::get(format!("http://{operators}/v1/status"))
            .header(AUTHORIZATION, format!("Bearer {}", token_for("operator")))
            .body(Empty::new())
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}
