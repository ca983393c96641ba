use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use opentelemetry::metrics::Meter;

use crate::prelude::*;

/// Bounds the memory of bodies in one direction, over all connections of a daemon.
///
/// A body may hold as much as is still free. So one body may use half of the memory, many that grow
/// share it, and a small one always finds room beside large ones. See docs/design/intake-limits.md.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    capacity: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    refused: AtomicU64,
}

/// The memory of one body; released on drop.
#[derive(Debug)]
pub(crate) struct BodyHold {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

/// A body does not fit beside the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{held} bytes are held, too many for {bytes} bytes of this body")]
pub(crate) struct MemoryFull {
    /// What is held for all bodies.
    pub(crate) held: usize,
    /// What this body needs.
    pub(crate) bytes: usize,
    /// Most that any body may hold, when it is alone.
    pub(crate) most: usize,
}

impl MemoryFull {
    /// Whether the body would not fit either if it were alone, so that there is no point in a retry.
    pub(crate) fn is_permanent(&self) -> bool {
        self.bytes > self.most
    }
}

impl BodyMemory {
    pub(crate) fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            held: AtomicUsize::default(),
            peak: AtomicUsize::default(),
            refused: AtomicU64::default(),
        })
    }

    /// Begins to hold a body.
    pub(crate) fn hold(self: &Arc<Self>) -> BodyHold {
        BodyHold {
            memory: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Bytes held now.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Most bytes that were held at a time.
    pub(crate) fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Whether less than a quarter is free.
    pub(crate) fn is_short(&self) -> bool {
        self.held() > self.capacity / 4 * 3
    }

    fn full(&self, held: usize, bytes: usize) -> MemoryFull {
        MemoryFull {
            held,
            bytes,
            most: self.capacity / 2,
        }
    }

    /// Registers gauges of what is held and a counter of what was refused, under names that begin with
    /// `prefix`.
    pub(crate) fn register_metrics(self: &Arc<Self>, meter: &Meter, prefix: &str) {
        let memory = Arc::clone(self);
        meter
            .u64_observable_gauge(format!("{prefix}_bytes"))
            .with_description("Bytes of bodies that are held")
            .with_callback(move |gauge| gauge.observe(memory.held() as u64, &[]))
            .build();
        let memory = Arc::clone(self);
        meter
            .u64_observable_gauge(format!("{prefix}_peak_bytes"))
            .with_description("Most bytes of bodies that were held at a time")
            .with_callback(move |gauge| gauge.observe(memory.peak() as u64, &[]))
            .build();
        let memory = Arc::clone(self);
        meter
            .u64_observable_counter(format!("{prefix}_refusals"))
            .with_description("Bodies that did not fit beside the others")
            .with_callback(move |counter| {
                counter.observe(memory.refused.load(Ordering::Relaxed), &[]);
            })
            .build();
    }
}

impl BodyHold {
    /// A hold for bodies whose senders are trusted.
    pub(crate) fn unbounded() -> Self {
        BodyMemory::new(usize::MAX).hold()
    }

    /// Sets the number of bytes that the body holds.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if they do not fit; the body then holds as much as before.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let memory = &self.memory;
        let Some(more) = bytes.checked_sub(self.bytes) else {
            memory.held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        };
        let grow = |held: usize| {
            let free = memory.capacity.checked_sub(held + more)?;
            (bytes <= free).then_some(held + more)
        };
        let grown = memory
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        match grown {
            Ok(before) => {
                memory.peak.fetch_max(before + more, Ordering::Relaxed);
                self.bytes = bytes;
                Ok(())
            }
            Err(held) => {
                self.record_refusal();
                Err(memory.full(held, bytes))
            }
        }
    }

    /// Holds `more` bytes in addition.
    ///
    /// # Errors
    ///
    /// As for [`resize`](Self::resize).
    pub(crate) fn grow(&mut self, more: usize) -> Result<(), MemoryFull> {
        self.resize(self.bytes.saturating_add(more))
    }

    /// Fails if a body that has announced `more` bytes can't fit as it is now; holds nothing.
    ///
    /// # Errors
    ///
    /// As for [`resize`](Self::resize).
    pub(crate) fn check_room(&mut self, more: usize) -> Result<(), MemoryFull> {
        let before = self.bytes;
        self.grow(more)?;
        self.resize(before)
    }

    /// Fails if the memory is short, so that a body without progress leaves its room to others.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if the memory is short.
    pub(crate) fn check_stalled(&self) -> Result<(), MemoryFull> {
        if !self.memory.is_short() {
            return Ok(());
        }
        self.record_refusal();
        Err(self.memory.full(self.memory.held(), self.bytes))
    }

    fn record_refusal(&self) {
        self.memory.refused.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "body_memory_tests.rs"]
mod tests;
