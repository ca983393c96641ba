use std::collections::VecDeque;
use std::time::{Duration, Instant};

use savorywalk::directory::{CacheEvent, EndpointLoad};

use crate::AnnouncementOptions;

const MAX_SAMPLES: usize = 1_024;
const MAX_EVENTS: usize = 4_096;

/// Holds load and cache events back until they are as old as the options ask,
/// and loses some events, as real endpoints' reports are late and have gaps.
#[derive(Debug, Default)]
pub(crate) struct LaggedReport {
    loads: VecDeque<(Instant, EndpointLoad)>,
    events: VecDeque<(Instant, CacheEvent)>,
    event_count: u32,
    known_load: EndpointLoad,
}

impl LaggedReport {
    /// Takes the load as it is at `now`.
    pub(crate) fn record_load(&mut self, now: Instant, load: EndpointLoad) {
        if self.loads.len() == MAX_SAMPLES {
            self.loads.pop_front();
        }
        self.loads.push_back((now, load));
    }

    /// Takes cache events that happened by `now`.
    pub(crate) fn record_events(
        &mut self,
        now: Instant,
        events: Vec<CacheEvent>,
        options: &AnnouncementOptions,
    ) {
        for event in events {
            self.event_count += 1;
            let lost = options.cache_gap > 0 && self.event_count.is_multiple_of(options.cache_gap);
            if !lost && self.events.len() < MAX_EVENTS {
                self.events.push_back((now, event));
            }
        }
    }

    /// The newest load that is at least `lag` old.
    pub(crate) fn load(&mut self, now: Instant, lag: Duration) -> EndpointLoad {
        while let Some((at, load)) = self.loads.front().copied() {
            if now.duration_since(at) < lag {
                break;
            }
            self.known_load = load;
            self.loads.pop_front();
        }
        self.known_load
    }

    /// The events that are at least `lag` old and were not told yet.
    pub(crate) fn events(&mut self, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        let due = |(at, _): &(Instant, CacheEvent)| now.duration_since(*at) >= lag;
        let count = self.events.iter().take_while(|entry| due(entry)).count();
        self.events.drain(..count).map(|(_, event)| event).collect()
    }
}

#[cfg(test)]
#[path = "lagged_report_tests.rs"]
mod tests;
