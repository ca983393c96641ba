//! Gauges that are read from the entry at each scrape. They hold the entry
//! weakly, since the entry holds the metrics.

use std::sync::Weak;
use std::sync::atomic::Ordering;

use opentelemetry::KeyValue;

use super::EntryNode;
use crate::directory::EndpointState;
use crate::prelude::*;

/// Version of this program, as the label of its metric.
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Adds the gauges of `node` to its metrics.
pub(super) fn register(node: &Arc<EntryNode>) {
    let meter = node.metrics.meter();
    meter
        .u64_observable_gauge("savorywalk_build_info")
        .with_description("Always 1; the label names the version")
        .with_callback(|gauge| gauge.observe(1, &[KeyValue::new("version", VERSION)]))
        .build();
    register_number(
        node,
        "savorywalk_ready",
        "1 while the daemon takes requests",
        |node| node.is_ready().into(),
    );
    register_number(
        node,
        "savorywalk_requests_in_progress",
        "Requests admitted and not yet answered",
        |node| node.in_progress.load(Ordering::Relaxed).into(),
    );
    register_number(
        node,
        "savorywalk_configuration_version",
        "Version of the configuration in force",
        |node| node.configuration.load().version,
    );
    let weak = Arc::downgrade(node);
    meter
        .u64_observable_gauge("savorywalk_endpoints")
        .with_description("Endpoints known, by pool and state")
        .with_callback(move |gauge| {
            for ((pool, state), count) in endpoint_counts(&weak) {
                let labels = [KeyValue::new("pool", pool), KeyValue::new("state", state)];
                gauge.observe(count, &labels);
            }
        })
        .build();
}

fn register_number(
    node: &Arc<EntryNode>,
    name: &'static str,
    description: &'static str,
    read: fn(&EntryNode) -> u64,
) {
    let weak = Arc::downgrade(node);
    node.metrics
        .meter()
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |gauge| {
            if let Some(node) = weak.upgrade() {
                gauge.observe(read(&node), &[]);
            }
        })
        .build();
}

/// Counts for every pool of the configuration, so that an empty one shows as
/// 0, and for pools that only endpoints name.
fn endpoint_counts(node: &Weak<EntryNode>) -> BTreeMap<(String, &'static str), u64> {
    let mut counts = BTreeMap::new();
    let Some(node) = node.upgrade() else {
        return counts;
    };
    for pool in node.configuration.load().source.pools.keys() {
        for state in [EndpointState::Serving, EndpointState::Leaving] {
            counts.insert((pool.clone(), state_name(state)), 0);
        }
    }
    for record in node.directory.snapshot().endpoints() {
        let pool = record.announcement.pool.clone();
        let state = state_name(record.announcement.state);
        *counts.entry((pool, state)).or_default() += 1;
    }
    counts
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Leaving => "leaving",
    }
}
