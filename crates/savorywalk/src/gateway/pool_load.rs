use super::decaying_sum::DecayingSum;
use super::plan_scheduler::StageDemand;
use super::plan_utility::UtilityLevel;
use crate::prelude::*;

/// Upper bound on an estimated time, also for a pool without usable endpoints.
const MAX_ESTIMATED_TIME: Duration = Duration::from_secs(60);

/// Time constant over which arriving work is averaged: long enough for some twenty requests
/// of a shard, and short compared with a burst.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// The rate at which a pool does work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolRate {
    /// Rate as a number of endpoints; slow ones count in part.
    pub endpoints: f64,
}

impl PoolRate {
    /// Time in which the pool does an amount of work, in seconds of one endpoint.
    pub(super) fn time_for(self, work_seconds: f64) -> Duration {
        if work_seconds <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = work_seconds / self.endpoints.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_ESTIMATED_TIME.as_secs_f64()))
    }
}

/// Work in one pool for the plans that were begun: queued, in progress, and of later stages.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PoolLoad {
    work_seconds: f64,
    /// Sum of the work, each part multiplied by the time from the beginning of its plan until
    /// it is done.
    weighted_seconds: f64,
    /// Work that arrived recently, by utility level.
    arrivals: Vec<DecayingSum>,
}

impl PoolLoad {
    /// Records work that arrives now, whether it has to wait or begins at once.
    pub(super) fn record_arrival(&mut self, now: Instant, level: UtilityLevel, work: Duration) {
        let index = level.index();
        if self.arrivals.len() <= index {
            self.arrivals.resize_with(index + 1, DecayingSum::default);
        }
        self.arrivals[index].add(now, work.as_secs_f64(), ARRIVAL_TIME_CONSTANT);
    }

    /// Rate at which work of higher utility than `level` has arrived recently, as a number of
    /// endpoints.
    pub(super) fn arriving_before(&self, now: Instant, level: UtilityLevel) -> f64 {
        let before = self.arrivals.iter().take(level.index());
        let work: f64 = before
            .map(|sum| sum.value(now, ARRIVAL_TIME_CONSTANT))
            .sum();
        work / ARRIVAL_TIME_CONSTANT.as_secs_f64()
    }

    /// Rate at which work of `level` has arrived recently, as a number of endpoints.
    pub(super) fn arriving_at(&self, now: Instant, level: UtilityLevel) -> f64 {
        let arrivals = self.arrivals.get(level.index());
        let work = arrivals.map_or(0.0, |sum| sum.value(now, ARRIVAL_TIME_CONSTANT));
        work / ARRIVAL_TIME_CONSTANT.as_secs_f64()
    }

    pub(super) fn add(&mut self, stage: &StageDemand) {
        self.work_seconds += stage.work.as_secs_f64();
        self.weighted_seconds += weighted_seconds(stage);
    }

    pub(super) fn remove(&mut self, stage: &StageDemand) {
        self.work_seconds = (self.work_seconds - stage.work.as_secs_f64()).max(0.0);
        self.weighted_seconds = (self.weighted_seconds - weighted_seconds(stage)).max(0.0);
    }

    /// Whether a stage may begin without exceeding `permille` of the permitted work in progress.
    ///
    /// By Little's law the work in progress of a busy pool is its rate times the time that work
    /// takes from beginning to end. `slack` is added to that time; any more work only waits. A
    /// pool without work accepts any stage.
    pub(super) fn has_capacity(
        &self,
        stage: &StageDemand,
        rate: PoolRate,
        slack: Duration,
        permille: u32,
    ) -> bool {
        if self.work_seconds <= 0.0 {
            return true;
        }
        let work_seconds = self.work_seconds + stage.work.as_secs_f64();
        let weighted_seconds = self.weighted_seconds + weighted_seconds(stage);
        excess_seconds(work_seconds, weighted_seconds, rate, slack, permille) <= 0.0
    }

    /// Work in progress above the permitted amount, in seconds of one endpoint; negative
    /// if there is less.
    pub(super) fn excess_seconds(&self, rate: PoolRate, slack: Duration, permille: u32) -> f64 {
        excess_seconds(
            self.work_seconds,
            self.weighted_seconds,
            rate,
            slack,
            permille,
        )
    }
}

fn excess_seconds(
    work: f64,
    weighted_seconds: f64,
    rate: PoolRate,
    slack: Duration,
    permille: u32,
) -> f64 {
    if work <= 0.0 {
        return 0.0;
    }
    let time = weighted_seconds / work + slack.as_secs_f64();
    work - rate.endpoints * time * f64::from(permille) / 1_000.0
}

fn weighted_seconds(stage: &StageDemand) -> f64 {
    stage.completion_time.as_secs_f64() * stage.work.as_secs_f64()
}
