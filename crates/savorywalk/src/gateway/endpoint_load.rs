use super::PieceProfile;
use crate::prelude::*;

/// How long before the expected end of a call the next one is sent to wait at the endpoint.
/// A call of 17 KB takes 14 ms on a link of 10 Mbit/s; opening its connection and returning
/// the previous response take some 6 ms.
pub(super) const LEAD_TIME: Duration = Duration::from_millis(25);

/// An endpoint's load as estimated by this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointLoadView {
    /// Estimated durations of this entry's calls at the endpoint, in order.
    pub(super) calls: VecDeque<Duration>,
    /// Calls of this entry that have stalled; these are not among `calls`.
    pub(super) stalled: usize,
    /// Whether the endpoint has sent nothing to this entry since a call has stalled.
    pub(super) is_silent: bool,
    /// When the first of `calls` was sent, or when the call before it ended.
    pub(super) first_began: Option<Instant>,
    /// When the endpoint is expected to be free or may be tried again.
    pub(super) free_at: Option<Instant>,
    /// When the last finished call reported the endpoint's load; `None` if it did not.
    pub(super) reported: Option<Instant>,
    /// Reported duration of work relative to the usual one, and when it was reported.
    pace: Option<(f64, Instant)>,
}

/// Time in which a reported pace loses half of its weight: the load of an endpoint's host
/// changes many times a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age at which a reported pace is ignored.
const MAX_PACE_AGE: Duration = Duration::from_secs(1);

/// Minimum and maximum of a reported pace.
const PACE_RANGE: (f64, f64) = (0.25, 8.0);

impl EndpointLoadView {
    /// Records the reported duration of work, in hundredths of the usual one.
    pub(super) fn record_pace(&mut self, now: Instant, percent: Option<u32>) {
        let pace = percent.map(|percent| f64::from(percent) / 100.0);
        self.pace = pace.map(|pace| (pace.clamp(PACE_RANGE.0, PACE_RANGE.1), now));
    }

    /// Estimated duration of a call that begins now, relative to the usual one.
    pub(super) fn relative_duration(&self, now: Instant) -> f64 {
        let Some((pace, reported)) = self.pace else {
            return 1.0;
        };
        let age = now.saturating_duration_since(reported);
        if age >= MAX_PACE_AGE {
            return 1.0;
        }
        let weight = (-age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (pace - 1.0) * weight
    }

    pub(super) fn begin_call(&mut self, now: Instant, length: Duration) {
        if self.calls.is_empty() {
            self.first_began = Some(now);
        }
        self.calls.push_back(length);
    }

    pub(super) fn end_call(&mut self, now: Instant) {
        self.calls.pop_front();
        self.first_began = Some(now);
    }

    /// Moves a call to those that have stalled.
    pub(super) fn stall_call(&mut self, now: Instant) {
        self.end_call(now);
        self.stalled += 1;
        self.is_silent = true;
        self.reported = None;
        self.free_at = None;
    }

    /// Records the end of a call that had stalled.
    pub(super) fn end_stalled(&mut self) {
        self.stalled = self.stalled.saturating_sub(1);
        self.is_silent &= self.stalled > 0;
    }

    /// Number of this entry's calls at the endpoint.
    pub(super) fn call_count(&self) -> usize {
        self.calls.len() + self.stalled
    }

    /// Number of calls that take a place at the endpoint. Of those that have stalled it is one:
    /// once the endpoint makes progress, others were probably lost with their connections.
    fn places_taken(&self) -> usize {
        let stalled = usize::from(self.stalled > 0 && !self.is_silent);
        self.calls.len() + stalled
    }

    /// When the next call may be sent, judged by this entry's own calls; `None` if one of them
    /// is already waiting at the endpoint or the endpoint has no queue.
    pub(super) fn next_send(&self, now: Instant, profile: &PieceProfile) -> Option<Instant> {
        let taken = self.places_taken();
        if taken > 1 || (taken == 1 && profile.queue == 0) {
            return None;
        }
        let Some(first) = self.calls.front() else {
            return Some(now);
        };
        let end = self.first_began.unwrap_or(now) + *first;
        end.checked_sub(LEAD_TIME)
    }
}
