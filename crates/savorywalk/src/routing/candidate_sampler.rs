use rand::RngExt;

use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Draws before the whole pool is scanned. When one endpoint in five will do,
/// sixteen draws find two of them nine times in ten.
const MAX_DRAWS: usize = 16;

/// Pools up to this size are weighed whole: that costs no more than the draws,
/// and finds the idle endpoint that two choices often miss.
const WEIGHED_WHOLE: usize = MAX_DRAWS;

/// Candidates of one pick.
pub(super) type Candidates<'a> = Vec<&'a Arc<EndpointRecord>>;

/// Draws two different endpoints that pass a check, without looking at the
/// whole pool unless the draws fail; of a small pool takes all that pass.
#[derive(Debug)]
pub(super) struct CandidateSampler<'a> {
    pool: &'a [Arc<EndpointRecord>],
}

impl<'a> CandidateSampler<'a> {
    /// A sampler over `pool`.
    pub(super) fn new(pool: &'a [Arc<EndpointRecord>]) -> Self {
        Self { pool }
    }

    /// The endpoints to choose from; none when none passes.
    pub(super) fn candidates(
        &self,
        random: &mut impl RngExt,
        passes: impl Fn(&EndpointRecord) -> bool,
    ) -> Candidates<'a> {
        if self.pool.len() <= WEIGHED_WHOLE {
            return self.whole(random, &passes);
        }
        if let Some(pair) = self.drawn(random, &passes) {
            return pair.to_vec();
        }
        self.scanned(random, &passes)
    }

    /// All that pass, from a random place on, so that equal ones take turns.
    fn whole(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> Candidates<'a> {
        if self.pool.is_empty() {
            return Vec::new();
        }
        let start = random.random_range(0..self.pool.len());
        let (before, after) = self.pool.split_at(start);
        let turned = after.iter().chain(before);
        turned.filter(|record| passes(record)).collect()
    }

    fn drawn(
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

    /// Two of all that pass, each as probable as the other.
    fn scanned(
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
            if let Some(place) = pair.get_mut(slot) {
                *place = record;
            }
        }
        pair
    }
}
