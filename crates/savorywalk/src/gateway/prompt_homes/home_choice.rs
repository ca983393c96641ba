use crate::gateway::endpoint_score::endpoint_rank;
use crate::prelude::*;

/// Cost of reading a part again besides the time of the prompt itself, relative to that time:
/// prompts that arrive meanwhile wait about as long again in a burst, and an evicted part is
/// read again in turn. A prompt waits longer than this at no home.
const REREAD_COST: f64 = 2.0;

/// Extra time that a prompt may take at the engine that follows from the hash, relative to the
/// reading time of its shared parts. Coordinators without state choose the same one.
const HASH_SLACK: f64 = 0.25;

/// An engine that a prompt may be sent to.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct EngineOption<'a> {
    /// Identity of the engine's incarnation.
    pub(in crate::gateway) endpoint: &'a str,
    /// Waiting and reading time of the prompt there, and what the prompt costs others besides
    /// the shared parts that it reads.
    pub(in crate::gateway) cost: Duration,
    /// Part of the cost for the shared parts that the engine has not cached.
    pub(in crate::gateway) reread: Duration,
    /// Whether the engine has the longest shared part.
    pub(in crate::gateway) is_home: bool,
}

/// Chooses between the homes of a part and a new one.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct HomeChoice {
    /// The longest shared part of the prompt.
    pub(in crate::gateway) part: u64,
    /// Homes that the part needs for its work.
    pub(in crate::gateway) wanted: usize,
    /// The part that begins the prompt, if the longest one is another.
    pub(in crate::gateway) beginning: Option<PromptBeginning>,
    /// Time of an engine for all shared parts of the prompt.
    pub(in crate::gateway) shared_reading: Duration,
}

/// A shared part that begins other shared parts.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct PromptBeginning {
    /// Identity of the part.
    pub(in crate::gateway) part: u64,
    /// Part of all engines that keep it.
    pub(in crate::gateway) engine_share: f64,
}

impl HomeChoice {
    /// Returns the index of the chosen engine; `None` without options.
    ///
    /// A home gets the prompt unless the wait there is longer than what reading the part again
    /// costs the prompt and, by the time that it takes of an engine, others. A part with too few
    /// homes gets another one as soon as that is no slower.
    pub(in crate::gateway) fn choose(&self, options: &[EngineOption<'_>]) -> Option<usize> {
        let homes = options.iter().filter(|option| option.is_home).count();
        let factor = match homes < self.wanted {
            true => 0.0,
            false => REREAD_COST,
        };
        let home = self.old_home(options);
        let other = self.new_home(options);
        let (Some(home), Some(other)) = (home, other) else {
            return home.or(other);
        };
        let other_cost = options[other].cost + options[other].reread.mul_f64(factor);
        match options[home].cost <= other_cost {
            true => Some(home),
            false => Some(other),
        }
    }

    /// The cheapest home. If there are more homes than the part needs, it is one of those with
    /// the first ranks unless these cost much more, so that the others evict the part.
    fn old_home(&self, options: &[EngineOption<'_>]) -> Option<usize> {
        let cost = |option: &EngineOption<'_>| option.is_home.then_some(option.cost);
        let cheapest = Self::cheapest(options, cost)?;
        let homes = options.iter().filter(|option| option.is_home);
        let rank = |option: &EngineOption<'_>| endpoint_rank(self.part, option.endpoint);
        let mut ranks: Vec<u64> = homes.map(rank).collect();
        ranks.sort_unstable();
        let Some(last) = ranks.get(self.wanted.max(1) - 1) else {
            return Some(cheapest);
        };
        let is_kept = |option: &EngineOption<'_>| rank(option) <= *last;
        let kept = Self::cheapest(options, |option| cost(option).filter(|_| is_kept(option)))?;
        let limit = options[cheapest].cost + self.hash_slack();
        match options[kept].cost <= limit {
            true => Some(kept),
            false => Some(cheapest),
        }
    }

    /// The engine that becomes a home: the first by rank of those whose wait is
    /// little longer than the shortest, if possible one that keeps the beginning of the part.
    fn new_home(&self, options: &[EngineOption<'_>]) -> Option<usize> {
        let wait = |option: &EngineOption<'_>| {
            let is_other = !option.is_home;
            is_other.then(|| option.cost.saturating_sub(option.reread))
        };
        let cheapest = Self::cheapest(options, wait)?;
        let limit = wait(&options[cheapest])? + self.hash_slack();
        let in_limit = |option: &EngineOption<'_>| wait(option).is_some_and(|wait| wait <= limit);
        let candidates = options.iter().enumerate();
        let candidates = candidates.filter(|(_, option)| in_limit(option));
        let rank = |option: &EngineOption<'_>| {
            let beginning = self.beginning;
            let has_beginning = beginning.is_some_and(|begin| begin.is_kept_by(option.endpoint));
            (!has_beginning, endpoint_rank(self.part, option.endpoint))
        };
        let chosen = candidates.min_by_key(|(_, option)| rank(option));
        chosen.map(|(index, _)| index)
    }

    fn hash_slack(&self) -> Duration {
        self.shared_reading.mul_f64(HASH_SLACK)
    }

    fn cheapest(
        options: &[EngineOption<'_>],
        cost: impl Fn(&EngineOption<'_>) -> Option<Duration>,
    ) -> Option<usize> {
        let costs = options.iter().enumerate();
        let costs = costs.filter_map(|(index, option)| Some((cost(option)?, index)));
        costs.min().map(|(_, index)| index)
    }
}

impl PromptBeginning {
    /// Whether an engine belongs to those that keep the part, by its hash: all entries agree,
    /// and a larger share only adds engines.
    fn is_kept_by(&self, endpoint: &str) -> bool {
        let rank = endpoint_rank(self.part, endpoint) as f64;
        rank <= self.engine_share * u64::MAX as f64
    }
}
