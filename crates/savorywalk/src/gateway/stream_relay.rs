use std::pin::pin;

use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::call_handler::{BodyError, GatewayBody};
use super::crash_detector::CallFailure;
use super::event_body::EventRead;
use super::event_buffer::EventBuffer;
use super::forward_attempt::{OpenAnswer, next_frame_of};
use super::forward_run::{ForwardRun, HandoverEnd, ResumeRefusal};
use super::stalled_calls::{ReplacementChance, SearchDelay, StallEnd, StallRecord};
use super::stream_end::EndProof;
use super::stream_failure::StreamFailure;
use super::stream_origins::OriginGuard;
use super::stream_source::StreamSource;
use super::{PoolMember, RouteKind};
use crate::prelude::*;

/// Time without an event, in multiples of the route's longest pause, after which a stream has
/// stalled and a replacement of its endpoint is sought. Callers wait for eight pauses.
const STALL_PAUSES: u32 = 5;

/// Shortest time without an event after which a stream has stalled, and the pause of a route that
/// sets none.
const MIN_STALL: Duration = Duration::from_millis(900);

/// Time without a first event after which a stream has stalled, in multiples of the route's
/// objective.
const FIRST_EVENT_OBJECTIVES: u32 = 2;

/// Relays an endpoint's events to the caller, and resumes the stream at another endpoint
/// when it fails, or when another one goes on before a stalled one does, if the route allows that.
/// Dropping the relay cancels the work at the endpoint. See docs/design/stalled-calls.md.
pub(super) struct StreamRelay {
    run: ForwardRun,
    source: StreamSource,
    buffer: EventBuffer,
    has_events: bool,
    state: RelayState,
    /// The search for a replacement, while the endpoint is silent for long.
    stall: Option<StreamStall>,
    /// Keeps the stream's origin at its homes.
    origin_guard: Option<OriginGuard>,
}

/// The search for a replacement of a silent endpoint.
#[derive(Debug)]
struct StreamStall {
    record: StallRecord,
    delay: SearchDelay,
    next_search: Instant,
}

/// How the race of a stalled call and its replacement ended.
enum RaceEnd {
    Search(SearchEnd),
    /// The replacement has fallen silent after the send.
    Silent(Arc<PoolMember>),
    /// The replacement at this endpoint was cut after the head of its answer for this reason.
    Cut(String, String),
}

impl RaceEnd {
    fn opened(open: Box<OpenAnswer>) -> Self {
        Self::Search(SearchEnd::Opened(open))
    }
}

