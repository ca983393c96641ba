//! Gauges of the pools' queues, read at each scrape.

use opentelemetry::KeyValue;

use super::EntryNode;
use crate::prelude::*;
use crate::queueing::QueueStatus;

/// Adds the gauges of the queues of `node` to its metrics.
pub(super) fn register(node: &Arc<EntryNode>) {
    register_number(
        node,
        "savorywalk_queue_limit",
        "Stages that this daemon may run at a pool at once",
        |status| status.limit.unwrap_or(0).into(),
    );
    register_number(
        node,
        "savorywalk_queue_running",
        "Stages that run at a pool",
        |status| status.in_use.into(),
    );
    register_number(
        node,
        "savorywalk_queue_waiting",
        "Stages that wait for their turn at a pool",
        |status| status.queued as u64,
    );
}

fn register_number(
    node: &Arc<EntryNode>,
    name: &'static str,
    description: &'static str,
    read: fn(&QueueStatus) -> u64,
) {
    let weak = Arc::downgrade(node);
    node.metrics
        .meter()
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |gauge| {
            let Some(node) = weak.upgrade() else { return };
            for status in node.queues().status(Instant::now()) {
                let label = KeyValue::new("pool", status.pool.clone());
                gauge.observe(read(&status), &[label]);
            }
        })
        .build();
}
