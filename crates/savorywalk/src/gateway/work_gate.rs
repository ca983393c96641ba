use super::pool_load::{PoolLoad, PoolRate};
use crate::prelude::*;

/// Work in progress beyond what the way through the stages needs, in time of
/// each pool: half of a full call, so that an endpoint that becomes free finds
/// a full one.
const WORK_SLACK: Duration = Duration::from_millis(140);

/// Part of the permitted work in progress up to which late plans are begun, in
/// thousandths: what can be in time and comes next should find endpoints free.
const LATE_FILL_PERMILLE: u32 = 700;

/// Late work that may wait, in time of each pool. After a burst some 400 of
/// 1,000 parts of a pool are left over, so this is gone in four seconds.
const LATE_BACKLOG: Duration = Duration::from_millis(1_500);

/// Longest wait of a late plan; by then the burst that it waits for is over or
/// will not end soon.
const LATE_PATIENCE: Duration = Duration::from_secs(4);

/// Bounds of the time after which a refused caller may come back: a burst lasts
/// some five seconds, and who comes back into it is refused again.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Number of a plan at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlanNumber(u64);

/// What a stage of a plan needs.
#[derive(Clone, Debug, PartialEq)]
pub struct StageDemand {
    /// Its pool.
    pub pool: Arc<str>,
    /// Time of one endpoint that it takes up; none for a stage that is left out.
    pub work: Duration,
    /// Time from the beginning of the plan until it is done, about.
    pub done_after: Duration,
}

/// What decides when a plan is begun.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDemand {
    /// What it needs, by stage; stages that are left out included.
    pub stages: Vec<StageDemand>,
    /// Time that all its stages take, about.
    pub total: Duration,
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// When its stages should be done.
    pub due: Instant,
    /// When they are of no use any more.
    pub deadline: Instant,
    /// Whether its caller was refused before: then it has only this chance.
    pub returning: bool,
    /// Whether it is refused when it can't be in time.
    pub timely_only: bool,
}

/// What became of a plan that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanFate {
    /// It begins.
    Begun {
        /// Whether it can be in time.
        is_timely: bool,
    },
    /// It would only wait; its caller may come back after this time.
    Refused {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// What each pool can do now.
pub type PoolRates = FastMap<Arc<str>, PoolRate>;

/// Decides when the stages of a request begin, for all requests of a shard, as
/// a state machine without I/O. See docs/design/gateway.md.
///
/// Work in progress is kept as low as the pools can be kept busy with, so that
/// results lie about for a short time and what is begun goes through without
/// waiting. What waits does so here, where it holds nothing, and goes by rank
/// and then by when it must begin to be in time. What can't be in time is begun
/// only where pools have time left over.
#[derive(Debug, Default)]
pub struct WorkGate {
    next: u64,
    loads: FastMap<Arc<str>, PoolLoad>,
    begun: FastMap<PlanNumber, Vec<StageDemand>>,
    timely: BTreeMap<TimelyKey, PlanDemand>,
    late: BTreeMap<LateKey, PlanDemand>,
}

/// Order of plans that can be in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimelyKey {
    rank: u8,
    latest_begin: Instant,
    number: PlanNumber,
}

/// Order of plans that can't: callers that have come back have no other chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LateKey {
    is_first_try: bool,
    rank: u8,
    give_up: Instant,
    number: PlanNumber,
}

impl PlanDemand {
    /// Latest time to begin for its stages to be done in time.
    fn latest_begin(&self) -> Option<Instant> {
        self.due.checked_sub(self.total)
    }

    fn is_timely(&self, begin: Instant) -> bool {
        begin + self.total <= self.due
    }
}

