use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::call_handler::{BodyError, GatewayBody};
use super::crash_detector::CallFailure;
use super::endpoint_call::EndpointCall;
use super::forward_attempt::OpenAnswer;
use super::forward_attempt::is_delimited;
use super::forward_run::{ForwardRun, ResumeRefusal};
use super::stream_end::EndProof;
use super::stream_origins::OriginGuard;
use super::{EventSplitter, RouteKind};
use crate::prelude::*;
use crate::routing::OutstandingGuard;

/// Timeout for the next event, in multiples of the route's longest pause, after which a
/// stream is resumed at another endpoint. It is shorter than the callers' timeout of eight
/// pauses, and longer than a preemption usually takes.
const TIMEOUT_PAUSES: u32 = 5;

/// Shortest timeout for the next event, and the pause of a route that sets none.
const MIN_PAUSE: Duration = Duration::from_millis(900);

/// Timeout for the first event, in multiples of the route's objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;

/// Relays an endpoint's events to the caller, and resumes the stream at another endpoint
/// when it fails and the route allows that. Dropping the relay cancels the work at the
/// endpoint.
pub(super) struct StreamRelay {
    run: ForwardRun,
    source: StreamSource,
    splitter: EventSplitter,
    has_events: bool,
    state: RelayState,
    /// Keeps the stream's origin at its homes.
    origin_guard: Option<OriginGuard>,
}

/// The endpoint's side of the stream.
struct StreamSource {
    /// Whether the stream shows where it ends.
    is_delimited: bool,
    /// What shows that the stream is complete.
    proof: EndProof,
    /// Whether the endpoint has sent an event.
    has_events: bool,
    body: Incoming,
    endpoint: String,
    version: Option<Arc<str>>,
    started: Instant,
    /// When the endpoint last sent something.
    heard: Instant,
    /// Dropped before another endpoint resumes the stream, so that the two never work on
    /// the same request.
    call: Option<EndpointCall>,
    _guard: OutstandingGuard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayState {
    Open,
    Ended,
}

/// Result of waiting for the next events.
enum RelayStep {
    Events(Bytes),
    Ended(Option<Bytes>),
    Failed(StreamFailure),
}

/// Why a stream failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum StreamFailure {
    /// The connection ended before the stream.
    #[error("{0}")]
    Cut(String),
    /// The connection was closed as after a complete answer, but the stream is not complete.
    #[error("the stream ended within an event or without any")]
    Unfinished,
    /// The connection was closed as after a complete answer, but the endpoint has crashed.
    #[error("the endpoint accepts no connections after an end that only its connection shows")]
    Crashed,
    #[error("no event in time")]
    TimedOut,
    #[error("a frame without data")]
    NoData,
}

impl StreamSource {
    fn new(open: OpenAnswer) -> Self {
        let (head, body) = open.response.into_parts();
        Self {
            is_delimited: is_delimited(&head),
            proof: EndProof::of(&head),
            has_events: false,
            body,
            endpoint: open.endpoint,
            version: open.version,
            started: open.started,
            heard: Instant::now(),
            call: Some(open.call),
            _guard: open.guard,
        }
    }
}

impl StreamRelay {
    pub(super) fn start(run: ForwardRun, open: OpenAnswer) -> Self {
        Self {
            splitter: EventSplitter::after(run.context.head.last_event),
            run,
            source: StreamSource::new(open),
            has_events: false,
            state: RelayState::Open,
            origin_guard: None,
        }
    }

