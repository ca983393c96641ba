use super::ReadReason;
use crate::gateway::PromptPart;
use crate::gateway::decaying_sum::DecayingSum;
use crate::prelude::*;

/// Time over which the work of a part is averaged: long enough for a few uses of a usual part,
/// short enough that a part gives up its other homes soon after a burst.
const WORK_TIME: Duration = Duration::from_secs(5);

/// Part of an engine's time that prompts with one shared part may take at each of its homes.
/// The rest is for the other parts that live there.
const MAX_HOME_UTILIZATION: f64 = 0.4;

/// Engines that keep a beginning, relative to its share of all prompts: more than needed on
/// average, so that its prompts find one with a short wait.
const BEGINNING_SPREAD: f64 = 2.0;

/// Time after the first prompt in which an unknown part probably has homes that an earlier
/// coordinator chose: engines keep parts of usual prompts about as long.
const MODEL_START: Duration = Duration::from_secs(10);

/// Largest number of parts that are remembered, to bound memory.
const MAX_PARTS: usize = 8_192;

/// Time after its last use in which a part is remembered.
const PART_AGE: Duration = Duration::from_secs(120);

/// Largest number of homes remembered of a part.
const MAX_HOMES: usize = 64;

/// The engines that have shared parts of prompts, and how much work the parts bring them.
#[derive(Debug, Default)]
pub(in crate::gateway) struct HomeTable {
    parts: FastMap<u64, PartRecord>,
    started_at: Option<Instant>,
    /// Milliseconds of engines that all prompts take besides reading shared parts.
    own_work: DecayingSum,
}

/// What is known of a shared part.
#[derive(Debug)]
struct PartRecord {
    /// Milliseconds of engines that its prompts take besides reading shared parts.
    work: DecayingSum,
    homes: Vec<Arc<str>>,
    last_used: Instant,
}

/// What the caller knows of a home and a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum HomeState {
    /// The engine has the part and may be used.
    Ready,
    /// The engine has evicted the part.
    Evicted,
    /// The engine may not be used for this prompt.
    Unusable,
}

impl HomeTable {
    /// Returns the number of homes that a part needs for the work that it brings: one, unless
    /// that engine could not keep up.
    pub(in crate::gateway) fn home_count(&self, now: Instant, part: u64) -> usize {
        let work = self.parts.get(&part).map_or(0.0, |record| {
            record.work.value(now, WORK_TIME) / WORK_TIME.as_millis() as f64
        });
        (work / MAX_HOME_UTILIZATION).ceil().max(1.0) as usize
    }

    /// Returns the part of all engines that should keep a beginning, by the work of its prompts.
    pub(in crate::gateway) fn engine_share(&self, now: Instant, part: u64) -> f64 {
        let total = self.own_work.value(now, WORK_TIME);
        let Some(record) = self.parts.get(&part).filter(|_| total > 0.0) else {
            return 1.0;
        };
        (record.work.value(now, WORK_TIME) / total * BEGINNING_SPREAD).min(1.0)
    }

    /// Adds the work of a prompt, in milliseconds of its engine besides reading shared parts.
    pub(in crate::gateway) fn record_own_work(&mut self, now: Instant, millis: f64) {
        self.own_work.add(now, millis, WORK_TIME);
    }

    /// Adds that work to a shared part of the prompt.
    pub(in crate::gateway) fn record_work(&mut self, now: Instant, part: u64, millis: f64) {
        if let Some(record) = self.parts.get_mut(&part) {
            record.work.add(now, millis, WORK_TIME);
        }
    }

    /// Records that a part is sent to an engine, and returns why the engine reads it.
    pub(in crate::gateway) fn record_use(
        &mut self,
        now: Instant,
        part: PromptPart,
        engine: &str,
        is_cached: bool,
        state_of: impl Fn(&str) -> HomeState,
    ) -> ReadReason {
        let started_at = *self.started_at.get_or_insert(now);
        let wanted = self.home_count(now, part.id);
        self.make_room(now, part.id);
        let record = self.parts.entry(part.id).or_insert_with(|| PartRecord {
            work: DecayingSum::default(),
            homes: Vec::new(),
            last_used: now,
        });
        record.last_used = now;
        let reason = match is_cached {
            true => ReadReason::Cached,
            false => record.read_reason(engine, wanted, now < started_at + MODEL_START, &state_of),
        };
        record
            .homes
            .retain(|home| state_of(home) != HomeState::Evicted);
        if !record.homes.iter().any(|home| **home == *engine) && record.homes.len() < MAX_HOMES {
            record.homes.push(engine.into());
        }
        reason
    }

    /// Forgets old parts, and half of the parts if that leaves less than a quarter free: the
    /// next parts must not each search all of them again.
    fn make_room(&mut self, now: Instant, part: u64) {
        if self.parts.len() < MAX_PARTS || self.parts.contains_key(&part) {
            return;
        }
        self.parts
            .retain(|_, record| now.saturating_duration_since(record.last_used) < PART_AGE);
        if self.parts.len() <= MAX_PARTS / 4 * 3 {
            return;
        }
        let mut used: Vec<Instant> = self.parts.values().map(|record| record.last_used).collect();
        let middle = used.len() / 2;
        let (_, median, _) = used.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, record| record.last_used > median);
    }
}

impl PartRecord {
    fn read_reason(
        &self,
        engine: &str,
        wanted: usize,
        is_new: bool,
        state_of: &impl Fn(&str) -> HomeState,
    ) -> ReadReason {
        if self.homes.is_empty() {
            return match is_new {
                true => ReadReason::ModelNew,
                false => ReadReason::FirstHome,
            };
        }
        let count = |state| {
            let states = self.homes.iter().map(|home| state_of(home));
            states.filter(|known| *known == state).count()
        };
        let ready = count(HomeState::Ready);
        if self.homes.iter().any(|home| **home == *engine) {
            return ReadReason::Evicted;
        }
        match ready {
            0 if count(HomeState::Unusable) > 0 => ReadReason::EngineLost,
            0 => ReadReason::Evicted,
            ready if ready < wanted => ReadReason::AnotherHome,
            _ => ReadReason::HomeOverloaded,
        }
    }
}
