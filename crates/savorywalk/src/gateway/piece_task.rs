use std::sync::atomic::{AtomicBool, Ordering};

use super::retry_budget::RepeatReason;
use super::{CallNumber, DataCenterFilter, PieceSource};
use crate::prelude::*;
use crate::quarantine::RequestDigest;

/// Data shared by all pieces of one stage of one request.
#[derive(Debug)]
pub struct PieceTask {
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Digest by which a resent request is recognised.
    pub digest: Option<RequestDigest>,
    /// Index of the stage in its plan.
    pub stage: u32,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Time by which the request should be answered.
    pub due: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Estimated time that the request needs after this stage.
    pub tail: Duration,
    /// Input of the pieces: the key of the request, or results of earlier stages.
    pub source: PieceSource,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Data centre in which the pieces should be worked on, when working elsewhere would move
    /// much data between data centres.
    pub preferred_data_center: Option<Arc<str>>,
    /// Data centres in which the pieces may be worked on.
    pub data_center_filter: DataCenterFilter,
    /// Whether the pieces may have been sent before, for an earlier execution of the stage.
    pub is_rerun: bool,
    /// Whether the first send of each piece takes a retry from the budget.
    pub needs_retries: bool,
    /// Set when the request no longer waits for the pieces.
    pub abandoned: AtomicBool,
    /// Set once the first piece has been put into a call.
    pub begun: AtomicBool,
    /// Set once an endpoint may have crashed because of a call with one of the pieces.
    pub isolated: AtomicBool,
}

/// One piece that waits for a call.
#[derive(Clone, Debug)]
pub struct QueuedPiece {
    /// Stage and request that the piece belongs to.
    pub task: Arc<PieceTask>,
    /// Index of the piece in its stage.
    pub piece: u32,
    /// Time at which the piece was first queued.
    pub queued: Instant,
    /// Number of calls with the piece that have failed or stalled.
    pub failures: u32,
    /// Whether the piece may have been sent to an endpoint.
    pub was_sent: bool,
    /// Whether its next send takes a retry from the budget: it failed, or its stage is executed again.
    /// A piece that an endpoint had no room for is flow control, and takes none.
    pub needs_retry: bool,
}

impl QueuedPiece {
    /// Whether both are copies of one piece.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.piece == other.piece && Arc::ptr_eq(&self.task, &other.task)
    }

    /// Why the piece is sent again.
    pub(super) fn repeat_reason(&self) -> RepeatReason {
        match (self.failures, self.task.is_rerun) {
            (0, true) => RepeatReason::Rerun,
            (0, false) => RepeatReason::Denied,
            (_, _) => RepeatReason::Failed,
        }
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct PieceCall {
    /// Number of the call in its queue.
    pub number: CallNumber,
    /// Identity of the incarnation of the endpoint.
    pub endpoint: Arc<str>,
    /// Pieces of the call, in the order of their outcomes.
    pub pieces: Vec<QueuedPiece>,
}

/// An endpoint that may be called.
#[derive(Clone, Debug)]
pub struct PieceTarget<'a> {
    /// Identity of the incarnation of the endpoint.
    pub endpoint: &'a str,
    /// Data centre of the endpoint.
    pub data_center: &'a str,
    /// Latency of the endpoint, in units of its pool's. Endpoints with a higher cost are called
    /// later.
    pub cost: f64,
}

impl PieceTask {
    /// Records that the request no longer waits for the pieces.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Relaxed);
    }

    /// Whether the request can be answered by its due time if a call of `call_time` begins now.
    pub(super) fn is_timely(&self, now: Instant, call_time: Duration) -> bool {
        now + call_time + self.tail <= self.due
    }

    pub(super) fn has_inputs(&self) -> bool {
        match self.source {
            PieceSource::Key(_) => false,
            PieceSource::Inputs(_) => true,
        }
    }

    pub(super) fn is_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// From now on, keeps its pieces in calls without pieces of other requests, so that another
    /// crash does not affect those.
    pub(super) fn isolate(&self) {
        self.isolated.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_isolated(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.abandoned.load(Ordering::Relaxed)
    }
}
