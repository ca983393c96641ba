use super::prompt_homes::{
    EngineOption, HomeChoice, HomeState, HomeTable, PlacementCounts, PromptBeginning,
};
use super::{PromptPart, QuantileScale};
use crate::prelude::*;

/// Prompt tokens that an engine is assumed to read per millisecond. Data sheets say 31 and 62;
/// the actual speed is learned as the pool's `time_scale`.
const TOKENS_PER_MS: f64 = 60.0;

/// Reading time per million pairs of tokens, in milliseconds. It accounts for prompts of 40,000
/// tokens that took some 400 ms longer than in proportion to their length.
const MS_PER_MILLION_PAIRS: f64 = 0.5;

/// Time until an engine's first token, besides waiting and reading the prompt.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(125);

/// Time per token of an answer at a busy engine.
const TOKEN_TIME: Duration = Duration::from_millis(8);

/// Usual length of an answer, in thousandths of its maximum.
const USUAL_ANSWER_PERMILLE: u32 = 500;

/// Part of prompts whose first event should come within the expected time. The median is
/// enough, as expected times serve to rank engines and are no guarantee.
const TIME_QUANTILE: f64 = 0.5;

/// Cost that each running request adds to an engine, as it lengthens the engine's steps.
const RUNNING_REQUEST_COST: Duration = Duration::from_millis(4);

/// Tokens that a cached part counts for at least, so that parts of none have a bound as well.
const MIN_PART_TOKENS: u64 = 16;

/// Fraction of an engine's memory assumed to cache shared parts; running requests and their own
/// parts use the rest.
const SHARED_CACHE_FRACTION: f64 = 0.6;

/// Chooses engines for all prompts of a set of engines, as a state machine without I/O.
///
/// Entries that place prompts independently agree on an engine by a hash, but don't know of
/// the long prompts that others have just sent there. The one coordinator that places all
/// prompts knows what each engine still has to read and which parts it has cached.
#[derive(Debug, Default)]
pub struct EngineModel {
    engines: FastMap<Arc<str>, EngineState>,
    /// Actual times of the engines relative to those that [`TOKENS_PER_MS`] and the other
    /// constants give.
    time_scale: QuantileScale,
    homes: HomeTable,
}

/// Estimated state of one engine.
#[derive(Debug, Default)]
struct EngineState {
    /// When it will have read all prompts that were sent to it.
    busy_until: Option<Instant>,
    /// Expected ends of its requests.
    request_ends: VecDeque<Instant>,
    /// Shared parts in its cache.
    parts: FastMap<u64, CachedPart>,
    cached_tokens: u64,
}

/// A shared part in an engine's cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u64,
    last_used: Instant,
}

/// An engine that a prompt may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct EngineTarget<'a> {
    /// Identity of the engine's incarnation.
    pub endpoint: &'a str,
    /// Factor by which it is slower than the other engines.
    pub duration_factor: f64,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
}

/// A prompt that needs an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptQuery<'a> {
    /// Parts in order; the last one is not shared with other requests.
    pub parts: &'a [PromptPart],
    /// Maximum length of the answer, in tokens.
    pub answer_tokens: u64,
}

/// The engine chosen for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineChoice<'a> {
    /// Identity of the engine's incarnation.
    pub endpoint: &'a str,
    /// Expected time until the first event of the answer.
    pub expected: Duration,
    /// Tokens of its shared parts, by the reason for reading them.
    pub reads: PlacementCounts,
}

impl PromptQuery<'_> {
    /// The parts that other requests may have in common with the prompt.
    fn shared(&self) -> &[PromptPart] {
        self.parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared)
    }

    /// Time to read the shared parts, in milliseconds at the assumed speed.
    fn shared_ms(&self) -> f64 {
        let tokens: u64 = self.shared().iter().map(|part| part.tokens).sum();
        tokens as f64 / TOKENS_PER_MS
    }
}

impl EngineState {
    /// Time to read a prompt, and the part of it for shared parts; both in milliseconds.
    fn reading_ms(&self, parts: &[PromptPart]) -> (f64, f64) {
        let total: u64 = parts.iter().map(|part| part.tokens).sum();
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        let cached: u64 = cached.map(|part| part.tokens).sum();
        let shared: u64 = parts
            .split_last()
            .map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum());
        let read = total.saturating_sub(cached) as f64;
        let pairs = read * (total as f64 - read / 2.0) / 1e6;
        let shared_read = shared.saturating_sub(cached) as f64 / TOKENS_PER_MS;
        (
            read / TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS,
            shared_read,
        )
    }

    /// Time in which a target reads a prompt.
    fn reading_time(
        &self,
        parts: &[PromptPart],
        time_scale: f64,
        target: &EngineTarget<'_>,
    ) -> Duration {
        let (read_ms, _) = self.reading_ms(parts);
        millis(read_ms * time_scale * target.duration_factor.max(1.0))
    }

    fn time_until_free(&self, now: Instant) -> Duration {
        let until = self.busy_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    fn running_requests(&self, now: Instant) -> u32 {
        self.request_ends.iter().filter(|end| **end > now).count() as u32
    }

    /// Records a prompt that will have been read at `read_at`.
    fn record_prompt(
        &mut self,
        now: Instant,
        query: &PromptQuery<'_>,
        read_at: Instant,
        memory_tokens: u64,
    ) {
        self.busy_until = Some(read_at);
        self.request_ends.retain(|end| *end > now);
        let answer = query.answer_tokens as u32 * USUAL_ANSWER_PERMILLE / 1_000;
        self.request_ends.push_back(read_at + TOKEN_TIME * answer);
        for part in query.shared() {
            let tokens = part.tokens.max(MIN_PART_TOKENS);
            let cached = CachedPart {
                tokens,
                last_used: now,
            };
            if self.parts.insert(part.id, cached).is_none() {
                self.cached_tokens += tokens;
            }
        }
        let max_tokens = (memory_tokens as f64 * SHARED_CACHE_FRACTION) as u64;
        while self.cached_tokens > max_tokens && self.evict_oldest() {}
    }

    /// Evicts the least recently used part; false when there is none.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_used);
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        if let Some(part) = self.parts.remove(&id) {
            self.cached_tokens -= part.tokens;
        }
        true
    }
}

