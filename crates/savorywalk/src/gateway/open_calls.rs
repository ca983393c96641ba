use super::QueuedPiece;
use crate::prelude::*;

/// Identifies a call among those of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(u64);

impl fmt::Display for CallNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Why a stalled call is closed before its endpoint has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Other calls have made its last pieces.
    Replaced,
    /// No request waits for its pieces any more.
    Abandoned,
    /// The deadlines of its pieces have passed.
    Late,
}

impl CloseReason {
    /// Whether the endpoint has failed: it was silent for too long for requests that waited.
    pub const fn is_failure(self) -> bool {
        match self {
            Self::Replaced | Self::Late => true,
            Self::Abandoned => false,
        }
    }

    /// Name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Abandoned => "abandoned",
            Self::Late => "deadline",
        }
    }
}

/// The calls of one queue with their open pieces: those that no call has made and whose requests
/// wait.
///
/// An open piece is in at most one place that works towards its result: it waits in the queue, or
/// it is in a call that makes progress. Besides, it may be in any number of calls that have
/// stalled, and the first of all these to make it ends the others. See
/// docs/design/stalled-calls.md.
#[derive(Debug, Default)]
pub(super) struct OpenCalls {
    calls: BTreeMap<CallNumber, OpenCall>,
    next_number: u64,
    /// Stalled calls without an open piece whose connections are still open.
    closed: Vec<(CallNumber, CloseReason)>,
}

#[derive(Debug)]
struct OpenCall {
    pieces: Vec<QueuedPiece>,
    state: CallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Running,
    Stalled,
}

impl OpenCalls {
    /// Records a call that begins.
    pub(super) fn begin(&mut self, pieces: &[QueuedPiece]) -> CallNumber {
        let number = CallNumber(self.next_number);
        self.next_number += 1;
        let call = OpenCall {
            pieces: pieces.to_vec(),
            state: CallState::Running,
        };
        self.calls.insert(number, call);
        number
    }

    /// Records that a call has stalled. Returns false if it has no open piece.
    pub(super) fn stall(&mut self, number: CallNumber) -> bool {
        let Some(call) = self.calls.get_mut(&number) else {
            return false;
        };
        call.state = CallState::Stalled;
        true
    }

    /// Whether a call has an open piece.
    pub(super) fn is_open(&self, number: CallNumber) -> bool {
        self.calls.contains_key(&number)
    }

    /// Whether any call has stalled and has an open piece. Otherwise no piece has copies.
    pub(super) fn has_stalled(&self) -> bool {
        self.calls.values().any(OpenCall::is_stalled)
    }

    /// Whether a call has stalled and has an open piece.
    pub(super) fn is_stalled(&self, number: CallNumber) -> bool {
        self.calls.get(&number).is_some_and(OpenCall::is_stalled)
    }

    /// Whether a piece is open in a call.
    pub(super) fn has(&self, number: CallNumber, piece: &QueuedPiece) -> bool {
        let call = self.calls.get(&number);
        call.is_some_and(|call| call.has(piece))
    }

    /// Whether a piece is open in any call.
    pub(super) fn is_held(&self, piece: &QueuedPiece) -> bool {
        self.calls.values().any(|call| call.has(piece))
    }

    /// Takes a piece out of one call, which has not made it.
    pub(super) fn take(&mut self, number: CallNumber, piece: &QueuedPiece) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        call.pieces.retain(|own| !own.is_same(piece));
        if call.pieces.is_empty() {
            self.calls.remove(&number);
        }
    }

    /// Takes a piece that has ended out of all calls, and closes stalled ones that have no other.
    pub(super) fn take_from_all(&mut self, piece: &QueuedPiece, reason: CloseReason) {
        self.close_pieces(reason, |_, own| own.is_same(piece));
    }

    /// Takes the pieces for which no request waits out of stalled calls.
    pub(super) fn take_abandoned(&mut self) {
        if !self.has_stalled() {
            return;
        }
        self.close_pieces(CloseReason::Abandoned, |state, piece| {
            state == CallState::Stalled && piece.task.is_abandoned()
        });
    }

    /// Takes the pieces whose deadline has passed out of stalled calls, and returns them.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<QueuedPiece> {
        let stalled = self.calls.values().filter(|call| call.is_stalled());
        let pieces = stalled.flat_map(|call| &call.pieces);
        let expired = pieces.filter(|piece| piece.task.deadline <= now);
        let expired: Vec<QueuedPiece> = expired.cloned().collect();
        if !expired.is_empty() {
            self.close_pieces(CloseReason::Late, |call, piece| {
                call == CallState::Stalled && piece.task.deadline <= now
            });
        }
        expired
    }

    /// Returns the earliest deadline of a piece in a stalled call.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let stalled = self.calls.values().filter(|call| call.is_stalled());
        let pieces = stalled.flat_map(|call| &call.pieces);
        pieces.map(|piece| piece.task.deadline).min()
    }

    /// Returns the stalled calls whose connections are to be closed.
    pub(super) fn take_closed(&mut self) -> Vec<(CallNumber, CloseReason)> {
        std::mem::take(&mut self.closed)
    }

    fn close_pieces(
        &mut self,
        reason: CloseReason,
        is_closed: impl Fn(CallState, &QueuedPiece) -> bool,
    ) {
        let Self { calls, closed, .. } = self;
        calls.retain(|number, call| {
            let state = call.state;
            call.pieces.retain(|piece| !is_closed(state, piece));
            let is_open = !call.pieces.is_empty();
            if !is_open && state == CallState::Stalled {
                closed.push((*number, reason));
            }
            is_open
        });
    }
}

impl OpenCall {
    fn is_stalled(&self) -> bool {
        self.state == CallState::Stalled
    }

    fn has(&self, piece: &QueuedPiece) -> bool {
        self.pieces.iter().any(|own| own.is_same(piece))
    }
}
