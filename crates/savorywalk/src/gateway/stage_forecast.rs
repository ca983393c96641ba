use super::StageGraph;
use crate::prelude::*;

/// Time that a piece waits for its call when a pool is busy and not
/// overloaded, as a part of a call: with four endpoints that begin calls in
/// turn the next one begins after an eighth of a call on average, and as much
/// again is allowed for pieces that come in clumps.
const USUAL_WAIT_PERMILLE: u32 = 250;

/// How long the stages of one request take, about.
#[derive(Clone, Debug, PartialEq)]
pub struct StageForecast {
    graph: Arc<StageGraph>,
    steps: Vec<Duration>,
}

impl StageForecast {
    /// A forecast by the time of a full call of each stage; nothing for a stage
    /// that the request leaves out.
    pub fn new(graph: Arc<StageGraph>, calls: &[Duration]) -> Self {
        let steps = calls.iter();
        let steps = steps.map(|call| *call + *call * USUAL_WAIT_PERMILLE / 1_000);
        Self {
            graph,
            steps: steps.collect(),
        }
    }

    /// Time that the stages after `stage` take.
    pub fn tail(&self, stage: usize) -> Duration {
        let users = self.graph.users_of(stage);
        let longest = users.map(|user| self.step(user) + self.tail(user)).max();
        longest.unwrap_or_default()
    }

    /// Time that all stages take.
    pub fn total(&self) -> Duration {
        let stages = 0..self.graph.len();
        let chains = stages.map(|stage| self.step(stage) + self.tail(stage));
        chains.max().unwrap_or_default()
    }

    /// Time from the beginning until `stage` is done. A stage with large
    /// results is begun late enough to end with the others.
    pub fn done_after(&self, stage: usize) -> Duration {
        if self.graph.is_large(stage) {
            return self.total().saturating_sub(self.tail(stage));
        }
        let inputs = self.graph.rules()[stage].after.iter();
        let begun = inputs.map(|input| self.done_after(*input)).max();
        begun.unwrap_or_default() + self.step(stage)
    }

    /// Time of one stage: its call, and the usual wait for it.
    fn step(&self, stage: usize) -> Duration {
        self.steps.get(stage).copied().unwrap_or_default()
    }
}

#[cfg(test)]
#[path = "stage_forecast_tests.rs"]
mod tests;