impl WorkGate {
    /// Takes a plan; it waits until [`Self::decide`] tells its fate, or is
    /// refused at once.
    pub fn arrive(
        &mut self,
        now: Instant,
        plan: PlanDemand,
        rates: &PoolRates,
    ) -> Result<PlanNumber, Duration> {
        let number = PlanNumber(self.next);
        self.next += 1;
        let latest = plan.latest_begin().unwrap_or(now);
        let key = TimelyKey {
            rank: plan.rank,
            latest_begin: latest,
            number,
        };
        if plan.is_timely(now + self.wait_before(&key, &plan, rates)) {
            self.timely.insert(key, plan);
            return Ok(number);
        }
        if plan.timely_only {
            return Err(self.retry_after(now, &plan, rates));
        }
        self.wait_late(now, number, plan, rates)
    }

    fn wait_late(
        &mut self,
        now: Instant,
        number: PlanNumber,
        plan: PlanDemand,
        rates: &PoolRates,
    ) -> Result<PlanNumber, Duration> {
        let has_time = now + plan.total + LATE_BACKLOG <= plan.deadline;
        let has_place = self.late_wait(&plan, rates) <= LATE_BACKLOG;
        if !has_time || !(has_place || plan.returning) {
            return Err(self.retry_after(now, &plan, rates));
        }
        let left = plan.deadline.saturating_duration_since(now + plan.total);
        let key = LateKey {
            is_first_try: !plan.returning,
            rank: plan.rank,
            give_up: now + LATE_PATIENCE.min(left / 2),
            number,
        };
        self.late.insert(key, plan);
        Ok(number)
    }

    /// Begins and refuses plans as the pools stand now.
    pub fn decide(&mut self, now: Instant, rates: &PoolRates) -> Vec<(PlanNumber, PlanFate)> {
        let mut fates = self.sort_out(now, rates);
        let mut blocked: FastSet<Arc<str>> = FastSet::default();
        let waiting: Vec<TimelyKey> = self.timely.keys().copied().collect();
        for key in waiting {
            if !self.may_begin(&self.timely[&key], rates, &mut blocked, 1_000) {
                continue;
            }
            if let Some(plan) = self.timely.remove(&key) {
                self.begin(key.number, plan);
                fates.push((key.number, PlanFate::Begun { is_timely: true }));
            }
        }
        let waiting: Vec<LateKey> = self.late.keys().copied().collect();
        for key in waiting {
            if !self.may_begin(&self.late[&key], rates, &mut blocked, LATE_FILL_PERMILLE) {
                continue;
            }
            if let Some(plan) = self.late.remove(&key) {
                self.begin(key.number, plan);
                fates.push((key.number, PlanFate::Begun { is_timely: false }));
            }
        }
        fates
    }

    /// Takes out what has waited too long.
    fn sort_out(&mut self, now: Instant, rates: &PoolRates) -> Vec<(PlanNumber, PlanFate)> {
        let mut fates = Vec::new();
        let missed: Vec<TimelyKey> = self.timely.keys().copied().collect();
        for key in missed.into_iter().filter(|key| key.latest_begin < now) {
            let Some(plan) = self.timely.remove(&key) else {
                continue;
            };
            if let Err(retry_after) = self.wait_late(now, key.number, plan, rates) {
                fates.push((key.number, PlanFate::Refused { retry_after }));
            }
        }
        let given_up: Vec<LateKey> = self.late.keys().copied().collect();
        for key in given_up.into_iter().filter(|key| key.give_up <= now) {
            if let Some(plan) = self.late.remove(&key) {
                let retry_after = self.retry_after(now, &plan, rates);
                fates.push((key.number, PlanFate::Refused { retry_after }));
            }
        }
        fates
    }

    /// Whether every pool has a place for a plan. A pool that has none keeps
    /// its places for that plan: others may not overtake it there.
    fn may_begin(
        &self,
        plan: &PlanDemand,
        rates: &PoolRates,
        blocked: &mut FastSet<Arc<str>>,
        permille: u32,
    ) -> bool {
        let stages = || plan.stages.iter().filter(|stage| !stage.work.is_zero());
        if stages().any(|stage| blocked.contains(&stage.pool)) {
            return false;
        }
        let full: Vec<Arc<str>> = stages()
            .filter(|stage| !self.has_place(stage, rates, permille))
            .map(|stage| Arc::clone(&stage.pool))
            .collect();
        let may_begin = full.is_empty();
        blocked.extend(full);
        may_begin
    }