    /// Returns the body of the caller's answer. Only the caller's connection polls it, so
    /// the relay ends with that connection.
    pub(super) fn into_body(self) -> GatewayBody {
        let frames = futures::stream::unfold(self, |mut relay| async move {
            let frame = relay.next().await?;
            Some((frame, relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while self.state == RelayState::Open {
            match self.step().await {
                RelayStep::Events(events) => {
                    self.record_first_events();
                    return Some(Ok(Frame::data(events)));
                }
                RelayStep::Ended(rest) => {
                    self.state = RelayState::Ended;
                    self.run.record_served(self.source.is_delimited);
                    self.log_end(rest.as_ref().map_or(0, Bytes::len));
                    return rest.map(|rest| Ok(Frame::data(rest)));
                }
                RelayStep::Failed(reason) => {
                    if let Err(refusal) = self.resume_elsewhere(&reason).await {
                        self.state = RelayState::Ended;
                        self.run
                            .node
                            .metrics
                            .record_broken_stream(&self.run.context.pool);
                        log_event!(
                            info,
                            "stream_broken",
                            request = self.run.context.id,
                            digest = self.run.identity.digest,
                            prompt = self.run.context.prompt_text(),
                            endpoint = self.source.endpoint,
                            last_event = format!("{:?}", self.splitter.last_id()),
                            silent_ms = self.source.heard.elapsed().as_millis(),
                            reason = reason,
                            not_resumed = refusal
                        );
                        return Some(Err(reason.into()));
                    }
                }
            }
        }
        None
    }

    fn log_end(&self, partial_bytes: usize) {
        log_event!(
            info,
            "stream_ended",
            request = self.run.context.id,
            endpoint = self.source.endpoint,
            delimited = self.source.is_delimited,
            last_event = format!("{:?}", self.splitter.last_id()),
            partial_bytes = partial_bytes,
            ms = self.source.started.elapsed().as_millis()
        );
    }

    fn record_first_events(&mut self) {
        self.source.has_events = true;
        if self.has_events {
            return;
        }
        self.has_events = true;
        self.origin_guard = self.run.begin_stream(self.source.version.as_ref());
        let time = self.source.started.elapsed();
        log_event!(
            info,
            "stream_started",
            request = self.run.context.id,
            endpoint = self.source.endpoint,
            version = self.source.version.as_deref().unwrap_or_default(),
            prompt = self.run.context.prompt_text(),
            ms = time.as_millis()
        );
        self.run.node.first_events.observe(&self.run.context, time);
        self.run.report_success(&self.source.endpoint, time);
        self.run.release_results();
    }

    fn is_resumable(&self) -> bool {
        self.run.context.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Longest wait for the next bytes.
    fn event_timeout(&self) -> Duration {
        let remaining = self.run.context.remaining(Instant::now());
        let route = &self.run.context.route;
        let has_spare_endpoint = self.run.ledger.runs() < route.max_endpoints as usize;
        if !self.is_resumable() || !has_spare_endpoint {
            return remaining;
        }
        let limit = match self.has_events {
            true => (route.pause.unwrap_or(MIN_PAUSE) * TIMEOUT_PAUSES).max(MIN_PAUSE),
            false => route.objective * FIRST_EVENT_OBJECTIVES,
        };
        remaining.min(limit)
    }

    async fn step(&mut self) -> RelayStep {
        let event_timeout = self.event_timeout();
        let waiting = self.source.body.frame();
        let frame = match tokio::time::timeout(event_timeout, waiting).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                return RelayStep::Failed(StreamFailure::Cut(error.to_string()));
            }
            Ok(None) => return self.end().await,
            Err(_) => return RelayStep::Failed(StreamFailure::TimedOut),
        };
        self.source.heard = Instant::now();
        let Ok(data) = frame.into_data() else {
            return RelayStep::Failed(StreamFailure::NoData);
        };
        match self.splitter.push(&data) {
            Some(events) => RelayStep::Events(events),
            None => Box::pin(self.step()).await,
        }
    }

    /// Decides how the stream has ended, once its body has ended without an error.
    async fn end(&mut self) -> RelayStep {
        if !self.is_complete() {
            return RelayStep::Failed(StreamFailure::Unfinished);
        }
        let source = &self.source;
        if !source.is_delimited && self.run.has_crashed(&source.endpoint).await {
            return RelayStep::Failed(StreamFailure::Crashed);
        }
        RelayStep::Ended(self.splitter.finish())
    }

    /// Whether the stream is complete, once its body has ended without an error.
    fn is_complete(&self) -> bool {
        match self.source.proof {
            EndProof::Framing => true,
            // An endpoint that crashes closes its connection like one that has finished.
            EndProof::Events => {
                let has_proof = self.source.is_delimited || self.source.has_events;
                has_proof && !self.splitter.is_within_event()
            }
        }
    }

    /// Resumes the stream at another endpoint.
    async fn resume_elsewhere(&mut self, reason: &StreamFailure) -> Result<(), ResumeRefusal> {
        let failure = match reason {
            StreamFailure::Cut(_) | StreamFailure::Unfinished | StreamFailure::Crashed => {
                Some(CallFailure::Cut)
            }
            StreamFailure::TimedOut => Some(CallFailure::TimedOut),
            StreamFailure::NoData => None,
        };
        self.run
            .record_failure(&self.source.endpoint, failure, &reason.to_string())
            .await;
        if !self.is_resumable() {
            return Err(ResumeRefusal::NotResumable);
        }
        if !self.splitter.is_resumable() {
            return Err(ResumeRefusal::WithinEvent);
        }
        self.source.call = None;
        self.splitter.drop_partial();
        let last_event = self.splitter.last_id();
        let silence = self.source.heard.elapsed();
        let open = self.run.resume(last_event).await?;
        log_event!(
            info,
            "stream_resumed",
            request = self.run.context.id,
            digest = self.run.identity.digest,
            prompt = self.run.context.prompt_text(),
            from = self.source.endpoint,
            to = open.endpoint,
            last_event = format!("{last_event:?}"),
            silent_ms = silence.as_millis(),
            reason = reason
        );
        self.run.node.metrics.record_resume(&self.run.context.pool);
        self.source = StreamSource::new(open);
        Ok(())
    }
}
