use std::pin::pin;

use hyper::Response;

use super::answer_bodies::{AnswerBodies, AnswerBody};
use super::crash_detector::CallFailure;
use super::endpoint_call::CallError;
use super::forward_attempt::{AnswerOutcome, AttemptEnd, OpenAnswer, is_delimited};
use super::forward_run::{ForwardRun, SendState};
use super::retry_budget::RepeatReason;
use super::stalled_calls::{ReplacementChance, SearchDelay, StallEnd, StallRecord, StalledCalls};
use super::{GatewayRefusal, RouteKind};
use crate::prelude::*;

/// The end of one body that was read.
type BodyEnd = (AnswerBody, Result<(), CallError>);

/// How bodies and a further attempt, in progress at the same time, ended.
struct BodyRace {
    /// The first complete body.
    complete: Option<AnswerBody>,
    /// Bodies that broke off.
    broken: Vec<(AnswerBody, CallError)>,
    /// How the attempt ended, if no body was complete before.
    attempt: Option<Result<AttemptEnd, GatewayRefusal>>,
}

/// Answers that are read as a whole. See docs/design/stalled-calls.md.
impl ForwardRun {
    /// Reads the body of an answer. If it is late, another endpoint is asked as well, and the first body
    /// that is complete goes to the caller.
    pub(super) async fn read_whole(&mut self, open: OpenAnswer) -> AnswerOutcome {
        let mut bodies = AnswerBodies::new(open, self.node.answer_memory.hold());
        let mut delay = SearchDelay::default();
        let mut next_search = Instant::now();
        while let Some(begun) = bodies.begun() {
            let deadline = self.context.deadline;
            let limit = self.stall_limit();
            let wake_at = next_search.max(begun + limit).min(deadline);
            let ended = tokio::select! {
                biased;
                ended = bodies.next() => Some(ended),
                () = tokio::time::sleep_until(wake_at.into()) => None,
            };
            if let Some(ended) = ended {
                if let Some(outcome) = self.end_body(ended, &mut bodies).await {
                    return outcome;
                }
                continue;
            }
            if self.context.remaining(Instant::now()).is_zero() {
                break;
            }
            let (node, context) = (&self.node, &self.context);
            bodies.begin_stalls(limit, |endpoint, since| {
                StallRecord::begin(node, &context.pool, &context.id, endpoint, since)
            });
            next_search = match self.find_replacement(begun.elapsed()) {
                ReplacementChance::NoEndpoint => Instant::now() + SearchDelay::AFTER_NONE,
                ReplacementChance::Denied => Instant::now() + delay.after_refusal(),
                ReplacementChance::Likely => {
                    if let Some(outcome) = self.read_beside(begun, &mut bodies).await {
                        return outcome;
                    }
                    Instant::now() + delay.after_refusal()
                }
            };
        }
        for mut body in bodies.take() {
            body.finish_stall(StallEnd::Failed);
            let reason = "no complete answer within the timeout";
            self.record_failure(&body.open.endpoint, Some(CallFailure::TimedOut), reason)
                .await;
        }
        AnswerOutcome::Lost
    }

    /// Sends the request to another endpoint, while late bodies are read on. Its answer is
    /// read beside them.
    async fn read_beside(
        &mut self,
        late_since: Instant,
        bodies: &mut AnswerBodies,
    ) -> Option<AnswerOutcome> {
        self.set_repeat_reason(RepeatReason::Stalled);
        self.stalled_since = Some(late_since);
        // The endpoint of an open body is not the one of a cancelled attempt.
        self.send_state.send_replace(SendState::Idle);
        let race = self.race_bodies(bodies).await;
        self.stalled_since = None;
        if race.attempt.is_none() {
            self.cancel_attempt();
        }
        for (body, error) in race.broken {
            self.end_broken(body, &error).await;
        }
        if let Some(body) = race.complete
            && let Some(outcome) = self.end_body((body, Ok(())), bodies).await
        {
            return Some(outcome);
        }
        match race.attempt {
            Some(Ok(AttemptEnd::Open(open))) => {
                bodies.push(*open, self.node.answer_memory.hold());
            }
            Some(Ok(AttemptEnd::Failed(response))) => self.last_answer = Some(response),
            Some(Ok(_) | Err(_)) | None => self.ledger.forget_denials(),
        }
        None
    }

    async fn race_bodies(&mut self, bodies: &mut AnswerBodies) -> BodyRace {
        let mut broken = Vec::new();
        let mut stalled = StalledCalls::default();
        let mut attempting = pin!(async {
            loop {
                match self.attempt_beside(None, &mut stalled).await {
                    Ok(AttemptEnd::Stalled(call)) => stalled.push(*call),
                    end => return end,
                }
            }
        });
        loop {
            tokio::select! {
                biased;
                (body, result) = bodies.next() => match result {
                    Ok(()) => {
                        return BodyRace {
                            complete: Some(body),
                            broken,
                            attempt: None,
                        };
                    }
                    Err(error) => broken.push((body, error)),
                },
                end = &mut attempting => {
                    return BodyRace {
                        complete: None,
                        broken,
                        attempt: Some(end),
                    };
                }
            }
        }
    }

    /// Ends a body that was read; `None` if it came to nothing and others are still read.
    async fn end_body(
        &mut self,
        (body, result): BodyEnd,
        bodies: &mut AnswerBodies,
    ) -> Option<AnswerOutcome> {
        if let Err(error) = result {
            self.end_broken(body, &error).await;
            return bodies.is_empty().then_some(AnswerOutcome::Lost);
        }
        let (open, buffer) = body.into_parts();
        let (parts, _) = open.response.into_parts();
        let is_delimited = is_delimited(&parts.headers);
        if !is_delimited && self.has_crashed(&open.endpoint).await {
            let reason = "the endpoint accepts no connections after an end without framing";
            self.record_failure(&open.endpoint, Some(CallFailure::Cut), reason)
                .await;
            return bodies.is_empty().then_some(AnswerOutcome::Lost);
        }
        for mut other in bodies.take() {
            if other.open.started < open.started {
                other.finish_stall(StallEnd::Replaced);
                self.report_replaced(&other.open.endpoint);
            }
        }
        self.report_success(&open.endpoint, open.started.elapsed());
        self.record_served(is_delimited);
        if self.context.route.kind == RouteKind::Idempotent && is_delimited {
            let cache = &self.node.connection_cache;
            cache.put(&open.endpoint, open.call, &open.head);
        }
        let mut response = Response::new(buffer.into_body());
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.node.wire.caller_headers(&parts);
        Some(AnswerOutcome::Whole(response))
    }

    async fn end_broken(&mut self, mut body: AnswerBody, error: &CallError) {
        body.finish_stall(StallEnd::Failed);
        let failure = CallFailure::of(error);
        self.record_failure(&body.open.endpoint, failure, &error.to_string())
            .await;
    }
}
