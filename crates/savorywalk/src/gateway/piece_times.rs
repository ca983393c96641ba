use super::{PieceProfile, QueuedPiece};
use crate::prelude::*;

/// Part of the error of a forecast that each call corrects. The times of one
/// kind hardly change, so some ten calls are enough to learn them, and one call
/// at a slow endpoint does not spoil them.
const CORRECTION: f64 = 0.15;

/// Weight of the call's own part against a piece's: it is the same for every
/// kind, so it is learned from more calls and should move less.
const BASE_WEIGHT: f64 = 2.0;

/// Most that a forecast may be off from the profile, as a factor.
const MAX_FACTOR: f64 = 2.0;

/// Times that calls at one pool really take, learned from those that were made.
///
/// A document gives one time a piece for each pool, while stages differ:
/// light pieces of one pool take 4.8 ms and heavy ones 16 ms.
/// Pieces with results of one size are of one kind.
#[derive(Clone, Debug, Default)]
pub struct PieceTimes {
    /// Time of a call beside its pieces, with the way there and back.
    base: Option<f64>,
    pieces: FastMap<u64, f64>,
}

impl PieceTimes {
    /// Time that a call with these pieces takes, about.
    pub fn call(&self, profile: &PieceProfile, pieces: &[QueuedPiece]) -> Duration {
        let times = pieces
            .iter()
            .map(|piece| self.piece(profile, piece.task.result_bytes));
        Duration::from_secs_f64(self.base(profile) + times.sum::<f64>())
    }

    /// Time that a full call with pieces of one kind takes, about.
    pub fn full_call(&self, profile: &PieceProfile, result_bytes: u64) -> Duration {
        let piece = self.piece(profile, result_bytes);
        Duration::from_secs_f64(self.base(profile) + piece * f64::from(profile.batch))
    }

    /// Time of an endpoint that one piece takes up when calls are full.
    pub fn piece_work(&self, profile: &PieceProfile, result_bytes: u64) -> Duration {
        self.full_call(profile, result_bytes) / profile.batch.max(1)
    }

    /// Learns from a call that was made.
    pub fn observe(&mut self, profile: &PieceProfile, pieces: &[QueuedPiece], taken: Duration) {
        let expected = self.call(profile, pieces);
        let most = expected.mul_f64(MAX_FACTOR);
        if pieces.is_empty() || taken > most {
            // A slow endpoint tells nothing of the pool.
            return;
        }
        let error = taken.as_secs_f64() - expected.as_secs_f64();
        let mut counts: FastMap<u64, f64> = FastMap::default();
        for piece in pieces {
            *counts.entry(piece.task.result_bytes).or_default() += 1.0;
        }
        let squares = counts.values().map(|count| count * count);
        let norm = BASE_WEIGHT * BASE_WEIGHT + squares.sum::<f64>();
        let step = CORRECTION * error / norm;
        let least_base = profile.call_time.as_secs_f64();
        let base = self.base(profile) + step * BASE_WEIGHT * BASE_WEIGHT;
        self.base = Some(base.clamp(least_base, least_base * MAX_FACTOR));
        for (result_bytes, count) in counts {
            let time = self.piece(profile, result_bytes) + step * count;
            let most = profile.piece_time.as_secs_f64() * MAX_FACTOR;
            self.pieces.insert(result_bytes, time.clamp(0.0, most));
        }
    }

    fn base(&self, profile: &PieceProfile) -> f64 {
        self.base.unwrap_or(profile.call_time.as_secs_f64())
    }

    fn piece(&self, profile: &PieceProfile, result_bytes: u64) -> f64 {
        let known = self.pieces.get(&result_bytes).copied();
        known.unwrap_or(profile.piece_time.as_secs_f64())
    }
}

#[cfg(test)]
#[path = "piece_times_tests.rs"]
mod tests;
