use hyper::body::Incoming;

use super::endpoint_call::EndpointCall;
use super::event_body::{EventBody, EventRead};
use super::event_buffer::EventBuffer;
use super::forward_attempt::{OpenAnswer, is_delimited};
use super::forward_run::ForwardRun;
use super::gateway_node::GatewayNode;
use super::stalled_calls::{FrameKind, ProgressGuard, StreamProgress};
use super::stream_end::EndProof;
use crate::prelude::*;
use crate::routing::OutstandingGuard;

/// The endpoint's side of a stream.
pub(super) struct StreamSource {
    /// Whether the stream shows where it ends.
    pub(super) is_delimited: bool,
    /// Whether the endpoint has sent an event.
    pub(super) has_events: bool,
    pub(super) endpoint: String,
    pub(super) version: Option<Arc<str>>,
    pub(super) started: Instant,
    body: EventBody<Incoming>,
    /// Dropped before another endpoint resumes the stream, so that the two never work on
    /// the same request.
    call: Option<EndpointCall>,
    outstanding_guard: Option<OutstandingGuard>,
    progress_guard: Option<ProgressGuard>,
    node: Arc<GatewayNode>,
    request: Arc<str>,
    pool: String,
}

impl StreamSource {
    /// Begins to read the answer to the request of `run`.
    pub(super) fn new(run: &ForwardRun, open: OpenAnswer) -> Self {
        let (head, body) = open.response.into_parts();
        Self {
            is_delimited: is_delimited(&head.headers),
            has_events: false,
            endpoint: open.endpoint,
            version: open.version,
            started: open.started,
            body: EventBody::new(body, open.early, EndProof::of(&head)),
            call: Some(open.call),
            outstanding_guard: Some(open.guard),
            progress_guard: Some(open.progress),
            node: Arc::clone(&run.node),
            request: Arc::clone(&run.context.id),
            pool: run.context.pool.clone(),
        }
    }

    /// Reads until something has arrived that callers get. Cancelling the read loses nothing.
    pub(super) async fn read(&mut self, buffer: &mut EventBuffer) -> EventRead {
        let Self {
            body,
            progress_guard,
            node,
            request,
            pool,
            endpoint,
            ..
        } = self;
        let record = |kind, progress: &StreamProgress| match kind {
            FrameKind::Progress => {
                if let Some(guard) = progress_guard {
                    guard.record_heard();
                }
            }
            FrameKind::Partial { is_due } => {
                node.metrics.record_partial_frame(pool);
                if is_due {
                    log_event!(
                        info,
                        "events_in_pieces",
                        request = request,
                        endpoint = endpoint,
                        partial_frames = progress.partial_frames()
                    );
                }
            }
        };
        body.read(buffer, record).await
    }

    /// How the body arrives.
    pub(super) fn progress(&self) -> &StreamProgress {
        self.body.progress()
    }

    /// What shows that the stream is complete.
    pub(super) fn proof(&self) -> EndProof {
        self.body.proof()
    }

    /// Whether the endpoint still works on the stream.
    pub(super) fn has_call(&self) -> bool {
        self.call.is_some()
    }

    /// Closes the connection, while the call counts as one in progress.
    pub(super) fn close(&mut self) {
        self.call = None;
    }

    /// Ends the call to a lost endpoint, which no longer counts as one in progress.
    pub(super) fn end_call(&mut self) {
        self.call = None;
        self.outstanding_guard = None;
        self.progress_guard = None;
    }
}
