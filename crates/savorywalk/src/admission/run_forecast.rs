use super::StageEstimate;
use crate::prelude::*;

/// Deviations by which the lower bound of the time is below its mean.
const LEAST_DEVIATIONS: u32 = 2;

/// Expected time of a pipeline's remaining stages.
///
/// A request that has not started is refused if the [*likely*](Self::likely) time exceeds its
/// deadline. One that has used endpoint time already is ended only if even the
/// [lower bound](Self::lower_bound) exceeds it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunForecast {
    mean: Duration,
    /// Sum of squared deviations, in square seconds. Stages are taken as independent.
    variance: f64,
}

impl RunForecast {
    /// Adds the estimate of one more stage.
    pub fn add(&mut self, estimate: &StageEstimate) {
        self.mean += estimate.mean();
        self.variance += estimate.deviation().as_secs_f64().powi(2);
    }

    /// Expected time of the stages that were added.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Time within which the stages are likely to end: the mean plus one deviation.
    pub fn likely(&self) -> Duration {
        self.mean + self.deviation()
    }

    /// Time that the stages need at least: the mean less two deviations.
    pub fn lower_bound(&self) -> Duration {
        self.mean
            .saturating_sub(self.deviation() * LEAST_DEVIATIONS)
    }

    fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.variance.sqrt())
    }
}
