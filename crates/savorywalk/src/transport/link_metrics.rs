use std::sync::atomic::{AtomicU64, Ordering};

use super::LinkClass;

/// What the links of one daemon have carried, by class; calls apart.
#[derive(Debug, Default)]
pub struct LinkMetrics {
    classes: [ClassCounters; LinkClass::ALL.len()],
    /// Calls made.
    pub calls_sent: AtomicU64,
    /// Calls taken.
    pub calls_received: AtomicU64,
    /// Calls refused here.
    pub calls_refused: AtomicU64,
    /// Bytes of requests and answers sent.
    pub call_bytes_sent: AtomicU64,
    /// Connections that were replaced as suspect.
    pub connections_suspect: AtomicU64,
    /// Connections opened, by either end.
    pub connections_opened: AtomicU64,
    /// Streams refused for their size.
    pub refused_size: AtomicU64,
    /// Messages and calls refused for their rate.
    pub refused_rate: AtomicU64,
}

#[derive(Debug, Default)]
struct ClassCounters {
    messages_sent: AtomicU64,
    bytes_sent: AtomicU64,
    messages_received: AtomicU64,
    bytes_received: AtomicU64,
    messages_dropped: AtomicU64,
}

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages handed to a connection.
    pub messages_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Messages taken.
    pub messages_received: u64,
    /// Their bytes.
    pub bytes_received: u64,
    /// Messages dropped here: a full queue, a lost connection, a slow
    /// subscriber, a peer over its rate.
    pub messages_dropped: u64,
}

impl LinkMetrics {
    /// Counts of `class` so far.
    pub fn counts(&self, class: LinkClass) -> ClassCounts {
        let counters = &self.classes[class.index()];
        ClassCounts {
            messages_sent: counters.messages_sent.load(Ordering::Relaxed),
            bytes_sent: counters.bytes_sent.load(Ordering::Relaxed),
            messages_received: counters.messages_received.load(Ordering::Relaxed),
            bytes_received: counters.bytes_received.load(Ordering::Relaxed),
            messages_dropped: counters.messages_dropped.load(Ordering::Relaxed),
        }
    }

    pub(super) fn sent(&self, class: LinkClass, messages: usize, bytes: usize) {
        let counters = &self.classes[class.index()];
        count(&counters.messages_sent, messages);
        count(&counters.bytes_sent, bytes);
    }

    pub(super) fn received(&self, class: LinkClass, bytes: usize) {
        let counters = &self.classes[class.index()];
        count(&counters.messages_received, 1);
        count(&counters.bytes_received, bytes);
    }

    pub(super) fn dropped(&self, class: LinkClass, messages: usize) {
        count(&self.classes[class.index()].messages_dropped, messages);
    }
}

pub(super) fn count(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}
