use hyper::{Request, Response, StatusCode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

use super::call_handler::{GatewayBody, full_body};
use super::{Result, metrics_page};
use crate::api::{ClientBody, HttpHandler};
use crate::prelude::*;
use crate::telemetry::MetricSet;

/// Metric instruments of a registry daemon; docs/OPERATIONS.md says what to watch.
#[derive(Clone, Debug)]
pub(super) struct RegistryMetrics {
    set: Arc<MetricSet>,
    faults: Counter<u64>,
}

impl RegistryMetrics {
    pub(super) fn new() -> Result<Self> {
        let set = MetricSet::new()?;
        let faults = set
            .meter()
            .u64_counter("savorywalk_registry_faults")
            .with_description("Calls that could not be taken, by what was wrong with them")
            .build();
        Ok(Self {
            set: Arc::new(set),
            faults,
        })
    }

    pub(super) fn meter(&self) -> &Meter {
        self.set.meter()
    }

    pub(super) fn record_rejection(&self, kind: &'static str) {
        self.faults.add(1, &[KeyValue::new("kind", kind)]);
    }
}

impl HttpHandler for RegistryMetrics {
    type Body = GatewayBody;

    async fn handle(&self, request: Request<ClientBody>) -> Response<Self::Body> {
        if request.uri().path() == metrics_page::METRICS_PATH {
            return metrics_page::answer(&self.set);
        }
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        response
    }

    fn refuse_connection(&self, _limit: u32) -> Response<Self::Body> {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}
