use rand::RngExt;

use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Random draws before the whole pool is scanned. If one endpoint in five
/// passes, 16 draws find two of them in nine of ten cases.
const MAX_DRAWS: usize = 16;

/// Pool size up to which all endpoints are candidates. That costs no more than
/// the draws, and finds an idle endpoint that two random choices often miss.
const MAX_FULL_SCAN: usize = MAX_DRAWS;

/// Endpoints between which one pick chooses.
pub(super) type Candidates<'a> = Vec<&'a Arc<EndpointRecord>>;

/// Selects the candidates of a pick: all endpoints of a small pool that pass a
/// check, or two random ones of a large pool, which is scanned only if random
/// draws don't find two.
#[derive(Debug)]
pub(super) struct CandidateSampler<'a> {
    pool: &'a [Arc<EndpointRecord>],
}

impl<'a> CandidateSampler<'a> {
    /// Creates a sampler over `pool`.
    pub(super) fn new(pool: &'a [Arc<EndpointRecord>]) -> Self {
        Self { pool }
    }

    /// The endpoints to choose from; empty if none passes.
    pub(super) fn candidates(
        &self,
        random: &mut impl RngExt,
        passes: impl Fn(&EndpointRecord) -> bool,
    ) -> Candidates<'a> {
        if self.pool.len() <= MAX_FULL_SCAN {
            return self.all_rotated(random, &passes);
        }
        if let Some(pair) = self.draw_pair(random, &passes) {
            return pair.to_vec();
        }
        self.scan_pair(random, &passes)
    }

    /// All that pass, rotated by a random offset, so that endpoints of equal cost
    /// are equally likely to be chosen.
    fn all_rotated(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> Candidates<'a> {
        if self.pool.is_empty() {
            return Vec::new();
        }
        let start = random.random_range(0..self.pool.len());
        let (before, after) = self.pool.split_at(start);
        let rotated = after.iter().chain(before);
        rotated.filter(|record| passes(record)).collect()
    }

    /// Two different endpoints that pass, by random draws.
    fn draw_pair(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> Option<[&'a Arc<EndpointRecord>; 2]> {
        let mut first = None;
        for _ in 0..MAX_DRAWS {
            let index = random.random_range(0..self.pool.len());
            if first == Some(index) || !passes(&self.pool[index]) {
                continue;
            }
            match first {
                None => first = Some(index),
                Some(first) => return Some([&self.pool[first], &self.pool[index]]),
            }
        }
        None
    }

    /// Two of all that pass, by reservoir sampling: each is equally likely.
    fn scan_pair(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> Candidates<'a> {
        let mut pair = Vec::with_capacity(2);
        let passing = self.pool.iter().filter(|record| passes(record));
        for (index, record) in passing.enumerate() {
            if index < 2 {
                pair.push(record);
                continue;
            }
            let slot = random.random_range(0..=index);
            if let Some(replaced) = pair.get_mut(slot) {
                *replaced = record;
            }
        }
        pair
    }
}
