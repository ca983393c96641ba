use prost::Message;

use crate::generated::control::{PatchMemory, PatchOutcome};
use crate::prelude::*;

/// Patch ids remembered; at 1,200 changes a day, more than three days.
const MAX_MEMORIES: usize = 4_096;
/// Most bytes of remembered outcomes, so that long refusals can't fill memory.
const MAX_BYTES: usize = 4 << 20;

/// The first outcomes of the newest patch ids, so that a resend gets the same.
///
/// An id belongs to its operator: two operators may use the same one.
#[derive(Clone, Debug, Default)]
pub(super) struct PatchWindow {
    memories: VecDeque<Arc<PatchMemory>>,
    by_id: BTreeMap<String, BTreeMap<String, Arc<PatchMemory>>>,
    bytes: usize,
}

impl PatchWindow {
    /// What is remembered of an operator's patch id.
    pub(super) fn get(&self, author: &str, patch_id: &str) -> Option<&PatchMemory> {
        let memory = self.by_id.get(author)?.get(patch_id)?;
        Some(memory)
    }

    /// Remembers the first outcome of a patch id.
    pub(super) fn remember(
        &mut self,
        author: &str,
        patch_id: &str,
        digest: Bytes,
        outcome: &PatchOutcome,
    ) {
        self.insert(PatchMemory {
            author: author.into(),
            patch_id: patch_id.into(),
            digest,
            outcome: Some(outcome.clone()),
        });
        while self.memories.len() > MAX_MEMORIES || self.bytes > MAX_BYTES {
            self.forget_oldest();
        }
    }

    fn insert(&mut self, memory: PatchMemory) {
        let memory = Arc::new(memory);
        self.bytes += memory.encoded_len();
        let ids = self.by_id.entry(memory.author.clone()).or_default();
        ids.insert(memory.patch_id.clone(), Arc::clone(&memory));
        self.memories.push_back(memory);
    }

    fn forget_oldest(&mut self) {
        let Some(memory) = self.memories.pop_front() else {
            return;
        };
        self.bytes -= memory.encoded_len();
        let Some(ids) = self.by_id.get_mut(&memory.author) else {
            return;
        };
        ids.remove(&memory.patch_id);
        if ids.is_empty() {
            self.by_id.remove(&memory.author);
        }
    }

    /// Memories, oldest first.
    pub(super) fn memories(&self) -> Vec<PatchMemory> {
        let memories = self.memories.iter();
        memories.map(|memory| PatchMemory::clone(memory)).collect()
    }

    /// The window that held `memories`.
    pub(super) fn restore(memories: Vec<PatchMemory>) -> Self {
        let mut window = Self::default();
        for memory in memories {
            window.insert(memory);
        }
        window
    }
}
