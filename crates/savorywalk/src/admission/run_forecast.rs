use super::StageEstimate;
use crate::prelude::*;

/// Deviations below the mean of the least time.
const LEAST_DEVIATIONS: u32 = 2;

/// Time that the rest of a pipeline is expected to take.
///
/// It is looked at from two sides. A request on which nothing has been spent
/// is refused when it is *likely* to be late; one that has cost something
/// already is given up only when even the *least* time would be too long.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunForecast {
    mean: Duration,
    /// Sum of squared deviations, in square seconds: stages vary independently.
    variance: f64,
}

impl RunForecast {
    /// Adds a stage.
    pub fn add(&mut self, estimate: &StageEstimate) {
        self.mean += estimate.mean();
        self.variance += estimate.deviation().as_secs_f64().powi(2);
    }

    /// Expected time.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Time within which the rest is likely to end.
    pub fn likely(&self) -> Duration {
        self.mean + self.deviation()
    }

    /// Time that the rest takes even when all goes well.
    pub fn least(&self) -> Duration {
        self.mean
            .saturating_sub(self.deviation() * LEAST_DEVIATIONS)
    }

    fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.variance.sqrt())
    }
}
