use crate::prelude::*;

/// Utility of a request as a part of that of a request one rank better. Documents rank routes
/// without weights. Operators' sheets give 4.1, 1.4 and 0.39 for three ranks, and elsewhere
/// 1.8, 3.3 and 0.5, where the first rank has less utility than the second.
const RANK_FACTOR: f64 = 0.33;

/// Part of its utility that an answer has after its objective, by the operators' sheets of
/// three deployments. Two of them give 0.3 to 0.5 to short calls, which need no stages.
const LATE_FACTOR: f64 = 0.15;

/// Part of a request's utility that does not depend on its size.
const FIXED_PART: f64 = 0.3;

/// Upper bound of the factor of size on a request's utility.
const MAX_SIZE_FACTOR: f64 = 4.0;

/// Number of levels per doubling of utility. Within a level, the request that must begin first
/// goes first.
const LEVELS_PER_DOUBLING: f64 = 2.0;

/// Level of a request of the first rank and of usual size that is in time.
const USUAL_LEVEL: f64 = 6.0;

/// Last level, for the lowest utility.
const LAST_LEVEL: f64 = 40.0;

/// Weight of one request in the moving average of the sizes of its route.
const MEAN_STEP: f64 = 0.02;

/// Number of route ranks per workspace rank; see `request_rank`.
const ROUTE_RANKS: u8 = 16;

/// Level of the utility of a request; 0 is the highest utility.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UtilityLevel(u8);

impl UtilityLevel {
    /// Returns the level as a list index.
    pub(super) fn index(self) -> usize {
        self.0.into()
    }
}

/// Mean request size of each route, with which the size of a request is compared.
#[derive(Clone, Debug, Default)]
pub struct UtilityScale {
    means: FastMap<Arc<str>, f64>,
}

impl UtilityScale {
    /// Returns the factor of size on a request's utility, relative to a request of usual size
    /// of its route, and includes the size in the route's mean.
    pub fn size_factor(&mut self, route: &Arc<str>, size: u64) -> f64 {
        let size = size as f64;
        let mean = self.means.entry(Arc::clone(route)).or_insert(size);
        *mean += MEAN_STEP * (size - *mean);
        let relative = size / mean.max(1.0);
        let size_factor = FIXED_PART + (1.0 - FIXED_PART) * relative;
        size_factor.min(MAX_SIZE_FACTOR)
    }
}

/// Returns the utility of a request of usual size that is in time, relative to one of the first
/// rank. `rank` is that of `request_rank`: a request of a better workspace rank goes before all
/// routes of the others.
pub fn rank_utility(rank: u8) -> f64 {
    let (workspace_rank, route_rank) = (rank / ROUTE_RANKS, rank % ROUTE_RANKS);
    let steps = i32::from(route_rank) + WORKSPACE_STEPS * i32::from(workspace_rank);
    RANK_FACTOR.powi(steps)
}

/// Rank steps between two workspace ranks: more than there are between the routes, since a
/// workspace's rank goes before a route's.
const WORKSPACE_STEPS: i32 = 3;

/// Returns the level of a request that would have this utility in time; a late one has less.
pub fn utility_level(utility: f64, is_timely: bool) -> UtilityLevel {
    let factor = if is_timely { 1.0 } else { LATE_FACTOR };
    let doublings = (utility * factor).max(f64::MIN_POSITIVE).log2();
    let level = USUAL_LEVEL - doublings * LEVELS_PER_DOUBLING;
    UtilityLevel(level.clamp(0.0, LAST_LEVEL) as u8)
}

#[cfg(test)]
#[path = "plan_utility_tests.rs"]
mod tests;
