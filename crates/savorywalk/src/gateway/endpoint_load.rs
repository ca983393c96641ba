use super::PieceProfile;
use crate::prelude::*;

/// How long before the end of a call the next one is sent, to wait at the
/// endpoint: a call of 17 KB takes 14 ms on a link of 10 Mbit/s, and opening its
/// connection and the last answer's way back some 6 ms.
pub(super) const LEAD_TIME: Duration = Duration::from_millis(25);

/// What this entry believes of an endpoint's load.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoadView {
    /// Time that each of this entry's calls there takes, about, in order.
    pub(super) calls: VecDeque<Duration>,
    /// When the first of them began or will have begun.
    pub(super) began: Option<Instant>,
    pub(super) free_at: Option<Instant>,
    pub(super) reported: Option<Instant>,
}

impl EndpointLoadView {
    pub(super) fn begin(&mut self, now: Instant, length: Duration) {
        if self.calls.is_empty() {
            self.began = Some(now);
        }
        self.calls.push_back(length);
    }

    pub(super) fn end(&mut self, now: Instant) {
        self.calls.pop_front();
        self.began = Some(now);
    }

    /// When the next call may be sent, as far as this entry's own calls tell;
    /// `None` when one waits there already.
    pub(super) fn next_send(&self, now: Instant, profile: &PieceProfile) -> Option<Instant> {
        let Some(first) = self.calls.front() else {
            return Some(now);
        };
        if self.calls.len() > 1 || profile.queue == 0 {
            return None;
        }
        let end = self.began.unwrap_or(now) + *first;
        end.checked_sub(LEAD_TIME)
    }
}