/// What a search for a replacement came to.
enum SearchEnd {
    /// The stream goes on at its endpoint, or has ended there.
    Source(EventRead),
    /// Another endpoint goes on with the stream.
    Opened(Box<OpenAnswer>),
    /// There is no replacement now.
    Refused(ResumeRefusal),
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

impl StreamRelay {
    pub(super) fn start(run: ForwardRun, open: OpenAnswer) -> Self {
        Self {
            buffer: EventBuffer::after(run.context.head.last_event, run.node.answer_memory.hold()),
            source: StreamSource::new(&run, open),
            run,
            has_events: false,
            state: RelayState::Open,
            stall: None,
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
                            last_event = format!("{:?}", self.buffer.splitter.last_id()),
                            silent_ms = self.silence().as_millis(),
                            frames = self.source.progress().frames(),
                            partial_frames = self.source.progress().partial_frames(),
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
            last_event = format!("{:?}", self.buffer.splitter.last_id()),
            partial_bytes = partial_bytes,
            frames = self.source.progress().frames(),
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

    /// When the caller last got something of the stream, or when the answer of its present endpoint
    /// began.
    fn progressed(&self) -> Instant {
        self.source.progress().progressed()
    }

    fn silence(&self) -> Duration {
        self.progressed().elapsed()
    }

    fn is_resumable(&self) -> bool {
        self.run.context.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Time without an event after which the stream has stalled; `None` if no other endpoint may
    /// take it over.
    fn stall_limit(&self) -> Option<Duration> {
        let route = &self.run.context.route;
        let has_spare_endpoint = self
            .run
            .ledger
            .has_spare_endpoint(route.max_endpoints as usize);
        let may_be_resumed = self.is_resumable() && has_spare_endpoint;
        may_be_resumed.then(|| match self.has_events {
            true => (route.pause.unwrap_or(MIN_STALL) * STALL_PAUSES).max(MIN_STALL),
            false => route.objective * FIRST_EVENT_OBJECTIVES,
        })
    }

    /// When a replacement of the endpoint is sought next, if it stays silent.
    fn next_search(&self) -> Option<Instant> {
        let limit = self.stall_limit()?;
        let stalled = self.progressed() + limit;
        let next = self.stall.as_ref().map(|stall| stall.next_search);
        Some(next.map_or(stalled, |next| next.max(stalled)))
    }

    /// Waits for events, or for the end of the stream.
    async fn step(&mut self) -> RelayStep {
        loop {
            match self.read().await {
                EventRead::Events(events) => return RelayStep::Events(events),
                EventRead::Content => tokio::task::coop::consume_budget().await,
                EventRead::Ended => return self.end().await,
                EventRead::Failed(failure) => return RelayStep::Failed(failure),
            }
        }
    }

    /// Reads the next part of the stream. While it makes no progress for long, another endpoint is
    /// sought, and takes the place of the present one once it goes on with the stream.
    async fn read(&mut self) -> EventRead {
        loop {
            let deadline = self.run.context.deadline;
            let next_search = self.next_search();
            let wake_at = next_search.map_or(deadline, |next| next.min(deadline));
            let reading = self.source.read(&mut self.buffer);
            if let Ok(read) = tokio::time::timeout_at(wake_at.into(), reading).await {
                self.end_stall(&read);
                return read;
            }
            if self.run.context.remaining(Instant::now()).is_zero() {
                self.finish_stall(StallEnd::Failed);
                return EventRead::Failed(StreamFailure::TimedOut);
            }
            if let Some(read) = self.search().await {
                self.end_stall(&read);
                return read;
            }
        }
    }

    /// Seeks another endpoint for the stream once. Returns what was read of the stream meanwhile.
    async fn search(&mut self) -> Option<EventRead> {
        let silence = self.silence();
        if self.stall.is_none() {
            let (endpoint, since) = (self.source.endpoint.clone(), self.progressed());
            self.stall = Some(StreamStall {
                record: self.run.begin_stall(&endpoint, since).await,
                delay: SearchDelay::default(),
                next_search: Instant::now(),
            });
        }
        let chance = match self.buffer.splitter.is_resumable() {
            true => self.run.find_replacement(silence),
            false => ReplacementChance::NoEndpoint,
        };
        match chance {
            ReplacementChance::Likely => {}
            ReplacementChance::NoEndpoint => {
                self.delay_search(SearchDelay::AFTER_NONE);
                return None;
            }
            ReplacementChance::Denied => {
                self.delay_after_refusal();
                return None;
            }
        }
        let list_at_send = Arc::clone(&self.run.list_at_send);
        let has_answer_begun = self.run.has_answer_begun;
        let end = self.try_replace().await;
        self.run.stalled_since = None;
        match end {
            SearchEnd::Source(read) => {
                self.run.cancel_attempt();
                if self.has_events {
                    self.run.release_results();
                }
                self.run.list_at_send = list_at_send;
                self.run.has_answer_begun = has_answer_begun;
                Some(read)
            }
            SearchEnd::Opened(next) => {
                let next = StreamSource::new(&self.run, *next);
                self.replace_source(next, &StreamFailure::TimedOut);
                None
            }
            SearchEnd::Refused(refusal) => {
                self.log_refusal(&refusal);
                self.run.list_at_send = list_at_send;
                self.run.has_answer_begun = has_answer_begun;
                self.run.ledger.forget_denials();
                if !self.source.has_call() {
                    let failure = StreamFailure::HandedOver(refusal.to_string());
                    return Some(EventRead::Failed(failure));
                }
                self.delay_after_refusal();
                None
            }
        }
    }

    /// Sends the stream to another endpoint while the present one stays in place. The first that makes
    /// progress has it: the present one by an event, the other one by its first bytes. Soon after the
    /// send one of both is dropped, so that two do not work on it: the present one if the other one answers
    /// a probe then. If the present one's connection breaks, the other one goes on alone.
    async fn try_replace(&mut self) -> SearchEnd {
        self.run.stalled_since = Some(self.progressed());
        match self.race_replacement().await {
            RaceEnd::Search(end) => end,
            RaceEnd::Silent(member) => {
                self.run.withdraw(&member);
                SearchEnd::Refused(ResumeRefusal::Silent)
            }
            RaceEnd::Cut(endpoint, reason) => {
                let failure = Some(CallFailure::Cut);
                self.run.record_failure(&endpoint, failure, &reason).await;
                SearchEnd::Refused(ResumeRefusal::Lost)
            }
        }
    }

    async fn race_replacement(&mut self) -> RaceEnd {
        let last_event = self.buffer.splitter.last_id();
        let handover = self.run.begin_handover();
        let Self {
            run,
            source,
            buffer,
            ..
        } = self;
        let mut resuming = pin!(run.resume(last_event));
        let mut handover = pin!(handover);
        let mut broken = None;
        let mut is_handed_over = false;
        // The head of an answer may come before an engine reads the prompt, so it ends nothing.
        let mut opened: Option<Box<OpenAnswer>> = None;
        loop {
            tokio::select! {
                biased;
                read = source.read(buffer), if source.has_call() => match (read, opened.take()) {
                    (EventRead::Failed(_), Some(next)) => return RaceEnd::opened(next),
                    (EventRead::Failed(failure), None) => {
                        source.close();
                        broken = Some(failure);
                    }
                    (read, _) => return RaceEnd::Search(SearchEnd::Source(read)),
                },
                resumed = &mut resuming, if opened.is_none() => match (resumed, broken.take()) {
                    (Ok(open), None) if source.has_call() => {
                        opened = Some(Box::new(open));
                    }
                    (Ok(open), _) => return RaceEnd::opened(Box::new(open)),
                    (Err(_), Some(failure)) => {
                        return RaceEnd::Search(SearchEnd::Source(EventRead::Failed(failure)));
                    }
                    (Err(refusal), None) => return RaceEnd::Search(SearchEnd::Refused(refusal)),
                },
                frame = next_frame_of(&mut opened) => if let Some(mut next) = opened.take() {
                    if let Some(reason) = next.cut_reason(&frame) {
                        return RaceEnd::Cut(next.endpoint, reason);
                    }
                    next.early = Some(frame);
                    return RaceEnd::opened(next);
                },
                end = &mut handover, if source.has_call() && !is_handed_over => match end {
                    HandoverEnd::Complete => {
                        is_handed_over = true;
                        source.close();
                        if let Some(next) = opened.take() {
                            return RaceEnd::opened(next);
                        }
                    }
                    HandoverEnd::Silent(member) => return RaceEnd::Silent(member),
                },
            }
        }
    }

    fn delay_after_refusal(&mut self) {
        if let Some(stall) = &mut self.stall {
            stall.next_search = Instant::now() + stall.delay.after_refusal();
        }
    }

    fn delay_search(&mut self, delay: Duration) {
        if let Some(stall) = &mut self.stall {
            stall.next_search = Instant::now() + delay;
        }
    }

    /// Records that the stream has gone on, or that its connection has ended.
    fn end_stall(&mut self, read: &EventRead) {
        self.finish_stall(match read {
            EventRead::Events(_) | EventRead::Content | EventRead::Ended => StallEnd::WentOn,
            EventRead::Failed(_) => StallEnd::Failed,
        });
    }

    fn finish_stall(&mut self, end: StallEnd) {
        if let Some(stall) = self.stall.take() {
            stall.record.finish(end);
        }
    }

    fn log_refusal(&self, refusal: &ResumeRefusal) {
        log_event!(
            info,
            "replacement_refused",
            request = self.run.context.id,
            endpoint = self.source.endpoint,
            silent_ms = self.silence().as_millis(),
            reason = refusal
        );
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
        RelayStep::Ended(self.buffer.splitter.finish())
    }

    /// Whether the stream is complete, once its body has ended without an error.
    fn is_complete(&self) -> bool {
        match self.source.proof() {
            EndProof::Framing => true,
            // An endpoint that crashes closes its connection like one that has finished.
            EndProof::Events => {
                let has_proof = self.source.is_delimited || self.source.has_events;
                has_proof && !self.buffer.splitter.is_within_event()
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
            StreamFailure::NoData | StreamFailure::TooLarge(_) | StreamFailure::HandedOver(_) => {
                None
            }
        };
        self.run
            .record_failure(&self.source.endpoint, failure, &reason.to_string())
            .await;
        if !self.is_resumable() {
            return Err(ResumeRefusal::NotResumable);
        }
        if !self.buffer.splitter.is_resumable() {
            return Err(ResumeRefusal::WithinEvent);
        }
        self.source.end_call();
        let open = self.resume_lost().await?;
        let next = StreamSource::new(&self.run, open);
        self.replace_source(next, reason);
        Ok(())
    }

    /// Resumes the stream of a lost endpoint. Nothing is left that could go on, so a refusal that may
    /// pass is followed by another search for as long as the caller waits.
    async fn resume_lost(&mut self) -> Result<OpenAnswer, ResumeRefusal> {
        let last_event = self.buffer.splitter.last_id();
        let mut delay = SearchDelay::default();
        loop {
            let refusal = match self.run.resume(last_event).await {
                Ok(open) => return Ok(open),
                Err(refusal) => refusal,
            };
            self.log_refusal(&refusal);
            self.run.ledger.forget_denials();
            if !self.run.await_resume_chance(&mut delay).await {
                return Err(refusal);
            }
        }
    }

    /// Goes on with the stream of another endpoint.
    fn replace_source(&mut self, next: StreamSource, reason: &StreamFailure) {
        let silence = self.silence();
        if self.stall.is_some() {
            self.finish_stall(StallEnd::Replaced);
            self.run.report_replaced(&self.source.endpoint);
        }
        self.buffer.splitter.drop_partial();
        log_event!(
            info,
            "stream_resumed",
            request = self.run.context.id,
            digest = self.run.identity.digest,
            prompt = self.run.context.prompt_text(),
            from = self.source.endpoint,
            to = next.endpoint,
            last_event = format!("{:?}", self.buffer.splitter.last_id()),
            silent_ms = silence.as_millis(),
            reason = reason
        );
        self.run.node.metrics.record_resume(&self.run.context.pool);
        self.source = next;
    }
}
