//! Simulated engines under skewed demand for shared parts: four beginnings, each followed by
//! one of 150 parts, and a burst of long prompts beside short ones.

use super::*;
use crate::gateway::{EngineModel, EngineTarget, PromptPart, PromptQuery};
use crate::hashing::stable_hash;
use crate::prelude::*;

const ENGINES: usize = 47;
const MEMORY_TOKENS: u64 = 480_000;
const TOKENS_PER_MS: f64 = 25.0;
/// As much slower than the model's assumption as the reading, so that the model learns both.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(300);
const ANSWER_TIME: Duration = Duration::from_millis(480);
/// A part that was read this recently is read again.
const AGAIN: Duration = Duration::from_secs(10);

/// Engines that read prompts in turn and evict the least recently used parts.
#[derive(Default)]
struct Engines {
    busy_until: BTreeMap<usize, Instant>,
    cached: BTreeMap<usize, BTreeMap<u64, Instant>>,
    read_at: BTreeMap<u64, Instant>,
    /// Ends of the answers in progress.
    ends: BTreeMap<usize, Vec<Instant>>,
    read: u64,
    read_again: u64,
    waited: Duration,
    prompts: u32,
}

impl Engines {
    fn wait(&self, now: Instant, engine: usize) -> Duration {
        let until = self.busy_until.get(&engine).copied().unwrap_or(now);
        until.saturating_duration_since(now)
    }

    fn unread(&self, engine: usize, parts: &[PromptPart]) -> u64 {
        let cached = self.cached.get(&engine);
        let missing = |part: &&PromptPart| !cached.is_some_and(|has| has.contains_key(&part.id));
        parts.iter().filter(missing).map(|part| part.tokens).sum()
    }

    /// Reads a prompt, and returns the time until its first event.
    fn run(&mut self, now: Instant, engine: usize, parts: &[PromptPart]) -> Duration {
        let unread = self.unread(engine, parts);
        let (_, shared) = parts.split_last().unwrap();
        let cached = self.cached.entry(engine).or_default();
        for part in shared {
            let is_recent = |read_at: &Instant| now < *read_at + AGAIN;
            if !cached.contains_key(&part.id) && self.read_at.get(&part.id).is_some_and(is_recent) {
                self.read_again += part.tokens;
            }
            cached.insert(part.id, now);
            self.read_at.insert(part.id, now);
        }
        while cached.len() as u64 * 3_500 > MEMORY_TOKENS * 6 / 10 {
            let oldest = cached.iter().min_by_key(|(_, used)| **used);
            let id = *oldest.unwrap().0;
            cached.remove(&id);
        }
        let waited = self.wait(now, engine);
        let time = waited + Duration::from_secs_f64(unread as f64 / TOKENS_PER_MS / 1_000.0);
        self.busy_until.insert(engine, now + time);
        let ends = self.ends.entry(engine).or_default();
        ends.retain(|end| *end > now);
        ends.push(now + time + ANSWER_TIME);
        self.read += unread;
        self.waited += time;
        self.prompts += 1;
        time + FIRST_TOKEN_TIME
    }

    fn again_percent(&self) -> f64 {
        self.read_again as f64 * 100.0 / self.read as f64
    }

    fn mean_time(&self) -> Duration {
        self.waited / self.prompts
    }
}

fn uniform(seed: u64, number: u64) -> f64 {
    let hash = stable_hash(&[&seed.to_le_bytes(), &number.to_le_bytes()]);
    hash as f64 / u64::MAX as f64
}

/// Prompt of a number: skewed demand, a third of the prompts long.
fn prompt(number: u64) -> [PromptPart; 3] {
    let follower = (uniform(1, number).powi(2) * 600.0) as u64;
    let own = if uniform(2, number) < 0.3 { 4_500 } else { 600 };
    let part = |id, tokens| PromptPart { id, tokens };
    [
        part(1 + follower % 4, 2_500),
        part(100 + follower, 3_800),
        part(1_000_000 + number, own),
    ]
}

/// Arrivals of a load: 60 prompts a second for 20 s, 140 for 6 s, and 60 again for 10 s.
fn arrivals() -> Vec<Duration> {
    let phases = [(0, 20, 60), (20, 26, 140), (26, 36, 60)];
    let phase = |(from, to, rate): (u64, u64, u64)| {
        (0..(to - from) * rate).map(move |number| {
            let jitter = uniform(3, from * 10_000 + number);
            let at = from as f64 + (number as f64 + jitter) / rate as f64;
            Duration::from_secs_f64(at)
        })
    };
    phases.into_iter().flat_map(phase).collect()
}

fn names() -> Vec<String> {
    (0..ENGINES)
        .map(|index| format!("engine-{index}"))
        .collect()
}

/// Places a prompt by the model at the engines that are not lost, and reports its time.
fn place_by_homes(
    model: &mut EngineModel,
    engines: &mut Engines,
    now: Instant,
    names: &[String],
    parts: &[PromptPart],
) -> PlacementCounts {
    let target = |name| EngineTarget {
        endpoint: name,
        duration_factor: 1.0,
        memory_tokens: MEMORY_TOKENS,
    };
    let targets: Vec<EngineTarget<'_>> = names.iter().map(|name| target(name.as_str())).collect();
    let query = PromptQuery {
        parts,
        answer_tokens: 120,
    };
    let choice = model.place(now, query, &targets).unwrap();
    let number = choice.endpoint.trim_start_matches("engine-");
    let time = engines.run(now, number.parse().unwrap(), parts);
    model.observe(time.as_secs_f64() / choice.expected.as_secs_f64());
    choice.reads
}

