use super::StageRule;

/// Size from which on results are large, in bytes: a few of them fill an
/// endpoint's room, and they take longer on the way than a request does.
pub(super) const LARGE_RESULT_BYTES: u64 = 200_000;

/// The stages of a route, with what each of them needs and who needs it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageGraph {
    rules: Vec<StageRule>,
}

impl FromIterator<StageRule> for StageGraph {
    fn from_iter<T: IntoIterator<Item = StageRule>>(rules: T) -> Self {
        Self {
            rules: rules.into_iter().collect(),
        }
    }
}

impl StageGraph {
    /// All stages; a stage's number is its place.
    pub fn rules(&self) -> &[StageRule] {
        &self.rules
    }

    /// Number of stages.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there is nothing to do before a request runs.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// The first stage that needs one which does not come before it.
    pub fn misplaced(&self) -> Option<usize> {
        let mut rules = self.rules.iter().enumerate();
        let found = rules.find(|(stage, rule)| rule.after.iter().any(|before| before >= stage));
        found.map(|(stage, _)| stage)
    }

    /// The stages that need the results of `stage`.
    pub fn users_of(&self, stage: usize) -> impl Iterator<Item = usize> {
        let rules = self.rules.iter().enumerate();
        let users = rules.filter(move |(_, rule)| rule.after.contains(&stage));
        users.map(|(user, _)| user)
    }

    /// Whether no other stage needs the results of `stage`.
    pub fn is_last(&self, stage: usize) -> bool {
        self.users_of(stage).next().is_none()
    }

    /// Whether the results of `stage` are large.
    pub fn is_large(&self, stage: usize) -> bool {
        self.rules[stage].result_bytes >= LARGE_RESULT_BYTES
    }

    /// Steps of the longest chain that begins with `stage`.
    pub fn steps_from(&self, stage: usize) -> usize {
        let users = self.users_of(stage);
        1 + users.map(|user| self.steps_from(user)).max().unwrap_or(0)
    }
}
