use super::{RepeatReason, SendToken};
use crate::gateway::QueuedPiece;
use crate::gateway::gateway_node::GatewayNode;
use crate::prelude::*;

/// Retries of pieces of stages.
impl GatewayNode {
    /// Removes and returns the pieces that need a retry from the budget and get none.
    pub(in crate::gateway) async fn hold_back(
        self: &Arc<Self>,
        pool: &str,
        pieces: &mut Vec<QueuedPiece>,
    ) -> Vec<QueuedPiece> {
        let repeats = pieces.iter().filter(|piece| piece.needs_retry).count() as u32;
        if repeats == 0 {
            return Vec::new();
        }
        let granted = self.take_retries(pool, repeats).await;
        self.metrics.record_retries(pool, true, granted);
        self.metrics.record_retries(pool, false, repeats - granted);
        let mut left = granted;
        let (kept, held_back) = pieces.drain(..).partition(|piece| {
            let is_kept = !piece.needs_retry || left > 0;
            left -= u32::from(piece.needs_retry && is_kept);
            is_kept
        });
        *pieces = kept;
        held_back
    }

    /// Records that pieces are sent now, some of them perhaps with retries from the budget.
    pub(in crate::gateway) fn record_piece_sends(
        &self,
        pool: &str,
        pieces: &mut [QueuedPiece],
    ) -> SendToken {
        self.metrics.record_call(pool, pieces.len());
        let repeats = pieces.iter().filter(|piece| piece.was_sent);
        let mut counts: BTreeMap<(&str, RepeatReason), usize> = BTreeMap::new();
        for piece in repeats {
            let key = (&*piece.task.request_id, piece.repeat_reason());
            *counts.entry(key).or_default() += 1;
        }
        for ((request, reason), count) in counts {
            self.record_repeats(pool, request, reason, count);
        }
        for piece in pieces {
            piece.was_sent = true;
            piece.needs_retry = false;
        }
        SendToken::for_pieces()
    }
}
