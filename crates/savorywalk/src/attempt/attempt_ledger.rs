use futures::future::AbortHandle;

use super::{LaunchKind, WasteTally};
use crate::cost::WasteReason;
use crate::prelude::*;
use crate::routing::OutstandingGuard;

/// Times, endpoint and cost of one attempt.
#[derive(Debug)]
pub(super) struct AttemptEntry {
    pub(super) kind: LaunchKind,
    pub(super) endpoint: String,
    pub(super) address: SocketAddr,
    pub(super) started: Instant,
    pub(super) first_event: Option<Instant>,
    pub(super) last_event: Option<Instant>,
    pub(super) longest_gap: Option<Duration>,
    pub(super) stalled: bool,
    ended: Option<(Instant, WasteReason)>,
    abort: AbortHandle,
    guard: Option<OutstandingGuard>,
}

impl AttemptEntry {
    pub(super) fn new(
        now: Instant,
        kind: LaunchKind,
        endpoint: String,
        address: SocketAddr,
        abort: AbortHandle,
        guard: OutstandingGuard,
    ) -> Self {
        Self {
            kind,
            endpoint,
            address,
            started: now,
            first_event: None,
            last_event: None,
            longest_gap: None,
            stalled: false,
            ended: None,
            abort,
            guard: Some(guard),
        }
    }

    /// Records that a token event arrived.
    pub(super) fn record_token_event(&mut self, now: Instant) {
        self.first_event.get_or_insert(now);
        if let Some(last) = self.last_event.replace(now) {
            let gap = now.saturating_duration_since(last);
            self.longest_gap = self.longest_gap.max(Some(gap));
        }
    }

    /// Records the end of the attempt, which then no longer counts as
    /// outstanding. `reason` applies if the attempt turns out to be waste.
    pub(super) fn end(&mut self, now: Instant, reason: WasteReason) {
        self.ended.get_or_insert((now, reason));
        self.guard = None;
    }

    /// Aborts the attempt's exchange, which closes its connection.
    pub(super) fn abort(&mut self, now: Instant) {
        let reason = match self.stalled {
            true => WasteReason::FailedAttempt,
            false => WasteReason::LostHedge,
        };
        self.abort.abort();
        self.end(now, reason);
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    fn elapsed(&self, now: Instant) -> Duration {
        let ended = self.ended.map_or(now, |(ended, _)| ended);
        ended.saturating_duration_since(self.started)
    }
}

/// The attempts of one stage, and the endpoint time that they used.
#[derive(Debug, Default)]
pub(super) struct AttemptLedger {
    /// Indexed by attempt number. `None` for an attempt without an endpoint.
    pub(super) entries: Vec<Option<AttemptEntry>>,
}

impl AttemptLedger {
    pub(super) fn entry(&mut self, attempt: u16) -> Option<&mut AttemptEntry> {
        self.entries.get_mut(usize::from(attempt))?.as_mut()
    }

    /// Endpoints of all attempts that were sent.
    pub(super) fn endpoints(&self) -> Vec<String> {
        let entries = self.entries.iter().flatten();
        entries.map(|entry| entry.endpoint.clone()).collect()
    }

    /// Number of attempts that were sent.
    pub(super) fn sent_count(&self) -> u16 {
        self.entries.iter().flatten().count() as u16
    }

    /// Returns the endpoint time of `winner` and the attempts that it resumed,
    /// and the wasted endpoint time of all others, by reason.
    pub(super) fn costs(&self, now: Instant, winner: Option<u16>) -> (Duration, WasteTally) {
        let chain = self.resume_chain(winner);
        let mut used = Duration::ZERO;
        let mut waste = WasteTally::default();
        for (number, entry) in (0_u16..).zip(&self.entries) {
            let Some(entry) = entry else { continue };
            if chain.contains(&number) {
                used += entry.elapsed(now);
                continue;
            }
            let reason = entry.ended.map_or(WasteReason::Late, |(_, reason)| reason);
            waste.add(reason, entry.elapsed(now));
        }
        (used, waste)
    }

    /// Numbers of `winner` and the attempts that it resumed, latest first.
    fn resume_chain(&self, winner: Option<u16>) -> Vec<u16> {
        let mut chain = Vec::new();
        let mut next = winner;
        while let Some(attempt) = next {
            chain.push(attempt);
            let entry = self.entries.get(usize::from(attempt));
            next = match entry.and_then(Option::as_ref).map(|entry| &entry.kind) {
                Some(LaunchKind::Resume(point)) => Some(point.attempt),
                Some(LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge) | None => None,
            };
        }
        chain
    }
}

#[cfg(test)]
#[path = "attempt_ledger_tests.rs"]
mod tests;