    fn has_place(&self, stage: &StageDemand, rates: &PoolRates, permille: u32) -> bool {
        let Some(rate) = rates.get(&stage.pool) else {
            return true;
        };
        let load = self.loads.get(&stage.pool).copied().unwrap_or_default();
        load.has_place(stage, *rate, WORK_SLACK, permille)
    }

    fn begin(&mut self, number: PlanNumber, plan: PlanDemand) {
        for stage in &plan.stages {
            let load = self.loads.entry(Arc::clone(&stage.pool)).or_default();
            load.add(stage);
        }
        self.begun.insert(number, plan.stages);
    }

    /// Notes that the pieces of a stage are made.
    pub fn finish_stage(&mut self, number: PlanNumber, stage: usize) {
        let stages = self.begun.get_mut(&number);
        let Some(demand) = stages.and_then(|stages| stages.get_mut(stage)) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&demand.pool) {
            load.remove(demand);
        }
        demand.work = Duration::ZERO;
    }

    /// Notes that nothing more is done for a plan, whether it was begun or not.
    pub fn end(&mut self, number: PlanNumber) {
        let stages = self.begun.get(&number).map_or(0, Vec::len);
        for stage in 0..stages {
            self.finish_stage(number, stage);
        }
        self.begun.remove(&number);
        self.timely.retain(|key, _| key.number != number);
        self.late.retain(|key, _| key.number != number);
    }

    /// When [`Self::decide`] may have something to do without news.
    pub fn next_due(&self) -> Option<Instant> {
        let timely = self.timely.keys().map(|key| key.latest_begin);
        let late = self.late.keys().map(|key| key.give_up);
        timely.chain(late).min()
    }

    /// Plans that wait.
    pub fn waiting(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Time that a plan would wait behind those that go first.
    fn wait_before(&self, key: &TimelyKey, plan: &PlanDemand, rates: &PoolRates) -> Duration {
        let before: Vec<&PlanDemand> = self.timely.range(..key).map(|(_, plan)| plan).collect();
        self.longest_wait(plan, &before, rates)
    }

    /// Time that a plan would wait behind late ones, if nothing else came.
    fn late_wait(&self, plan: &PlanDemand, rates: &PoolRates) -> Duration {
        let before: Vec<&PlanDemand> = self.late.values().chain(self.timely.values()).collect();
        self.longest_wait(plan, &before, rates)
    }

    fn longest_wait(
        &self,
        plan: &PlanDemand,
        before: &[&PlanDemand],
        rates: &PoolRates,
    ) -> Duration {
        let stages = plan.stages.iter().filter(|stage| !stage.work.is_zero());
        let waits = stages.filter_map(|stage| {
            let rate = rates.get(&stage.pool)?;
            let demands = before.iter().flat_map(|plan| plan.stages.iter());
            let demands = demands.filter(|demand| demand.pool == stage.pool);
            let ahead: f64 = demands.map(|demand| demand.work.as_secs_f64()).sum();
            let load = self.loads.get(&stage.pool).copied().unwrap_or_default();
            let over = load.beyond(*rate, WORK_SLACK, 1_000).max(0.0);
            Some(rate.time_for(ahead + over))
        });
        waits.max().unwrap_or_default()
    }

    fn retry_after(&self, now: Instant, plan: &PlanDemand, rates: &PoolRates) -> Duration {
        let (least, most) = RETRY_BOUNDS;
        let wait = self.late_wait(plan, rates) * 2;
        let left = plan.deadline.saturating_duration_since(now);
        wait.clamp(least, most).min(left / 3)
    }
}

#[cfg(test)]
#[path = "work_gate_tests.rs"]
mod tests;