impl EngineModel {
    /// Chooses the engine that probably answers first, with regard to the cost for other
    /// requests, and records the prompt there; `None` without targets.
    pub fn place<'a>(
        &mut self,
        now: Instant,
        query: PromptQuery<'_>,
        targets: &[EngineTarget<'a>],
    ) -> Option<EngineChoice<'a>> {
        let time_scale = self.time_scale.scale();
        let first_token = FIRST_TOKEN_TIME.mul_f64(time_scale);
        let longest = query.shared().last().map(|part| part.id);
        let options: Vec<EngineOption<'a>> = targets
            .iter()
            .map(|target| self.option(now, &query, longest, target))
            .collect();
        let choice = HomeChoice {
            part: longest.unwrap_or_default(),
            wanted: longest.map_or(1, |part| self.homes.home_count(now, part)),
            beginning: self.beginning(now, &query),
            shared_reading: millis(query.shared_ms() * time_scale),
        };
        let target = &targets[choice.choose(&options)?];
        let reads = self.record_homes(now, &query, target.endpoint, targets);
        let state = self.engines.entry(target.endpoint.into()).or_default();
        let reading = state.reading_time(query.parts, time_scale, target);
        let read_in = state.time_until_free(now) + reading;
        state.record_prompt(now, &query, now + read_in, target.memory_tokens);
        Some(EngineChoice {
            endpoint: target.endpoint,
            expected: read_in + first_token,
            reads,
        })
    }

    /// The first part of a prompt that shares more than one.
    fn beginning(&self, now: Instant, query: &PromptQuery<'_>) -> Option<PromptBeginning> {
        let [first, _, ..] = query.shared() else {
            return None;
        };
        Some(PromptBeginning {
            part: first.id,
            engine_share: self.homes.engine_share(now, first.id),
        })
    }

    /// What a prompt costs at an engine.
    fn option<'a>(
        &self,
        now: Instant,
        query: &PromptQuery<'_>,
        longest: Option<u64>,
        target: &EngineTarget<'a>,
    ) -> EngineOption<'a> {
        let unused = EngineState::default();
        let state = self.engines.get(target.endpoint).unwrap_or(&unused);
        let time_scale = self.time_scale.scale();
        let (_, shared_ms) = state.reading_ms(query.parts);
        let slowness = target.duration_factor.max(1.0) - 1.0;
        let cost = state.time_until_free(now)
            + state.reading_time(query.parts, time_scale, target)
            + RUNNING_REQUEST_COST * state.running_requests(now)
            + FIRST_TOKEN_TIME.mul_f64(time_scale).mul_f64(slowness);
        EngineOption {
            endpoint: target.endpoint,
            cost,
            reread: millis(shared_ms * time_scale),
            is_home: longest.is_some_and(|part| state.parts.contains_key(&part)),
        }
    }

    /// Records the engine as a home of the prompt's shared parts.
    fn record_homes(
        &mut self,
        now: Instant,
        query: &PromptQuery<'_>,
        endpoint: &str,
        targets: &[EngineTarget<'_>],
    ) -> PlacementCounts {
        let engines = &self.engines;
        let has = |engine: &str, part: u64| {
            let state = engines.get(engine);
            state.is_some_and(|state| state.parts.contains_key(&part))
        };
        let targets: FastSet<&str> = targets.iter().map(|target| target.endpoint).collect();
        let mut reads = PlacementCounts::default();
        for part in query.shared() {
            let state_of = |engine: &str| match has(engine, part.id) {
                true if targets.contains(engine) => HomeState::Ready,
                true => HomeState::Unusable,
                false => HomeState::Evicted,
            };
            let is_cached = has(endpoint, part.id);
            let homes = &mut self.homes;
            let reason = homes.record_use(now, *part, endpoint, is_cached, state_of);
            reads.add(reason, part.tokens);
        }
        let own: u64 = query.parts.last().map_or(0, |part| part.tokens);
        let work = own as f64 / TOKENS_PER_MS * self.time_scale.scale();
        self.homes.record_own_work(now, work);
        for part in query.shared() {
            self.homes.record_work(now, part.id, work);
        }
        reads
    }

    /// Learns the speed of the pool as a whole from a prompt whose first event took `ratio`
    /// times the expected time.
    pub fn observe(&mut self, ratio: f64) {
        let unscaled = ratio * self.time_scale.scale();
        self.time_scale.observe(unscaled, TIME_QUANTILE);
    }

    /// Removes engines for which `is_known` is false.
    pub fn retain_engines(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|endpoint, _| is_known(endpoint));
    }

    /// Number of engines that were sent a prompt and not removed since.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there is no such engine.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}

#[cfg(test)]
#[path = "engine_model_tests.rs"]
mod tests;
