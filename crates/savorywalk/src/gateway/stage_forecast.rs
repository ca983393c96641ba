use super::StageGraph;
use crate::prelude::*;

/// Expected wait of a piece for its call in a pool that is busy but not overloaded, as a part
/// of the call's duration. With four endpoints that begin calls in turn, the next call begins
/// after an eighth of a call on average; the same is added for pieces that arrive together.
const USUAL_WAIT_PERMILLE: u32 = 250;

/// Estimated durations of the stages of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct StageForecast {
    steps: Vec<Duration>,
    /// Time that the stages after each stage take.
    tails: Vec<Duration>,
    /// Time from the start of the stages until each stage is done.
    completion_times: Vec<Duration>,
}

impl StageForecast {
    /// Creates a forecast from the duration of a full call of each stage, which is zero for a
    /// stage that the request leaves out.
    pub fn new(graph: &StageGraph, calls: &[Duration]) -> Self {
        let steps = calls.iter();
        let steps = steps.map(|call| *call + *call * USUAL_WAIT_PERMILLE / 1_000);
        let mut forecast = Self {
            steps: steps.collect(),
            tails: Vec::new(),
            completion_times: Vec::with_capacity(graph.len()),
        };
        forecast.tails = graph.longest_tails(|stage| forecast.step(stage));
        let total = forecast.total();
        for (stage, rule) in graph.rules().iter().enumerate() {
            // A stage with large results starts late, to end together with the others.
            let completion_time = match graph.is_large(stage) {
                true => total.saturating_sub(forecast.tail(stage)),
                false => {
                    let inputs = rule.after.iter();
                    let begun = inputs.map(|input| forecast.completion_time(*input)).max();
                    begun.unwrap_or_default() + forecast.step(stage)
                }
            };
            forecast.completion_times.push(completion_time);
        }
        forecast
    }

    /// Returns the time that the stages after `stage` take.
    pub fn tail(&self, stage: usize) -> Duration {
        self.tails.get(stage).copied().unwrap_or_default()
    }

    /// Returns the time that all stages take together.
    pub fn total(&self) -> Duration {
        let stages = self.tails.iter().enumerate();
        let chains = stages.map(|(stage, tail)| self.step(stage) + *tail);
        chains.max().unwrap_or_default()
    }

    /// Returns the time from the start of the stages until `stage` is done.
    pub fn completion_time(&self, stage: usize) -> Duration {
        let time = self.completion_times.get(stage);
        time.copied().unwrap_or_default()
    }

    /// Returns the time of one stage: the expected wait for its call, and the call.
    fn step(&self, stage: usize) -> Duration {
        self.steps.get(stage).copied().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "stage_forecast_tests.rs"]
mod tests;
