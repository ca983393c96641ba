use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::EntryNode;
use crate::admission::{RefusalReason, RunRefusal};
use crate::attempt::RequestId;
use crate::claims::{
    ClaimAnswer, ClaimDecision, ClaimError, ClaimRefusal, ClaimTicket, Result as ClaimResult,
};
use crate::configuration::PipelinePlan;
use crate::pipeline::{PipelineAnswer, PipelineError, PipelineRequest};
use crate::prelude::*;

/// How often a resend looks whether the first run has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long an answer waits to be recorded before its caller gets it.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// Tries to record an answer or to give a claim back; with the pause before
/// each, half a minute.
const RECORD_TRIES: u32 = 30;
const RECORD_PAUSE: Duration = Duration::from_secs(1);
/// Advice to a caller whose claim can't be recorded now.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Turns a run's result into what its caller gets; the answer is kept in this
/// form for resends.
pub type AnswerWriter =
    fn(RequestId, std::result::Result<PipelineAnswer, PipelineError>) -> ClaimAnswer;

/// How a claimed request came to its answer.
#[derive(Debug)]
pub enum ClaimedAnswer {
    /// This run's own, or the kept one of an earlier run.
    Answer(ClaimAnswer),
    /// No part of it ran.
    NotRun(RunRefusal),
}

/// A run of a claimed request.
///
/// It is a task of its own: a caller who leaves does not stop it, and a resend
/// gets its answer.
#[derive(Debug)]
pub struct ClaimedRun {
    node: Arc<EntryNode>,
    ticket: ClaimTicket,
    write: AnswerWriter,
}

impl ClaimedRun {
    /// A run under `ticket`.
    pub fn new(node: &Arc<EntryNode>, ticket: ClaimTicket, write: AnswerWriter) -> Self {
        Self {
            node: Arc::clone(node),
            ticket,
            write,
        }
    }

    /// Claims the request and runs it, or waits for the run that has it.
    pub async fn answer(self, request: PipelineRequest) -> ClaimResult<ClaimedAnswer> {
        let deadline = request.deadline;
        loop {
            match self.node.claims().claim(&self.ticket).await {
                Ok(ClaimDecision::Granted(_)) => return self.start(request).await,
                Ok(ClaimDecision::Running(_) | ClaimDecision::Unknown(_)) => {}
                Ok(ClaimDecision::Refused(refusal)) => {
                    log_event!(warn, "claim_refused", reason = reason(refusal));
                    return Ok(self.refuse(request));
                }
                Ok(decision) => return settled(decision),
                Err(error) => {
                    log_event!(warn, "claim_failed", error = error);
                    self.give_back();
                    return Ok(self.refuse(request));
                }
            }
            if let Some(decision) = self.wait(deadline.ends()).await {
                return settled(decision);
            }
            if deadline.has_passed(Instant::now()) {
                return Err(ClaimError::StillRunning);
            }
        }
    }

    /// Waits for the run that has the claim; `None` when that run gave it back
    /// or time is up.
    async fn wait(&self, ends: Instant) -> Option<ClaimDecision> {
        while Instant::now() < ends {
            sleep(POLL_INTERVAL.min(ends.saturating_duration_since(Instant::now()))).await;
            match self.node.claims().look_up(&self.ticket.key).await {
                Ok(ClaimDecision::Running(_)) => {}
                Ok(ClaimDecision::Unknown(_)) => return None,
                Ok(decision) => return Some(decision),
                Err(error) => log_event!(warn, "claim_look_up_failed", error = error),
            }
        }
        None
    }

    fn refuse(&self, request: PipelineRequest) -> ClaimedAnswer {
        match request.phase.into_unstarted() {
            Some(unstarted) => {
                let refusal = unstarted.refuse(RefusalReason::ClaimNotRecorded, CLAIM_RETRY);
                ClaimedAnswer::NotRun(refusal)
            }
            None => unreachable!("a request that was never dispatched is unstarted"),
        }
    }

