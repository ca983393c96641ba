use super::PromptPrefix;
use crate::directory::{CacheEvent, PrefixHash};
use crate::prelude::*;

/// Maximum number of stored prefixes; at about 150 bytes each, about a megabyte.
const MAX_PREFIXES: usize = 8_192;
/// Maximum number of endpoints stored for one prefix.
const MAX_HOLDERS: usize = 4;
/// Lifetime of a hint. Engines evict prefixes under pressure, and their events
/// are late and incomplete, so an old hint has no value.
const HINT_LIFETIME: Duration = Duration::from_secs(60);

/// An endpoint that probably has a prefix cached.
#[derive(Clone, Debug)]
struct PrefixHolder {
    endpoint: Arc<str>,
    expires: Instant,
}

/// Hints at which endpoints have which prompt prefixes in their caches.
///
/// A wrong hint costs a cache miss, but never an answer.
#[derive(Debug, Default)]
pub struct PrefixHints {
    holders: FastMap<PrefixHash, Vec<PrefixHolder>>,
    order: VecDeque<PrefixHash>,
}

impl PrefixHints {
    /// Records that `endpoint` has cached `prefix`.
    pub fn record_stored(&mut self, now: Instant, prefix: PrefixHash, endpoint: &str) {
        if !self.holders.contains_key(&prefix) {
            self.evict_oldest_if_full();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.expires > now && &*holder.endpoint != endpoint);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(PrefixHolder {
            endpoint: endpoint.into(),
            expires: now + HINT_LIFETIME,
        });
    }

    /// Records that `endpoint` no longer has `prefix` cached.
    pub fn record_evicted(&mut self, prefix: PrefixHash, endpoint: &str) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| &*holder.endpoint != endpoint);
        }
    }

    /// Applies one change that an endpoint reported of its cache.
    pub fn apply_event(&mut self, now: Instant, endpoint: &str, event: CacheEvent) {
        if event.evicted {
            self.record_evicted(event.prefix, endpoint);
        } else {
            self.record_stored(now, event.prefix, endpoint);
        }
    }

    /// Endpoints that probably have a part of `prefix` cached, with the cached
    /// share: the longest match first, and the newest hint first among equals.
    pub fn holders<'a>(
        &'a self,
        now: Instant,
        prefix: &'a PromptPrefix,
    ) -> impl Iterator<Item = (&'a str, f64)> {
        let steps = prefix.hashes().iter().enumerate().rev();
        steps.flat_map(move |(index, hash)| {
            let holders = self.holders.get(hash).map_or(&[][..], Vec::as_slice);
            let live = holders
                .iter()
                .rev()
                .filter(move |holder| holder.expires > now);
            live.map(move |holder| (&*holder.endpoint, prefix.share(index)))
        })
    }

    /// Number of stored prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no prefix is stored.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Removes the oldest prefix if the maximum is reached.
    fn evict_oldest_if_full(&mut self) {
        if self.order.len() < MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.holders.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "prefix_hints_tests.rs"]
mod tests;
