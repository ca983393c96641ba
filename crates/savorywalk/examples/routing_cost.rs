//! Measures what one pick costs as the pool grows; see
//! docs/measurements/routing.md.

use std::time::{Duration, Instant};

use savorywalk::directory::{
    DirectorySnapshot, EndpointAnnouncement, EndpointDirectory, EndpointLoad, EndpointState,
    ModelEntry,
};
use savorywalk::routing::{EndpointRouter, PromptPrefix, RouteQuery, RoutingPolicy};

const POOL: &str = "engines";
const SIZES: [usize; 3] = [10, 100, 1_100];
const MODELS: usize = 5;
const PICKS: u32 = 20_000;
const LEASE: Duration = Duration::from_secs(600);

/// A pool in which each endpoint has one of `models` models.
fn snapshot(size: usize, models: usize) -> DirectorySnapshot {
    let mut directory = EndpointDirectory::default();
    for number in 0..size {
        let announcement = EndpointAnnouncement {
            endpoint: format!("engine-{number:04}"),
            address: ([127, 0, 0, 1], 9).into(),
            pool: POOL.into(),
            data_center: "bole".into(),
            incarnation: 1,
            sequence: 1,
            state: EndpointState::Serving,
            lease_ms: LEASE.as_millis() as u32,
            models: vec![ModelEntry {
                name: format!("model-{}", number % models),
                version: "1".into(),
                adapters: Vec::new(),
            }],
            load: EndpointLoad::default(),
            slots: 8,
            cache_events: Vec::new(),
        };
        if let Err(error) = directory.announce(Instant::now(), announcement, LEASE) {
            eprintln!("{error}");
        }
    }
    directory.snapshot()
}

/// Nanoseconds for a pick that is counted as outstanding until 64 later.
fn pick_nanos(policy: RoutingPolicy, size: usize, models: usize) -> f64 {
    let snapshot = snapshot(size, models);
    let router = EndpointRouter::new(policy, "bole");
    let prefix = PromptPrefix::new(&"a long callout history ".repeat(400));
    let query = RouteQuery {
        pool: POOL,
        model: "model-0",
        version: "",
        adapter: "",
        prefix: &prefix,
        excluded: &[],
    };
    let mut guards = std::collections::VecDeque::new();
    let started = Instant::now();
    for _ in 0..PICKS {
        let Some(record) = router.pick(Instant::now(), &snapshot, query) else {
            continue;
        };
        let endpoint = &record.announcement.endpoint;
        router.record_prefix(Instant::now(), endpoint, &prefix);
        guards.push_back(router.outstanding.begin_attempt(endpoint));
        if guards.len() > 64 {
            guards.pop_front();
        }
    }
    started.elapsed().as_nanos() as f64 / f64::from(PICKS)
}

fn main() {
    println!("policy models endpoints ns_per_pick");
    for (name, policy) in [
        ("adaptive", RoutingPolicy::Adaptive),
        ("least_outstanding", RoutingPolicy::LeastOutstanding),
    ] {
        for models in [1, MODELS] {
            for size in SIZES {
                let nanos = pick_nanos(policy, size, models);
                println!("{name} {models} {size} {nanos:.0}");
            }
        }
    }
}
