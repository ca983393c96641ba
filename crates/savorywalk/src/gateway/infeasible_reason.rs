use super::piece_queue::MAX_LATE_WAIT;
use super::{PieceProfile, QueuedPiece};
use crate::prelude::*;

/// Why the wait of a late piece for spare endpoint time ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InfeasibleReason {
    /// No earlier stage of its request is lost with it.
    NothingMade,
    /// Its caller stops waiting before the request can be answered.
    CallerLeaves,
    /// The results that it works on expire before a call would end.
    InputsExpired,
}

impl InfeasibleReason {
    /// Returns why a piece should be refused now; `None` if it should wait on.
    ///
    /// A stage that works on results of earlier stages would throw these away, and its request
    /// would begin again. So it waits as long as it can be served.
    pub(super) fn of_piece(
        now: Instant,
        profile: &PieceProfile,
        piece: &QueuedPiece,
    ) -> Option<Self> {
        let task = &piece.task;
        let call_time = profile.call_duration(profile.batch);
        let is_open = task.is_begun() || task.is_timely(now, call_time);
        if is_open || now < piece.queued + MAX_LATE_WAIT {
            return None;
        }
        if !task.has_inputs() {
            return Some(Self::NothingMade);
        }
        if now + call_time + task.tail > task.deadline {
            return Some(Self::CallerLeaves);
        }
        // The first of the inputs were made about a call before the last.
        let is_expired = now + call_time >= piece.queued + profile.result_lifetime;
        is_expired.then_some(Self::InputsExpired)
    }

    /// Name of the reason in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NothingMade => "nothing_made",
            Self::CallerLeaves => "caller_leaves",
            Self::InputsExpired => "inputs_expired",
        }
    }
}
