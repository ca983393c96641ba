use super::{PieceProfile, QueuedPiece};
use crate::prelude::*;

/// Part of a forecast error that each call corrects. The times of one kind of piece hardly
/// change, so about ten calls are enough to learn them, and one call to a slow endpoint has
/// little influence.
const LEARNING_RATE: f64 = 0.15;

/// Weight of a call's fixed time relative to that of one piece. The fixed time is the same for
/// all kinds of pieces, so it is learned from more calls and should change less per call.
const BASE_WEIGHT: f64 = 2.0;

/// Largest ratio of a learned time to that of the profile, and of a call that is learned from
/// to its forecast.
const MAX_FACTOR: f64 = 2.0;

/// Durations of calls to one pool, learned from the calls that were made.
///
/// A document gives one time per piece for each pool, but stages differ: in one pool, light
/// pieces take 4.8 ms and heavy ones 16 ms. Pieces with results of the same size count as one
/// kind.
#[derive(Clone, Debug, Default)]
pub struct PieceTimes {
    /// Fixed time of a call, including the network round trip.
    base: Option<f64>,
    pieces: FastMap<u64, f64>,
}

impl PieceTimes {
    /// Returns the estimated duration of a call with these pieces.
    pub fn call(&self, profile: &PieceProfile, pieces: &[QueuedPiece]) -> Duration {
        let times = pieces
            .iter()
            .map(|piece| self.piece(profile, piece.task.result_bytes));
        Duration::from_secs_f64(self.base(profile) + times.sum::<f64>())
    }

    /// Returns the estimated duration of a full call with pieces of one kind.
    pub fn full_call(&self, profile: &PieceProfile, result_bytes: u64) -> Duration {
        let piece = self.piece(profile, result_bytes);
        Duration::from_secs_f64(self.base(profile) + piece * f64::from(profile.batch))
    }

    /// Returns the endpoint time that one piece takes in a full call.
    pub fn piece_work(&self, profile: &PieceProfile, result_bytes: u64) -> Duration {
        self.full_call(profile, result_bytes) / profile.batch.max(1)
    }

    /// Updates the learned times with a call that took `elapsed`.
    pub fn observe(&mut self, profile: &PieceProfile, pieces: &[QueuedPiece], elapsed: Duration) {
        let expected = self.call(profile, pieces);
        let max = expected.mul_f64(MAX_FACTOR);
        if pieces.is_empty() || elapsed > max {
            // A call this slow shows a slow endpoint, not the usual times of the pool.
            return;
        }
        let error = elapsed.as_secs_f64() - expected.as_secs_f64();
        let mut counts: FastMap<u64, f64> = FastMap::default();
        for piece in pieces {
            *counts.entry(piece.task.result_bytes).or_default() += 1.0;
        }
        let squares = counts.values().map(|count| count * count);
        let norm = BASE_WEIGHT * BASE_WEIGHT + squares.sum::<f64>();
        let step = LEARNING_RATE * error / norm;
        let min_base = profile.call_time.as_secs_f64();
        let base = self.base(profile) + step * BASE_WEIGHT * BASE_WEIGHT;
        self.base = Some(base.clamp(min_base, min_base * MAX_FACTOR));
        for (result_bytes, count) in counts {
            let time = self.piece(profile, result_bytes) + step * count;
            let max = profile.piece_time.as_secs_f64() * MAX_FACTOR;
            self.pieces.insert(result_bytes, time.clamp(0.0, max));
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
