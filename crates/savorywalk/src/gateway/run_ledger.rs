use crate::prelude::*;

/// Proof that no endpoint has run a request or ever will. A request that was sent gets it
/// from its ledger alone, so a request that may have run can't be reported as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// Records which endpoints a request was sent to, and how many of them may have run it.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    sent: Vec<RecordedSend>,
}

#[derive(Clone, Debug)]
struct RecordedSend {
    endpoint: Arc<str>,
    outcome: SendOutcome,
}

/// What is known of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendOutcome {
    /// The endpoint may have run the request.
    MayHaveRun,
    /// The endpoint guarantees not to have run the request.
    Denied,
    /// The endpoint may have run the request, its connection was closed, and it may get the request
    /// again.
    Withdrawn,
}

impl RunLedger {
    /// Records that the request is about to be sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &str) {
        self.sent.push(RecordedSend {
            endpoint: endpoint.into(),
            outcome: SendOutcome::MayHaveRun,
        });
    }

    /// Records that `endpoint` guarantees not to have run the request, or that none of its bytes
    /// were written.
    pub fn record_denial(&mut self, endpoint: &str) {
        self.set_outcome(endpoint, SendOutcome::Denied);
    }

    /// Records that the connection to `endpoint` was closed before it answered, and that it may get
    /// the request again. It counts among those that may have run it, but only once.
    pub(super) fn record_withdrawal(&mut self, endpoint: &str) {
        self.set_outcome(endpoint, SendOutcome::Withdrawn);
    }

    fn set_outcome(&mut self, endpoint: &str, outcome: SendOutcome) {
        let mut sends = self.sent.iter_mut().rev();
        let send = sends
            .find(|send| &*send.endpoint == endpoint && send.outcome == SendOutcome::MayHaveRun);
        debug_assert!(send.is_some(), "an outcome without a send");
        if let Some(send) = send {
            send.outcome = outcome;
        }
    }

    /// Forgets the sends to endpoints that have not run the request, so that these may be asked
    /// again.
    pub(super) fn forget_denials(&mut self) {
        self.sent.retain(|send| send.outcome != SendOutcome::Denied);
    }

    /// The proof, unless an endpoint may have run the request.
    pub fn not_run(&self) -> Option<NotRun> {
        (self.runs() == 0).then_some(NotRun(()))
    }

    /// Number of endpoints that may have run the request.
    pub fn runs(&self) -> usize {
        let sends = self.sent.iter();
        let sends = sends.filter(|send| send.outcome != SendOutcome::Denied);
        let endpoints: BTreeSet<&str> = sends.map(|send| &*send.endpoint).collect();
        endpoints.len()
    }

    /// Whether the request may be sent to `endpoint`, if `max_endpoints` may run it.
    pub(super) fn may_run_at(&self, endpoint: &str, max_endpoints: usize) -> bool {
        let mut sends = self.sent.iter();
        self.runs() < max_endpoints || sends.any(|send| send.is_withdrawn_from(endpoint))
    }

    /// Whether there may be an endpoint for another send, if `max_endpoints` may run the request.
    pub(super) fn has_spare_endpoint(&self, max_endpoints: usize) -> bool {
        let mut sends = self.sent.iter();
        let may_get_again = |send: &RecordedSend| {
            send.outcome == SendOutcome::Withdrawn && !self.was_sent_to(&send.endpoint)
        };
        self.runs() < max_endpoints || sends.any(may_get_again)
    }

    /// Number of sends, including denied ones that were not forgotten.
    pub fn sends(&self) -> usize {
        self.sent.len()
    }

    /// Endpoints that the request was sent to and that do not get it again, in order.
    pub(super) fn endpoints(&self) -> Vec<String> {
        self.sent
            .iter()
            .filter(|send| send.outcome != SendOutcome::Withdrawn)
            .map(|send| send.endpoint.to_string())
            .collect()
    }

    /// Whether the request was sent to `endpoint`, which does not get it again.
    pub fn was_sent_to(&self, endpoint: &str) -> bool {
        let mut sends = self.sent.iter();
        sends.any(|send| &*send.endpoint == endpoint && send.outcome != SendOutcome::Withdrawn)
    }
}

impl RecordedSend {
    fn is_withdrawn_from(&self, endpoint: &str) -> bool {
        &*self.endpoint == endpoint && self.outcome == SendOutcome::Withdrawn
    }
}

impl NotRun {
    /// The proof for a request that is refused before a ledger exists for it.
    pub(super) fn for_unsent() -> Self {
        Self(())
    }
}

#[cfg(test)]
#[path = "run_ledger_tests.rs"]
mod tests;
