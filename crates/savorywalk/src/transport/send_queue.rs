use super::link_class::DropRule;
use super::link_limits::MAX_BATCH_BYTES;
use super::queue_quota::{QueueQuota, QuotaShare};
use super::{LinkChannel, LinkClass};
use crate::prelude::*;

/// One message that waits for its peer.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    /// Part of the system that it is for.
    pub channel: LinkChannel,
    /// The message.
    pub payload: Bytes,
    _share: QuotaShare,
}

/// What became of a message offered to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueOutcome {
    /// It waits.
    Queued,
    /// It waits, and this many older ones were dropped for it.
    Displaced(usize),
    /// It was dropped.
    Full,
}

/// Messages of one channel and class that go out together.
#[derive(Debug)]
pub(super) struct QueuedBatch {
    /// Channel of all of them.
    pub channel: LinkChannel,
    /// Class of all of them.
    pub class: LinkClass,
    /// The messages, oldest first.
    pub payloads: Vec<Bytes>,
    /// Sum of their sizes.
    pub bytes: usize,
}

/// What waits for one peer, bounded by class.
#[derive(Debug)]
pub(super) struct SendQueue {
    quota: Arc<QueueQuota>,
    lanes: [ClassLane; LinkClass::ALL.len()],
}

#[derive(Debug, Default)]
struct ClassLane {
    messages: VecDeque<QueuedMessage>,
    bytes: usize,
}

impl SendQueue {
    /// An empty queue that shares `quota` with the other peers' queues.
    pub(super) fn new(quota: Arc<QueueQuota>) -> Self {
        Self {
            quota,
            lanes: Default::default(),
        }
    }

    /// Offers a message; a full lane gives up what its class's rule says.
    pub(super) fn push(
        &mut self,
        channel: LinkChannel,
        class: LinkClass,
        payload: Bytes,
    ) -> QueueOutcome {
        let bound = class.bound();
        let size = payload.len();
        if size > bound.bytes {
            return QueueOutcome::Full;
        }
        let lane = &mut self.lanes[class.index()];
        let mut displaced = 0;
        while lane.messages.len() >= bound.messages || lane.bytes + size > bound.bytes {
            if bound.rule == DropRule::Newest || lane.pop().is_none() {
                return QueueOutcome::Full;
            }
            displaced += 1;
        }
        let Some(share) = self.quota.take(class, size) else {
            return QueueOutcome::Full;
        };
        lane.bytes += size;
        lane.messages.push_back(QueuedMessage {
            channel,
            payload,
            _share: share,
        });
        match displaced {
            0 => QueueOutcome::Queued,
            count => QueueOutcome::Displaced(count),
        }
    }

    /// Class and size of the next batch, when something waits.
    pub(super) fn peek(&self) -> Option<(LinkClass, usize)> {
        LinkClass::ALL.into_iter().find_map(|class| {
            let lane = &self.lanes[class.index()];
            let batch = lane.batch_length();
            let bytes = lane
                .messages
                .iter()
                .take(batch)
                .map(|message| message.payload.len())
                .sum();
            (batch > 0).then_some((class, bytes))
        })
    }

    /// Takes the next batch of `class`.
    pub(super) fn pop(&mut self, class: LinkClass) -> Option<QueuedBatch> {
        let lane = &mut self.lanes[class.index()];
        let count = lane.batch_length();
        let channel = lane.messages.front()?.channel;
        let payloads: Vec<Bytes> = (0..count).filter_map(|_| lane.pop()).collect();
        let bytes = payloads.iter().map(Bytes::len).sum();
        Some(QueuedBatch {
            channel,
            class,
            payloads,
            bytes,
        })
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|lane| lane.messages.is_empty())
    }

    /// Empties the queue and tells how many messages of each class were lost.
    pub(super) fn clear(&mut self) -> [usize; LinkClass::ALL.len()] {
        LinkClass::ALL.map(|class| {
            let lane = std::mem::take(&mut self.lanes[class.index()]);
            lane.messages.len()
        })
    }
}

impl ClassLane {
    fn pop(&mut self) -> Option<Bytes> {
        let message = self.messages.pop_front()?;
        self.bytes -= message.payload.len();
        Some(message.payload)
    }

    /// Messages at the front that share a channel and fit into one batch.
    fn batch_length(&self) -> usize {
        let Some(first) = self.messages.front() else {
            return 0;
        };
        let mut bytes = 0;
        let fits = |message: &&QueuedMessage| {
            bytes += message.payload.len();
            message.channel == first.channel && bytes <= MAX_BATCH_BYTES
        };
        self.messages.iter().take_while(fits).count().max(1)
    }
}

#[cfg(test)]
#[path = "send_queue_tests.rs"]
mod tests;
