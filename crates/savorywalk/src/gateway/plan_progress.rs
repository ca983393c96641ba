use super::{ResultHandle, StageGraph};
use crate::prelude::*;

/// Largest number of times that lost results are recomputed for one request.
const MAX_RECOMPUTATIONS: u32 = 2;

/// Progress of all stages of one request, as a state machine without I/O.
///
/// A stage starts once all its inputs are complete. Results are released as soon as every stage
/// that depends on them is done, because result capacity is scarce. For the same reason, a
/// stage with large results starts only when no unfinished chain is longer than the chain that
/// begins with that stage, so that its results are not stored while other stages are still
/// worked on.
#[derive(Clone, Debug)]
pub struct PlanProgress {
    graph: Arc<StageGraph>,
    states: Vec<StageState>,
    /// Stages that were started.
    started: BTreeSet<usize>,
    recomputations: u32,
}

/// Progress of one stage.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StageState {
    Waiting,
    Running,
    Done(Arc<[ResultHandle]>),
    /// Done, and its results are released.
    Released,
}

/// A stage to start, with its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageStart {
    /// Index of the stage.
    pub stage: usize,
    /// Results of the stages that it depends on; `None` for a stage that depends on none.
    pub inputs: Option<Arc<[ResultHandle]>>,
    /// Whether the stage was started before.
    pub is_rerun: bool,
}

/// Results of a request were lost more often than they are recomputed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecomputationLimit;

impl PlanProgress {
    /// Creates the progress of a request of which no stage has started.
    pub fn new(graph: Arc<StageGraph>) -> Self {
        Self {
            states: vec![StageState::Waiting; graph.len()],
            graph,
            started: BTreeSet::new(),
            recomputations: 0,
        }
    }

    /// Returns the stages that may start now, and marks them as running.
    pub fn start_ready(&mut self) -> Vec<StageStart> {
        let mut starts = Vec::new();
        for stage in 0..self.states.len() {
            if self.states[stage] != StageState::Waiting {
                continue;
            }
            if let Some(start) = self.try_start(stage) {
                self.states[stage] = StageState::Running;
                self.started.insert(stage);
                starts.push(start);
            }
        }
        starts
    }

    fn try_start(&self, stage: usize) -> Option<StageStart> {
        let graph = &self.graph;
        if graph.is_large(stage) && self.longest_open_chain() > graph.chain_length(stage) {
            return None;
        }
        let after = &graph.rules()[stage].after;
        let mut inputs = Vec::new();
        for input in after {
            match &self.states[*input] {
                StageState::Done(handles) => inputs.extend(handles.iter().cloned()),
                StageState::Waiting | StageState::Running | StageState::Released => return None,
            }
        }
        let needs_inputs = !after.is_empty();
        Some(StageStart {
            stage,
            inputs: needs_inputs.then(|| inputs.into()),
            is_rerun: self.started.contains(&stage),
        })
    }

    /// Returns the number of stages in the longest chain that begins with an unfinished stage.
    fn longest_open_chain(&self) -> usize {
        let stages = 0..self.states.len();
        let open = stages.filter(|stage| !self.is_done(*stage));
        let steps = open.map(|stage| self.graph.chain_length(stage));
        steps.max().unwrap_or(0)
    }

    /// Records the results of a stage, and returns the results that are no longer needed.
    pub fn finish(&mut self, stage: usize, handles: Arc<[ResultHandle]>) -> Vec<ResultHandle> {
        self.states[stage] = StageState::Done(handles);
        let mut unneeded = Vec::new();
        for input in 0..self.states.len() {
            if !self.is_needed(input) {
                unneeded.extend(self.replace_state(input, StageState::Released));
            }
        }
        unneeded
    }

    /// Whether an unfinished stage, or the request itself, needs the results.
    fn is_needed(&self, stage: usize) -> bool {
        let graph = &self.graph;
        graph.is_final(stage)
            || graph
                .dependents_of(stage)
                .any(|dependent| !self.is_done(dependent))
    }

    fn is_done(&self, stage: usize) -> bool {
        matches!(
            self.states[stage],
            StageState::Done(_) | StageState::Released
        )
    }

    fn replace_state(&mut self, stage: usize, next: StageState) -> Vec<ResultHandle> {
        match std::mem::replace(&mut self.states[stage], next) {
            StageState::Done(handles) => handles.to_vec(),
            StageState::Waiting | StageState::Running | StageState::Released => Vec::new(),
        }
    }

    /// Marks the inputs of `stage` for recomputation after some of them were lost, with all
    /// released results that they depend on. Returns the inputs that were left, for release.
    ///
    /// Fails with [`RecomputationLimit`] when inputs were recomputed too often already.
    pub fn recompute_inputs(
        &mut self,
        stage: usize,
    ) -> Result<Vec<ResultHandle>, RecomputationLimit> {
        if self.recomputations == MAX_RECOMPUTATIONS {
            return Err(RecomputationLimit);
        }
        self.recomputations += 1;
        self.states[stage] = StageState::Waiting;
        let mut unneeded = Vec::new();
        for input in self.graph.rules()[stage].after.clone() {
            unneeded.extend(self.replace_state(input, StageState::Waiting));
            self.recompute_released(input);
        }
        Ok(unneeded)
    }

    fn recompute_released(&mut self, stage: usize) {
        let graph = Arc::clone(&self.graph);
        let mut stages = vec![stage];
        while let Some(stage) = stages.pop() {
            for input in &graph.rules()[stage].after {
                if self.states[*input] == StageState::Released {
                    self.states[*input] = StageState::Waiting;
                    stages.push(*input);
                }
            }
        }
    }

    /// Whether every stage is done.
    pub fn is_complete(&self) -> bool {
        (0..self.states.len()).all(|stage| self.is_done(stage))
    }

    /// Takes the results of the stages that no other stage depends on, in order of the stages.
    pub fn take_final_results(&mut self) -> Vec<ResultHandle> {
        let graph = Arc::clone(&self.graph);
        let final_stages = (0..graph.len()).filter(|stage| graph.is_final(*stage));
        final_stages
            .flat_map(|stage| self.replace_state(stage, StageState::Released))
            .collect()
    }

    /// Resets all stages, and returns their results for release.
    pub fn release_all(&mut self) -> Vec<ResultHandle> {
        let stages = 0..self.states.len();
        stages
            .flat_map(|stage| self.replace_state(stage, StageState::Waiting))
            .collect()
    }
}

#[cfg(test)]
#[path = "plan_progress_tests.rs"]
mod tests;
