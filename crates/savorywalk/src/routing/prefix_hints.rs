use super::PromptPrefix;
use crate::directory::{CacheEvent, PrefixHash};
use crate::prelude::*;

/// Most prefixes remembered; at some 150 bytes each, a megabyte or so.
const MAX_PREFIXES: usize = 8_192;
/// Most endpoints remembered for one prefix.
const MAX_HOLDERS: usize = 4;
/// How long a hint is believed. Engines evict under pressure and their events
/// come late and with gaps, so an old hint is worth nothing.
const HINT_TIME: Duration = Duration::from_secs(60);

/// An endpoint that probably holds a prefix.
#[derive(Clone, Debug)]
struct PrefixHolder {
    endpoint: Arc<str>,
    until: Instant,
}

/// Which endpoints probably hold which prompt prefixes in their caches.
///
/// Hints only: one that is wrong costs a cache miss, never an answer.
#[derive(Debug, Default)]
pub struct PrefixHints {
    holders: FastMap<PrefixHash, Vec<PrefixHolder>>,
    order: VecDeque<PrefixHash>,
}

impl PrefixHints {
    /// Notes that `endpoint` holds `prefix`.
    pub fn stored(&mut self, now: Instant, prefix: PrefixHash, endpoint: &str) {
        if !self.holders.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.until > now && &*holder.endpoint != endpoint);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(PrefixHolder {
            endpoint: endpoint.into(),
            until: now + HINT_TIME,
        });
    }

    /// Notes that `endpoint` no longer holds `prefix`.
    pub fn evicted(&mut self, prefix: PrefixHash, endpoint: &str) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| &*holder.endpoint != endpoint);
        }
    }

    /// Takes in an endpoint's own word of its cache.
    pub fn take_event(&mut self, now: Instant, endpoint: &str, event: CacheEvent) {
        if event.evicted {
            self.evicted(event.prefix, endpoint);
        } else {
            self.stored(now, event.prefix, endpoint);
        }
    }

    /// Endpoints that probably hold a part of `prefix`, with the share that
    /// they hold: longest match first, newest first within it.
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
                .filter(move |holder| holder.until > now);
            live.map(move |holder| (&*holder.endpoint, prefix.share(index)))
        })
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Drops the oldest prefix when there is no room for another.
    fn make_room(&mut self) {
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
