use super::{PieceProfile, RouteRule, RouteTable};
use crate::prelude::*;

/// Time that a piece waits for its call when a pool is busy and not
/// overloaded: half of a call.
const USUAL_WAIT_PERMILLE: u32 = 400;

/// Time from the send to a stream's first event at an engine that is busy: a
/// prompt of some ten thousand tokens is read in 200 ms, and the first token
/// takes over 100 ms.
const ENGINE_TIME: Duration = Duration::from_millis(400);

/// How long the stages of a route take, about.
#[derive(Clone, Copy, Debug)]
pub struct StageForecast<'a> {
    table: &'a RouteTable,
    route: &'a RouteRule,
}

impl<'a> StageForecast<'a> {
    /// A forecast for requests on `route`.
    pub fn new(table: &'a RouteTable, route: &'a RouteRule) -> Self {
        Self { table, route }
    }

    /// Time that a request needs after `stage`: the stages that follow it, and
    /// the engine.
    pub fn tail(&self, stage: usize) -> Duration {
        let users = self.users_of(stage);
        let longest = users.map(|user| self.step(user) + self.tail(user)).max();
        longest.unwrap_or(ENGINE_TIME)
    }

    /// Time that a whole request needs, when it waits at each stage for as long
    /// as `wait` tells.
    pub fn whole(&self, wait: impl Fn(usize) -> Duration) -> Duration {
        let stages = 0..self.route.stages.len();
        let firsts = stages.filter(|stage| self.route.stages[*stage].after.is_empty());
        let chains = firsts.map(|first| self.chain(first, &wait));
        chains.max().unwrap_or(ENGINE_TIME)
    }

    fn chain(&self, stage: usize, wait: &impl Fn(usize) -> Duration) -> Duration {
        let users = self.users_of(stage);
        let after = users.map(|user| self.chain(user, wait)).max();
        self.call(stage) + wait(stage) + after.unwrap_or(ENGINE_TIME)
    }

    fn call(&self, stage: usize) -> Duration {
        let profile = self.profile(stage);
        profile.map_or(Duration::ZERO, |profile| {
            profile.call_duration(profile.batch)
        })
    }

    fn profile(&self, stage: usize) -> Option<PieceProfile> {
        self.table.pool(&self.route.stages[stage].pool)?.pieces
    }

    /// Time of one stage: its call, and the usual wait for it.
    fn step(&self, stage: usize) -> Duration {
        let call = self.call(stage);
        call + call * USUAL_WAIT_PERMILLE / 1_000
    }

    fn users_of(&self, input: usize) -> impl Iterator<Item = usize> {
        let stages = self.route.stages.iter().enumerate();
        stages
            .filter(move |(_, stage)| stage.after.contains(&input))
            .map(|(user, _)| user)
    }
}

#[cfg(test)]
#[path = "stage_forecast_tests.rs"]
pub(super) mod tests;
