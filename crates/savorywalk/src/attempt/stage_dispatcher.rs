use super::{
    AttemptError, AttemptId, EndpointClient, RequestId, StageCall, StageReply, StageState,
    TokenSink,
};
use crate::admission::{RequestDeadline, RequestPhase};
use crate::configuration::StagePlan;
use crate::directory::DirectoryHandle;
use crate::prelude::*;
use crate::routing::{EndpointRouter, PromptPrefix, RouteQuery};

/// Most attempts at one stage of one request.
const MAX_ATTEMPTS: u16 = 3;

/// Runs one stage of a request: routes, attempts, and retries where it may.
#[derive(Debug)]
pub struct StageDispatcher {
    router: EndpointRouter,
    client: EndpointClient,
    directory: DirectoryHandle,
}

/// What a dispatcher needs to know of the stage to run.
#[derive(Clone, Copy, Debug)]
pub struct StageRequest<'a> {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Index of the stage in its pipeline.
    pub index: u16,
    /// The stage.
    pub stage: &'a StagePlan,
    /// False when the stage may run at most once for this request.
    pub idempotent: bool,
    /// What earlier stages made.
    pub state: &'a StageState,
    /// When the request must be answered.
    pub deadline: RequestDeadline,
    /// Where generated text goes as it arrives.
    pub sink: Option<&'a TokenSink>,
}

/// A stage that gave its result, with what it cost.
#[derive(Debug)]
pub struct StageOutcome {
    /// The result.
    pub reply: StageReply,
    /// Endpoint that gave it.
    pub endpoint: String,
    /// Attempts made, the successful one included.
    pub attempts: u16,
    /// Endpoint time of the successful attempt.
    pub endpoint_time: Duration,
    /// Endpoint time of failed attempts.
    pub wasted_time: Duration,
}

/// A stage that gave no result.
#[derive(Debug)]
pub struct StageFailure {
    /// Failure of the last attempt; `None` when no endpoint serves the stage.
    pub error: Option<AttemptError>,
    /// Endpoint time of failed attempts.
    pub wasted_time: Duration,
}

impl StageDispatcher {
    /// A dispatcher that routes by `router`.
    pub fn new(router: EndpointRouter, client: EndpointClient, directory: DirectoryHandle) -> Self {
        Self {
            router,
            client,
            directory,
        }
    }

    /// Runs the stage; `phase` says afterwards whether any endpoint may have
    /// seen a part of the request.
    pub async fn run(
        &self,
        request: StageRequest<'_>,
        phase: &mut RequestPhase,
    ) -> Result<StageOutcome, StageFailure> {
        let mut failure = StageFailure {
            error: None,
            wasted_time: Duration::ZERO,
        };
        let call = match StageCall::new(request.stage, request.state) {
            Ok(call) => call,
            Err(error) => return Err(failed(failure, error)),
        };
        let prefix = PromptPrefix::default();
        let mut excluded = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let now = Instant::now();
            if request.deadline.has_passed(now) {
                return Err(failed(failure, AttemptError::TimedOut));
            }
            let query = RouteQuery {
                pool: &request.stage.pool,
                model: &request.stage.model,
                version: "",
                adapter: "",
                prefix: &prefix,
                excluded: &excluded,
            };
            let Some(record) = self.router.pick(now, &self.directory.snapshot(), query) else {
                return Err(failure);
            };
            let endpoint = record.announcement.endpoint.clone();
            let id = AttemptId {
                request: request.request,
                stage: request.index,
                attempt,
            };
            let guard = self.router.outstanding.enter(&endpoint);
            let first = phase.dispatch();
            let timeout = request.deadline.remaining(now);
            let address = record.announcement.address;
            let result = self
                .client
                .attempt(address, id, &call, timeout, request.sink)
                .await;
            drop(guard);
            let endpoint_time = now.elapsed();
            let error = match result {
                Ok(reply) => {
                    return Ok(StageOutcome {
                        reply,
                        endpoint,
                        attempts: attempt + 1,
                        endpoint_time,
                        wasted_time: failure.wasted_time,
                    });
                }
                Err(error) => error,
            };
            log_event!(
                warn,
                "attempt_failed",
                attempt = id,
                endpoint = endpoint,
                error = error
            );
            failure.wasted_time += endpoint_time;
            let proof = error.nothing_ran();
            let may_repeat = request.idempotent || proof.is_some();
            if let (Some(first), Some(proof)) = (first, proof) {
                phase.revert(first, proof);
            }
            let streamed = request.sink.is_some();
            if !may_repeat || streamed || !error.is_worth_retrying() {
                return Err(failed(failure, error));
            }
            failure.error = Some(error);
            excluded.push(endpoint);
        }
        Err(failure)
    }
}

fn failed(failure: StageFailure, error: AttemptError) -> StageFailure {
    StageFailure {
        error: Some(error),
        ..failure
    }
}
