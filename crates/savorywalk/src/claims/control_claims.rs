use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::local_claims::decided;
use super::{
    ClaimBatch, ClaimCall, ClaimDecision, ClaimKey, ClaimOutcome, ClaimOwner, ClaimStep, EntryLease,
};
use crate::control::{
    ControlAnswer, ControlBody, ControlClient, ControlError, ControlQuestion, ControlVerdict,
    Result, unexpected,
};
use crate::prelude::*;

/// How long an entry counts as alive after its last sign of life. A resend is
/// told "outcome unknown" no sooner than this after its claimant died.
const LEASE_MS: u32 = 6_000;
/// Three signs of life within a lease, so that two may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Most calls in one command; with 300 bytes each it stays under 100 KB.
const MAX_BATCH: usize = 256;
/// Calls that may wait for a batch; a further one is refused.
const QUEUE_CAPACITY: usize = 4_096;

/// Claims in the replicated log, many calls to a command.
///
/// Calls that come while a command is being decided share the next one, so
/// batches grow with the load and a lone call waits for nothing.
#[derive(Debug)]
pub struct ControlClaims {
    owner: ClaimOwner,
    control: ControlClient,
    calls: mpsc::Sender<WaitingCall>,
    tasks: [AbortHandle; 2],
}

#[derive(Debug)]
struct WaitingCall {
    call: ClaimCall,
    reply: oneshot::Sender<Result<ClaimDecision>>,
}

impl Drop for ControlClaims {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl ControlClaims {
    /// Claims of the life `owner` of an entry; registers it with control.
    pub fn start(control: ControlClient, owner: ClaimOwner) -> Self {
        let (calls, waiting) = mpsc::channel(QUEUE_CAPACITY);
        let renewal = tokio::spawn(renew(control.clone(), owner.clone()));
        let batches = tokio::spawn(decide_batches(control.clone(), waiting));
        Self {
            owner,
            control,
            calls,
            tasks: [renewal.abort_handle(), batches.abort_handle()],
        }
    }

    pub(super) fn owner(&self) -> &ClaimOwner {
        &self.owner
    }

    pub(super) async fn call(&self, step: ClaimStep) -> Result<ClaimDecision> {
        let (reply, decision) = oneshot::channel();
        let call = ClaimCall { call: Some(step) };
        let waiting = WaitingCall { call, reply };
        if self.calls.try_send(waiting).is_err() {
            let message = "too many claims wait";
            return Err(ControlError::Unavailable(message.into()));
        }
        match decision.await {
            Ok(decision) => decision,
            Err(_) => Err(ControlError::Unavailable("the entry is stopping".into())),
        }
    }

    pub(super) async fn look_up(&self, key: &ClaimKey) -> Result<ClaimDecision> {
        let question = ControlQuestion::Claim(key.clone());
        let answer = self.control.query(question).await?;
        let ControlAnswer::Claim(outcome) = answer else {
            return Err(unexpected(&answer));
        };
        decided(Some(outcome))
    }
}

async fn renew(control: ControlClient, owner: ClaimOwner) {
    let mut ticks = interval(RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let lease = EntryLease {
            owner: Some(owner.clone()),
            lease_ms: LEASE_MS,
        };
        match control.propose(ControlBody::Lease(lease)).await {
            Ok(ControlVerdict::Lease(outcome)) if outcome.alive => {}
            Ok(verdict) => log_event!(
                warn,
                "entry_lease_refused",
                entry = owner.entry,
                verdict = format!("{verdict:?}")
            ),
            Err(error) => log_event!(warn, "entry_lease_failed", error = error),
        }
    }
}

async fn decide_batches(control: ControlClient, mut waiting: mpsc::Receiver<WaitingCall>) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while waiting.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let (calls, replies): (Vec<_>, Vec<_>) =
            batch.drain(..).map(|it| (it.call, it.reply)).unzip();
        let decisions = decide(&control, calls, replies.len()).await;
        for (reply, decision) in replies.into_iter().zip(decisions) {
            if reply.send(decision).is_err() {
                log_event!(debug, "claimant_left");
            }
        }
    }
}

/// One decision for each of `count` calls; a command that fails fails them all.
async fn decide(
    control: &ControlClient,
    calls: Vec<ClaimCall>,
    count: usize,
) -> Vec<Result<ClaimDecision>> {
    let batch = ClaimBatch { shard: 0, calls };
    let outcomes = match control.propose(ControlBody::Claims(batch)).await {
        Ok(ControlVerdict::Claims(outcome)) if outcome.outcomes.len() == count => outcome.outcomes,
        Ok(verdict) => return vec![Err(unexpected(&verdict)); count],
        Err(error) => return vec![Err(error); count],
    };
    let decide_one = |outcome: ClaimOutcome| decided(Some(outcome));
    outcomes.into_iter().map(decide_one).collect()
}

#[cfg(test)]
#[path = "control_claims_tests.rs"]
mod tests;
