use super::PieceProfile;

/// Weight of one call in the moving average. A pool of a few endpoints makes about ten calls
/// per second, so the average follows a change within a second, well before a burst of a few
/// seconds ends.
const CALL_WEIGHT: f64 = 0.1;

/// Lower bound of the ratio, so that one call with a single piece does not make the pool look
/// closed.
const MIN_UTILIZATION: f64 = 0.25;

/// Throughput of a pool as a part of its throughput with full calls, learned from calls that
/// were smaller than a full one for another reason than a lack of pieces.
///
/// A call with half of its pieces takes nearly as long as a full one. A pool without capacity
/// for the results of full calls is therefore overloaded well before the sum of its endpoints'
/// time says so. Work that begins beyond that only waits and occupies result capacity at
/// earlier stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallUtilization {
    utilization: f64,
}

impl Default for CallUtilization {
    fn default() -> Self {
        Self { utilization: 1.0 }
    }
}

impl CallUtilization {
    /// Returns the current throughput as a part of that with full calls, not below a lower
    /// bound.
    pub fn ratio(&self) -> f64 {
        self.utilization.max(MIN_UTILIZATION)
    }

    /// Updates the estimate with a call of `pieces` pieces. `lacked_capacity` is true when the
    /// call would have been larger if the endpoint had had capacity for more results. Any other
    /// call counts as full utilization, since capacity is no limit then.
    pub fn observe(&mut self, profile: &PieceProfile, pieces: u32, lacked_capacity: bool) {
        let ratio = match lacked_capacity {
            true => relative_rate(profile, pieces),
            false => 1.0,
        };
        self.utilization += CALL_WEIGHT * (ratio - self.utilization);
    }
}

/// Returns the throughput of calls with `pieces` pieces each, as a part of that of full calls.
fn relative_rate(profile: &PieceProfile, pieces: u32) -> f64 {
    let rate = |pieces: u32| f64::from(pieces) / profile.call_duration(pieces).as_secs_f64();
    (rate(pieces) / rate(profile.batch.max(1))).min(1.0)
}

#[cfg(test)]
#[path = "call_utilization_tests.rs"]
mod tests;
