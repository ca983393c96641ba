use crate::prelude::*;

/// How long the shortest transit is kept as the base; longer than any usual
/// queue, short enough that clocks drift by little.
const WINDOW: Duration = Duration::from_secs(60);

/// Tells how much longer than usual a message from one sender took, though the
/// two clocks have nothing in common.
///
/// As in LEDBAT (RFC 6817), the least difference between receiving and sending
/// time in a while is taken as the base; what a message took beyond it, it
/// spent in queues. Without this a lease that waited in a queue would look
/// fresh.
#[derive(Debug)]
pub(super) struct TransitClock {
    epoch: u32,
    heard_at: Instant,
    base: i64,
    next_base: i64,
    window_end: Instant,
}

impl TransitClock {
    pub(super) fn new(now: Instant, epoch: u32, difference_ms: i64) -> Self {
        Self {
            epoch,
            heard_at: now,
            base: difference_ms,
            next_base: difference_ms,
            window_end: now + WINDOW,
        }
    }

    /// When the sender was heard last.
    pub(super) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Time that a message spent beyond the usual; `difference_ms` is the
    /// receiver's clock at arrival less the sender's at sending. A message of
    /// a former life of the sender took longer than anything is good for.
    pub(super) fn excess(&mut self, now: Instant, epoch: u32, difference_ms: i64) -> Duration {
        if epoch < self.epoch {
            return Duration::MAX;
        }
        if epoch > self.epoch {
            *self = Self::new(now, epoch, difference_ms);
        }
        self.heard_at = now;
        if now >= self.window_end {
            self.base = self.next_base;
            self.next_base = difference_ms;
            self.window_end = now + WINDOW;
        }
        self.base = self.base.min(difference_ms);
        self.next_base = self.next_base.min(difference_ms);
        let excess = difference_ms.saturating_sub(self.base);
        Duration::from_millis(u64::try_from(excess).unwrap_or(0))
    }
}

#[cfg(test)]
#[path = "transit_clock_tests.rs"]
mod tests;
