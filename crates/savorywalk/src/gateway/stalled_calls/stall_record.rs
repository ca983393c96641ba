use super::StallEnd;
use crate::gateway::gateway_node::GatewayNode;
use crate::prelude::*;

/// A stall of one call, recorded with its length and how it ended. One that is dropped has ended with
/// its request: the caller has left, or the request was refused.
#[derive(Debug)]
pub(in crate::gateway) struct StallRecord {
    node: Arc<GatewayNode>,
    pool: String,
    request: Arc<str>,
    endpoint: String,
    /// Since when the endpoint has been silent.
    since: Instant,
    end: StallEnd,
}

impl StallRecord {
    /// Records the begin of a stall of a call that has been silent since `since`.
    pub(in crate::gateway) fn begin(
        node: &Arc<GatewayNode>,
        pool: &str,
        request: &Arc<str>,
        endpoint: &str,
        since: Instant,
    ) -> Self {
        node.scores.progress.begin_stall(endpoint);
        log_event!(
            info,
            "call_stalled",
            request = request,
            endpoint = endpoint,
            silent_ms = since.elapsed().as_millis(),
            stalled_endpoints = node.scores.progress.stalled_count()
        );
        Self {
            node: Arc::clone(node),
            pool: pool.to_string(),
            request: Arc::clone(request),
            endpoint: endpoint.to_string(),
            since,
            end: StallEnd::Abandoned,
        }
    }

    /// Records how the stall ended.
    pub(in crate::gateway) fn finish(mut self, end: StallEnd) {
        self.end = end;
    }
}

impl Drop for StallRecord {
    fn drop(&mut self) {
        let silence = self.since.elapsed();
        let progress = &self.node.scores.progress;
        progress.end_stall(&self.endpoint, self.end, silence);
        log_event!(
            info,
            "call_stall_ended",
            request = self.request,
            endpoint = self.endpoint,
            end = self.end.name(),
            silent_ms = silence.as_millis()
        );
        self.node
            .metrics
            .record_stall(&self.pool, self.end, silence);
    }
}
