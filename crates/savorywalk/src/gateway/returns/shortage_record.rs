use crate::prelude::*;

/// Time after which a shortage is expected to end: the length of a short burst of load. Callers
/// can wait for little longer, and a promise that newcomers take is no worse than none.
const SHORT_BURST: Duration = Duration::from_secs(3);

/// Time for which a shortage that has lasted longer is expected to go on.
const MIN_REMAINING: Duration = Duration::from_secs(1);

/// Pause between refusals after which the next one begins a new shortage.
const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Remembers since when plans have been refused, to tell how long that will go on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShortageRecord {
    span: Option<ShortageSpan>,
}

#[derive(Clone, Copy, Debug)]
struct ShortageSpan {
    began: Instant,
    last_refusal: Instant,
}

impl ShortageRecord {
    /// Records a refusal.
    pub(super) fn record(&mut self, now: Instant) {
        let current = self.span.filter(|span| now < span.last_refusal + MIN_PAUSE);
        let began = current.map_or(now, |span| span.began);
        self.span = Some(ShortageSpan {
            began,
            last_refusal: now,
        });
    }

    /// When arrivals are expected to be as usual again.
    pub(super) fn expected_end(&self, now: Instant) -> Instant {
        let began = self.span.map_or(now, |span| span.began);
        (began + SHORT_BURST).max(now + MIN_REMAINING)
    }
}
