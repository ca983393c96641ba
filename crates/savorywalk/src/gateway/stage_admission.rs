use super::{PieceBacklog, RouteRule, RouteTable, StageForecast};
use crate::prelude::*;

/// Longest wait at one pool for a request that can't be in time: about two
/// calls. Results of what waits longer take up room that others need; played
/// with 2 s, days with trouble were worth 0.02 less.
const MAX_LATE_WAIT: Duration = Duration::from_millis(600);

/// Part of the time left that waiting may take for a request that can't be in
/// time; the rest is for the work itself.
const LATE_PART: u32 = 2;

/// What a request must have in hand, beyond what it seems to need, to be begun
/// as one that can be in time: backlogs are known with a delay, and one that
/// just misses has used its pools for little.
const MARGIN: Duration = Duration::from_millis(100);

/// The same, as a part of what it seems to need.
const MARGIN_PART: u32 = 10;

/// Bounds of the time after which a refused caller may come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Whether a request with stages is begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// It can probably be in time.
    Timely,
    /// It can't be in time, and what is left of its pools will serve it.
    Late,
    /// It would only wait; it may come back after this time.
    Refused {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// What is known when a request is judged.
#[derive(Clone, Copy, Debug)]
pub struct StageQuery<'a> {
    /// The table in force.
    pub table: &'a RouteTable,
    /// The request's route.
    pub route: &'a RouteRule,
    /// Pieces of each stage.
    pub pieces: &'a [u32],
    /// Rank of the request.
    pub rank: u8,
    /// Time until it should be answered.
    pub due: Duration,
    /// Time until its caller gives up.
    pub left: Duration,
}

/// Judges a request by what waits at the pools of its stages; `backlogs` has
/// one entry a stage.
///
/// A request that can't be in time is worth a sixth of one that can, and takes
/// as much of a pool. It is begun only if the pools have time left over.
pub(super) fn judge(query: StageQuery<'_>, backlogs: &[PieceBacklog]) -> StageVerdict {
    let forecast = StageForecast::new(query.table, query.route);
    let is_there = |stage: usize| query.pieces.get(stage).is_some_and(|pieces| *pieces > 0);
    let stages = 0..query.route.stages.len();
    let needed = forecast.whole(|stage| match is_there(stage) {
        true => backlogs[stage].wait(query.rank),
        false => Duration::ZERO,
    });
    if needed + needed / MARGIN_PART + MARGIN <= query.due {
        return StageVerdict::Timely;
    }
    let waits = stages.filter(|stage| is_there(*stage));
    let longest = waits.map(|stage| backlogs[stage].late_wait()).max();
    let longest = longest.unwrap_or_default();
    if longest <= MAX_LATE_WAIT && longest <= query.left / LATE_PART {
        return StageVerdict::Late;
    }
    let (least, most) = RETRY_BOUNDS;
    let retry_after = longest.clamp(least, most).min(query.left / 3);
    StageVerdict::Refused { retry_after }
}

#[cfg(test)]
#[path = "stage_admission_tests.rs"]
mod tests;
