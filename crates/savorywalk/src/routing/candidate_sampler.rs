use rand::RngExt;

use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Draws before the whole pool is scanned. When one endpoint in five will do,
/// sixteen draws find two of them nine times in ten.
const MAX_DRAWS: usize = 16;

/// Draws up to two different endpoints that pass a check, without looking at
/// the whole pool unless the draws fail.
#[derive(Debug)]
pub(super) struct CandidateSampler<'a> {
    pool: &'a [Arc<EndpointRecord>],
}

impl<'a> CandidateSampler<'a> {
    /// A sampler over `pool`.
    pub(super) fn new(pool: &'a [Arc<EndpointRecord>]) -> Self {
        Self { pool }
    }

    /// Two endpoints, or fewer when no more pass.
    pub(super) fn pair(
        &self,
        random: &mut impl RngExt,
        passes: impl Fn(&EndpointRecord) -> bool,
    ) -> [Option<&'a Arc<EndpointRecord>>; 2] {
        if self.pool.len() > MAX_DRAWS
            && let Some(pair) = self.drawn(random, &passes)
        {
            return pair;
        }
        self.scanned(random, &passes)
    }

    fn drawn(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> Option<[Option<&'a Arc<EndpointRecord>>; 2]> {
        let mut first = None;
        for _ in 0..MAX_DRAWS {
            let index = random.random_range(0..self.pool.len());
            if first == Some(index) || !passes(&self.pool[index]) {
                continue;
            }
            match first {
                None => first = Some(index),
                Some(first) => return Some([Some(&self.pool[first]), Some(&self.pool[index])]),
            }
        }
        None
    }

    /// Two of all that pass, each as probable as the other.
    fn scanned(
        &self,
        random: &mut impl RngExt,
        passes: &impl Fn(&EndpointRecord) -> bool,
    ) -> [Option<&'a Arc<EndpointRecord>>; 2] {
        let mut pair = [None, None];
        let passing = self.pool.iter().filter(|record| passes(record));
        for (index, record) in passing.enumerate() {
            let slot = match index {
                0 | 1 => index,
                _ => random.random_range(0..=index),
            };
            if let Some(place) = pair.get_mut(slot) {
                *place = Some(record);
            }
        }
        pair
    }
}
