use hyper::{Response, StatusCode};

use super::call_handler::{GatewayBody, full_body};
use crate::prelude::*;
use crate::telemetry::MetricSet;

/// Path of the metrics on all listeners that serve them.
pub(super) const METRICS_PATH: &str = "/metrics";

/// Returns the metrics of a daemon in text format.
pub(super) fn answer(metrics: &MetricSet) -> Response<GatewayBody> {
    match metrics.text() {
        Ok(text) => Response::new(full_body(text.into())),
        Err(error) => {
            log_event!(error, "metrics_not_written", reason = error);
            let mut response = Response::new(full_body(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
