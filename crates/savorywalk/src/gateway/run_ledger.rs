use crate::prelude::*;

/// Proof that no endpoint has run a request or ever will. Only a ledger gives
/// it, so a caller can't be told so of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// Which endpoints a request was sent to, and which of them may have run it.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    sent: Vec<Arc<str>>,
    denials: usize,
}

impl RunLedger {
    /// Notes that the request is about to be sent to `endpoint`.
    pub fn send(&mut self, endpoint: &str) {
        self.sent.push(endpoint.into());
    }

    /// Notes that the endpoint to which it was sent last vouches that it has
    /// not run, or that no byte of it was written.
    pub fn deny(&mut self) {
        debug_assert!(self.denials < self.sent.len());
        self.denials += 1;
    }

    /// The proof, unless an endpoint may have run the request.
    pub fn not_run(&self) -> Option<NotRun> {
        (self.runs() == 0).then_some(NotRun(()))
    }

    /// Endpoints that may have run it.
    pub fn runs(&self) -> usize {
        self.sent.len() - self.denials
    }

    /// How often it was sent.
    pub fn sends(&self) -> usize {
        self.sent.len()
    }

    /// Endpoints to which it was sent.
    pub(super) fn endpoints(&self) -> Vec<String> {
        self.sent.iter().map(|sent| sent.to_string()).collect()
    }

    /// Whether it was sent to `endpoint`.
    pub fn was_sent_to(&self, endpoint: &str) -> bool {
        self.sent.iter().any(|sent| &**sent == endpoint)
    }
}

impl NotRun {
    /// The proof for a request that was never handed to a ledger.
    pub(super) fn unread() -> Self {
        Self(())
    }
}

#[cfg(test)]
#[path = "run_ledger_tests.rs"]
mod tests;