    async fn start(self, request: PipelineRequest) -> ClaimResult<ClaimedAnswer> {
        let (sender, answer) = oneshot::channel();
        let node = Arc::clone(&self.node);
        node.detached.spawn(self.run(request, sender));
        answer.await.map_err(|_| ClaimError::Interrupted)
    }

    async fn run(self, request: PipelineRequest, caller: oneshot::Sender<ClaimedAnswer>) {
        let id = request.id;
        let pipeline = Arc::clone(&request.pipeline);
        let idempotent = request.idempotent;
        let answer = match self.node.run(request).await {
            Err(PipelineError::NotRun(refusal)) => {
                self.record(None).await;
                ClaimedAnswer::NotRun(refusal)
            }
            Err(error) if idempotent && may_run_again(&pipeline, &error) => {
                self.record(None).await;
                ClaimedAnswer::Answer((self.write)(id, Err(error)))
            }
            result => {
                let answer = (self.write)(id, result);
                self.record(Some(answer.clone())).await;
                ClaimedAnswer::Answer(answer)
            }
        };
        if caller.send(answer).is_err() {
            log_event!(info, "claimed_caller_left", request = id);
        }
    }

    /// Records how the run ended: an answer, or that nothing ran. When control
    /// is slow the caller is not kept waiting and the record follows.
    async fn record(&self, answer: Option<ClaimAnswer>) {
        let record = record(Arc::clone(&self.node), self.ticket.clone(), answer);
        let task = self.node.detached.spawn(record);
        if timeout(RECORD_WAIT, task).await.is_err() {
            log_event!(warn, "claim_record_slow", key = self.ticket.key.key);
        }
    }

    /// Gives a claim back of which it is not known whether it was granted.
    fn give_back(&self) {
        let record = record(Arc::clone(&self.node), self.ticket.clone(), None);
        self.node.detached.spawn(record);
    }
}

async fn record(node: Arc<EntryNode>, ticket: ClaimTicket, answer: Option<ClaimAnswer>) {
    for _ in 0..RECORD_TRIES {
        let recorded = match &answer {
            Some(answer) => node.claims().finish(&ticket, answer.clone()).await,
            None => node.claims().release(&ticket).await,
        };
        match recorded {
            Ok(_) => return,
            Err(error) => log_event!(warn, "claim_record_failed", error = error),
        }
        sleep(RECORD_PAUSE).await;
    }
    log_event!(error, "claim_record_given_up", key = ticket.key.key);
}

/// Whether a run ended before any stage that may run at most once was sent to
/// an endpoint: then a resend is a new try, and not a second booking.
fn may_run_again(pipeline: &PipelinePlan, error: &PipelineError) -> bool {
    let (failed, was_sent) = match error {
        PipelineError::NotRun(_) => return true,
        PipelineError::OutcomeUnknown { .. } => return false,
        PipelineError::NoEndpoint { stage, .. } => (stage, false),
        PipelineError::DeadlineExceeded { stage, .. }
        | PipelineError::StageFailed { stage, .. } => (stage, true),
    };
    for stage in &pipeline.stages {
        if stage.name == *failed {
            return stage.idempotent || !was_sent;
        }
        if !stage.idempotent {
            return false;
        }
    }
    false
}

/// What a decision that ends the wait means to the caller.
fn settled(decision: ClaimDecision) -> ClaimResult<ClaimedAnswer> {
    match decision {
        ClaimDecision::Answered(answer) => Ok(ClaimedAnswer::Answer(answer)),
        ClaimDecision::AnswerDropped(_) => Err(ClaimError::AnswerDropped),
        ClaimDecision::Conflict(_) => Err(ClaimError::Conflict),
        ClaimDecision::Orphaned(orphaned) => Err(ClaimError::OutcomeUnknown {
            entry: orphaned.owner.unwrap_or_default().entry,
        }),
        ClaimDecision::Granted(_)
        | ClaimDecision::Running(_)
        | ClaimDecision::Recorded(_)
        | ClaimDecision::Refused(_)
        | ClaimDecision::Unknown(_) => Err(ClaimError::Interrupted),
    }
}

fn reason(refusal: i32) -> &'static str {
    ClaimRefusal::try_from(refusal).map_or("unknown", |it| it.as_str_name())
}