/// The rule before: least wait and reading time, with half the time of parts read again and
/// 4 ms for each answer in progress. It knows the engines' exact state, which no coordinator does.
fn place_by_cost(engines: &mut Engines, now: Instant, parts: &[PromptPart]) {
    let cost = |engine: &usize| {
        let shared = engines.unread(*engine, &parts[..2]) as f64 * 0.5;
        let unread = engines.unread(*engine, parts) as f64;
        let reading = Duration::from_secs_f64((unread + shared) / TOKENS_PER_MS / 1_000.0);
        let ends = engines.ends.get(engine).into_iter().flatten();
        let running = ends.filter(|end| **end > now).count() as u32;
        engines.wait(now, *engine) + reading + Duration::from_millis(4) * running
    };
    let engine = (0..ENGINES).min_by_key(cost).unwrap();
    engines.run(now, engine, parts);
}

/// Runs the load with homes; engines at the end of the list are lost in the burst, and the
/// coordinator is replaced by one without state at `replaced_at`.
fn run_homes(lost: usize, replaced_at: Option<Duration>) -> (Engines, PlacementCounts) {
    let start = Instant::now();
    let (mut model, mut engines) = (EngineModel::default(), Engines::default());
    let names = names();
    let mut reads = PlacementCounts::default();
    let mut last = Duration::ZERO;
    for (number, at) in arrivals().into_iter().enumerate() {
        if replaced_at.is_some_and(|replaced_at| (last..at).contains(&replaced_at)) {
            model = EngineModel::default();
        }
        last = at;
        let lost = if at > Duration::from_secs(22) {
            lost
        } else {
            0
        };
        let usable = &names[..ENGINES - lost];
        let parts = prompt(number as u64);
        reads.merge(&place_by_homes(
            &mut model,
            &mut engines,
            start + at,
            usable,
            &parts,
        ));
    }
    (engines, reads)
}

fn run_cost() -> Engines {
    let start = Instant::now();
    let mut engines = Engines::default();
    for (number, at) in arrivals().into_iter().enumerate() {
        place_by_cost(&mut engines, start + at, &prompt(number as u64));
    }
    engines
}

#[test]
fn fewer_parts_are_read_again_in_a_burst_and_waits_do_not_grow() {
    let ((homes, reads), cost) = (run_homes(0, None), run_cost());
    let figures = format!(
        "homes {:.1} % {:?}, cost {:.1} % {:?}; {reads}",
        homes.again_percent(),
        homes.mean_time(),
        cost.again_percent(),
        cost.mean_time()
    );
    assert!(homes.again_percent() < 8.0, "{figures}");
    assert!(homes.again_percent() < cost.again_percent(), "{figures}");
    assert!(homes.mean_time() <= cost.mean_time(), "{figures}");
}

#[test]
fn engines_lost_in_a_burst_are_replaced_by_the_next_of_the_hash() {
    let (homes, reads) = run_homes(4, None);
    let figures = format!(
        "{:.1} % {:?}; {reads}",
        homes.again_percent(),
        homes.mean_time()
    );
    assert!(reads.tokens_of(ReadReason::EngineLost) > 0, "{figures}");
    assert!(homes.again_percent() < 8.0, "{figures}");
}

#[test]
fn a_coordinator_without_state_finds_most_homes_again_by_the_hash() {
    let (kept, _) = run_homes(0, None);
    let (homes, reads) = run_homes(0, Some(Duration::from_secs(18)));
    let figures = format!(
        "{:.1} %, kept {:.1} %; {reads}",
        homes.again_percent(),
        kept.again_percent()
    );
    let more = homes.read_again.saturating_sub(kept.read_again);
    let all_parts = 600 * 3_800;
    assert!(more < all_parts / 2, "{figures}");
}

/// One part at nine times the rate of all others together gets more homes, and gives them up.
#[test]
fn a_hot_part_gets_more_homes_until_its_rate_falls() {
    let start = Instant::now();
    let (mut model, mut engines) = (EngineModel::default(), Engines::default());
    let names = names();
    let mut homes_at = |from: u64, to: u64, hot_rate: f64| {
        let mut used: BTreeSet<usize> = BTreeSet::new();
        for number in from * 40..to * 40 {
            let now = start + Duration::from_millis(25) * number as u32;
            let mut parts = prompt(number);
            let is_hot = uniform(9, number) < hot_rate;
            if is_hot {
                parts[0].id = 1;
                parts[1].id = 99;
            }
            place_by_homes(&mut model, &mut engines, now, &names, &parts);
            if is_hot {
                let has = |engine: &usize| engines.cached[engine].get(&99) == Some(&now);
                used.extend(engines.cached.keys().copied().filter(has));
            }
        }
        used.len()
    };
    let usual = homes_at(0, 10, 0.02);
    let hot = homes_at(10, 20, 0.9);
    homes_at(20, 35, 0.02);
    let after = homes_at(35, 45, 0.02);
    assert!(
        usual <= 2 && hot >= 4 && after <= hot / 2,
        "{usual} {hot} {after}"
    );
}
