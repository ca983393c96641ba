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
    /// Whether the endpoint guarantees not to have run the request.
    is_denied: bool,
}

impl RunLedger {
    /// Records that the request is about to be sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &str) {
        self.sent.push(RecordedSend {
            endpoint: endpoint.into(),
            is_denied: false,
        });
    }

    /// Records that `endpoint` guarantees not to have run the request, or that none of its bytes
    /// were written.
    pub fn record_denial(&mut self, endpoint: &str) {
        let mut sends = self.sent.iter_mut().rev();
        let send = sends.find(|send| &*send.endpoint == endpoint && !send.is_denied);
        debug_assert!(send.is_some(), "a denial without a send");
        if let Some(send) = send {
            send.is_denied = true;
        }
    }

    /// Forgets the sends to endpoints that have not run the request, so that these may be asked
    /// again.
    pub(super) fn forget_denials(&mut self) {
        self.sent.retain(|send| !send.is_denied);
    }

    /// The proof, unless an endpoint may have run the request.
    pub fn not_run(&self) -> Option<NotRun> {
        (self.runs() == 0).then_some(NotRun(()))
    }

    /// Number of endpoints that may have run the request.
    pub fn runs(&self) -> usize {
        self.sent.iter().filter(|send| !send.is_denied).count()
    }

    /// Number of sends, including denied ones.
    pub fn sends(&self) -> usize {
        self.sent.len()
    }

    /// Endpoints that the request was sent to, in order.
    pub(super) fn endpoints(&self) -> Vec<String> {
        self.sent
            .iter()
            .map(|send| send.endpoint.to_string())
            .collect()
    }

    /// Whether the request was sent to `endpoint`.
    pub fn was_sent_to(&self, endpoint: &str) -> bool {
        self.sent.iter().any(|send| &*send.endpoint == endpoint)
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
