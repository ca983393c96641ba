use super::piece_board::BoardKey;
use super::{PieceSource, ResultHandle};
use crate::generated::work::StageCall;
use crate::prelude::*;

/// All pieces of one stage of one request.
#[derive(Clone, Debug)]
pub(super) struct StageOrder {
    pub(super) request_id: Arc<str>,
    pub(super) stage: u32,
    pub(super) pool: String,
    pub(super) pieces: u32,
    pub(super) rank: u8,
    pub(super) due: Instant,
    pub(super) deadline: Instant,
    pub(super) source: PieceSource,
    pub(super) result_bytes: u64,
    pub(super) near: Option<Arc<str>>,
    /// Time that the request needs after this stage, about.
    pub(super) tail: Duration,
}

/// Results of a stage, and where they were gathered.
#[derive(Clone, Debug)]
pub(super) struct MadeStage {
    pub(super) key: BoardKey,
    pub(super) handles: Arc<[ResultHandle]>,
}

/// Why a stage came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StageStop {
    Late,
    Overload,
    InputGone,
    Failed,
}

impl StageOrder {
    /// The call that has another entry do it.
    pub(super) fn to_call(&self, now: Instant, key: &BoardKey) -> StageCall {
        let due_ms = match self.due.checked_duration_since(now) {
            Some(left) => left.as_millis() as i32,
            None => -((now - self.due).as_millis() as i32),
        };
        let deadline = self.deadline.saturating_duration_since(now);
        let (work_key, inputs) = match &self.source {
            PieceSource::Key(key) => (key.to_string(), Vec::new()),
            PieceSource::Inputs(inputs) => {
                let inputs = inputs.iter().map(|handle| handle.0.to_string());
                (String::new(), inputs.collect())
            }
        };
        StageCall {
            request_id: self.request_id.to_string(),
            stage: self.stage,
            pool: key.pool.clone(),
            shard: key.shard.clone().unwrap_or_default(),
            pieces: self.pieces,
            rank: self.rank.into(),
            due_ms,
            deadline_ms: deadline.as_millis() as u32,
            key: work_key,
            inputs,
            near: self.near.as_deref().unwrap_or_default().to_string(),
            result_bytes: self.result_bytes,
            tail_ms: self.tail.as_millis() as u32,
        }
    }

    /// The order that a call of another entry asks for, and where it gathers.
    pub(super) fn from_call(now: Instant, call: StageCall) -> (BoardKey, Self) {
        let late = Duration::from_millis(u64::from(call.due_ms.min(0).unsigned_abs()));
        let left = Duration::from_millis(u64::from(call.due_ms.max(0).unsigned_abs()));
        let due = now.checked_sub(late).unwrap_or(now) + left;
        let source = match call.key.is_empty() {
            true => PieceSource::Inputs(
                call.inputs
                    .into_iter()
                    .map(|handle| ResultHandle(handle.into()))
                    .collect(),
            ),
            false => PieceSource::Key(call.key.into()),
        };
        let key = BoardKey {
            pool: call.pool.clone(),
            shard: (!call.shard.is_empty()).then_some(call.shard),
        };
        let order = Self {
            request_id: call.request_id.into(),
            stage: call.stage,
            pool: call.pool,
            pieces: call.pieces,
            rank: call.rank.min(u8::MAX.into()) as u8,
            due,
            deadline: now + Duration::from_millis(call.deadline_ms.into()),
            source,
            result_bytes: call.result_bytes,
            near: (!call.near.is_empty()).then(|| call.near.into()),
            tail: Duration::from_millis(call.tail_ms.into()),
        };
        (key, order)
    }
}

#[cfg(test)]
#[path = "stage_order_tests.rs"]
mod tests;
