use crate::prelude::*;

/// Largest number of members with pending updates. Above it the update at the end of the queue is
/// dropped; the comparison of digests recovers it.
const MAX_PENDING: usize = 512;

/// Queue of members whose updates have to be sent, each a fixed number of times.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    pending: VecDeque<PendingUpdate>,
}

#[derive(Debug)]
struct PendingUpdate {
    name: Arc<str>,
    sends_left: usize,
}

impl UpdateQueue {
    /// Puts the update of a member at the front of the queue, to be sent `sends` times. It
    /// replaces an update of that member that is queued already.
    pub(super) fn push(&mut self, name: &Arc<str>, sends: usize) {
        self.pending.retain(|update| update.name != *name);
        self.pending.push_front(PendingUpdate {
            name: Arc::clone(name),
            sends_left: sends,
        });
        self.pending.truncate(MAX_PENDING);
    }

    /// Removes up to `max` members for the next message. Those whose updates must be sent again
    /// go to the end of the queue.
    pub(super) fn next_batch(&mut self, max: usize) -> Vec<Arc<str>> {
        let count = max.min(self.pending.len());
        let mut names = Vec::with_capacity(count);
        for _ in 0..count {
            let Some(mut update) = self.pending.pop_front() else {
                break;
            };
            names.push(Arc::clone(&update.name));
            update.sends_left = update.sends_left.saturating_sub(1);
            if update.sends_left > 0 {
                self.pending.push_back(update);
            }
        }
        names
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
