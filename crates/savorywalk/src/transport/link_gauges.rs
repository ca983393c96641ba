//! Counters of the links, read at each scrape.

use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use super::{ClassCounts, LinkClass, LinkMetrics};
use crate::prelude::*;

/// Adds the counters of `links` to a daemon's metrics.
pub fn register(meter: &Meter, links: &Arc<LinkMetrics>) {
    by_class(meter, links, "savorywalk_link_messages_sent", |counts| {
        counts.messages_sent
    });
    by_class(meter, links, "savorywalk_link_bytes_sent", |counts| {
        counts.bytes_sent
    });
    by_class(
        meter,
        links,
        "savorywalk_link_messages_received",
        |counts| counts.messages_received,
    );
    by_class(meter, links, "savorywalk_link_bytes_received", |counts| {
        counts.bytes_received
    });
    by_class(meter, links, "savorywalk_link_messages_dropped", |counts| {
        counts.messages_dropped
    });
    total(meter, links, "savorywalk_link_calls_sent", |links| {
        &links.calls_sent
    });
    total(meter, links, "savorywalk_link_calls_received", |links| {
        &links.calls_received
    });
    total(meter, links, "savorywalk_link_calls_refused", |links| {
        &links.calls_refused
    });
    total(meter, links, "savorywalk_link_call_bytes_sent", |links| {
        &links.call_bytes_sent
    });
    total(
        meter,
        links,
        "savorywalk_link_connections_opened",
        |links| &links.connections_opened,
    );
    total(
        meter,
        links,
        "savorywalk_link_connections_suspect",
        |links| &links.connections_suspect,
    );
    total(meter, links, "savorywalk_link_refused_size", |links| {
        &links.refused_size
    });
    total(meter, links, "savorywalk_link_refused_rate", |links| {
        &links.refused_rate
    });
}

fn by_class(
    meter: &Meter,
    links: &Arc<LinkMetrics>,
    name: &'static str,
    read: fn(ClassCounts) -> u64,
) {
    let links = Arc::clone(links);
    meter
        .u64_observable_counter(name)
        .with_callback(move |counter| {
            for class in LinkClass::ALL {
                let labels = [KeyValue::new("class", class.to_string())];
                counter.observe(read(links.counts(class)), &labels);
            }
        })
        .build();
}

fn total(
    meter: &Meter,
    links: &Arc<LinkMetrics>,
    name: &'static str,
    read: fn(&LinkMetrics) -> &AtomicU64,
) {
    let links = Arc::clone(links);
    meter
        .u64_observable_counter(name)
        .with_callback(move |counter| counter.observe(read(&links).load(Ordering::Relaxed), &[]))
        .build();
}
