use std::collections::{BTreeMap, HashMap, VecDeque};

use savorywalk::directory::{CacheEvent, PREFIX_BLOCK_BYTES, PrefixHash};

use crate::endpoint_work::BYTES_PER_TOKEN;

/// Cache events that may wait to be announced; older ones are lost.
const MAX_EVENTS: usize = 1_024;
const BLOCK_TOKENS: u32 = (PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

/// Prompt prefixes that an engine holds, least recently used out first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    uses: HashMap<PrefixHash, CachedBlock>,
    order: BTreeMap<u64, PrefixHash>,
    clock: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    used: u64,
    tokens: u32,
}

impl PrefixCache {
    /// An empty cache for `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
        }
    }

    /// How many blocks of a prompt with these prefixes are held.
    pub(crate) fn held_blocks(&self, prefixes: &[PrefixHash]) -> usize {
        let held = prefixes
            .iter()
            .take_while(|prefix| self.uses.contains_key(prefix));
        held.count()
    }

    /// Holds the prefixes of a prompt; the longest is the first to go again.
    pub(crate) fn insert(&mut self, prefixes: &[PrefixHash]) {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            let tokens = (index as u32 + 1) * BLOCK_TOKENS;
            self.touch(*prefix, tokens);
        }
        while self.uses.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Length of a prefix in tokens, when it is held.
    pub(crate) fn tokens(&self, prefix: PrefixHash) -> Option<u32> {
        self.uses.get(&prefix).map(|block| block.tokens)
    }

    /// Holds one prefix that came from another engine.
    pub(crate) fn import(&mut self, prefix: PrefixHash, tokens: u32) {
        self.touch(prefix, tokens);
        while self.uses.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// The changes since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        self.events.drain(..).collect()
    }

    fn touch(&mut self, prefix: PrefixHash, tokens: u32) {
        self.clock += 1;
        let block = CachedBlock {
            used: self.clock,
            tokens,
        };
        match self.uses.insert(prefix, block) {
            Some(known) => {
                self.order.remove(&known.used);
            }
            None => self.record(prefix, tokens, false),
        }
        self.order.insert(self.clock, prefix);
    }

    fn evict_oldest(&mut self) {
        let Some((_, prefix)) = self.order.pop_first() else {
            return;
        };
        if let Some(block) = self.uses.remove(&prefix) {
            self.record(prefix, block.tokens, true);
        }
    }

    fn record(&mut self, prefix: PrefixHash, tokens: u32, evicted: bool) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            prefix,
            tokens,
            evicted,
        });
    }
}

#[cfg(test)]
#[path = "prefix_cache_tests.rs"]
mod tests;
