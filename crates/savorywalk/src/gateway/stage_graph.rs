use super::StageRule;

/// Size from which on results are large, in bytes. A few large results fill an endpoint's
/// result capacity, and their transfer takes longer than that of a request.
pub(super) const LARGE_RESULT_BYTES: u64 = 200_000;

/// Stages of a route, with the dependencies between them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageGraph {
    rules: Vec<StageRule>,
    /// Number of stages in the longest chain that begins with each stage.
    chain_lengths: Vec<usize>,
}

impl FromIterator<StageRule> for StageGraph {
    fn from_iter<T: IntoIterator<Item = StageRule>>(rules: T) -> Self {
        let rules: Vec<StageRule> = rules.into_iter().collect();
        let later = longest_tails(&rules, |_| 1);
        Self {
            chain_lengths: later.into_iter().map(|length| 1 + length).collect(),
            rules,
        }
    }
}

impl StageGraph {
    /// Returns the rules of all stages; a stage's number is its index.
    pub fn rules(&self) -> &[StageRule] {
        &self.rules
    }

    /// Returns the number of stages.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there are no stages, so that a request can run at once.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the first stage that depends on itself or on a later stage.
    pub fn first_invalid_stage(&self) -> Option<usize> {
        let mut rules = self.rules.iter().enumerate();
        let found = rules.find(|(stage, rule)| rule.after.iter().any(|before| before >= stage));
        found.map(|(stage, _)| stage)
    }

    /// Returns the stages that depend on the results of `stage`.
    pub fn dependents_of(&self, stage: usize) -> impl Iterator<Item = usize> {
        let rules = self.rules.iter().enumerate();
        let dependents = rules.filter(move |(_, rule)| rule.after.contains(&stage));
        dependents.map(|(dependent, _)| dependent)
    }

    /// Whether no stage depends on the results of `stage`.
    pub fn is_final(&self, stage: usize) -> bool {
        self.dependents_of(stage).next().is_none()
    }

    /// Whether the results of `stage` are large.
    pub fn is_large(&self, stage: usize) -> bool {
        self.rules[stage].result_bytes >= LARGE_RESULT_BYTES
    }

    /// Returns the number of stages in the longest chain that begins with `stage`.
    pub fn chain_length(&self, stage: usize) -> usize {
        self.chain_lengths[stage]
    }

    /// Returns the longest sum of `cost` over a chain of stages after each stage.
    pub(super) fn longest_tails<T>(&self, cost: impl Fn(usize) -> T) -> Vec<T>
    where
        T: Copy + Default + Ord + std::ops::Add<Output = T>,
    {
        longest_tails(&self.rules, cost)
    }
}

/// Longest sum of `cost` over a chain of stages after each stage. A stage comes after its inputs, so each
/// dependency is looked at once, from the last stage to the first; the number of chains may be
/// exponential.
fn longest_tails<T>(rules: &[StageRule], cost: impl Fn(usize) -> T) -> Vec<T>
where
    T: Copy + Default + Ord + std::ops::Add<Output = T>,
{
    let mut tails = vec![T::default(); rules.len()];
    for (stage, rule) in rules.iter().enumerate().rev() {
        let chain = cost(stage) + tails[stage];
        for input in &rule.after {
            if let Some(tail) = tails.get_mut(*input) {
                *tail = chain.max(*tail);
            }
        }
    }
    tails
}

#[cfg(test)]
#[path = "stage_graph_tests.rs"]
mod tests;
