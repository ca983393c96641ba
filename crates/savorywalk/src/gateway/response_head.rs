use super::EndpointHead;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use crate::prelude::*;
use crate::registry::{BootClock, BootTime};

/// Endpoint state that endpoints report in the heads of their responses, for calls of every
/// kind.
impl GatewayNode {
    /// Records the rate limit, the back-off and the leaving state in the response to a request
    /// sent at `sent`.
    pub(super) fn record_response_head(
        &self,
        pool: &str,
        endpoint: &str,
        sent: BootTime,
        head: &EndpointHead,
    ) {
        if head.is_other_incarnation {
            return;
        }
        self.record_advertised_rate(pool, endpoint, sent, head);
        let now = BootClock.now();
        if head.is_leaving && self.availability.mark_leaving(now, endpoint) {
            log_event!(info, "endpoint_leaving", pool = pool, endpoint = endpoint);
        }
        if let Some(until) = self.availability.back_off(now, endpoint, head.backoff) {
            self.metrics.record_backoff(pool);
            log_event!(
                info,
                "endpoint_backed_off",
                pool = pool,
                endpoint = endpoint,
                requested = format!("{:?}", head.backoff),
                ms = until.since(now).as_millis()
            );
        }
    }

    /// Whether this entry may send requests to an endpoint.
    pub(super) fn is_available(&self, endpoint: &str) -> bool {
        self.availability.is_available(BootClock.now(), endpoint)
    }

    /// Endpoints of a pool that this entry must not send requests to.
    pub(super) fn unavailable_endpoints(&self, view: &GatewayView, pool: &str) -> Vec<String> {
        let members = view.roster.pool(pool).iter();
        let endpoints = members.map(|member| member.endpoint());
        let unavailable = endpoints.filter(|endpoint| !self.is_available(endpoint));
        unavailable.map(String::from).collect()
    }
}
