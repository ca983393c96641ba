use bytes::BytesMut;

use super::{SnapshotChunk, SnapshotRecord};

/// Assembles a snapshot from its chunks.
#[derive(Clone, Debug)]
pub(super) struct SnapshotReceiver {
    index: u64,
    term: u64,
    total: u64,
    checksum: u32,
    state: BytesMut,
}

impl SnapshotReceiver {
    pub(super) fn new(chunk: &SnapshotChunk) -> Self {
        Self {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            checksum: chunk.checksum,
            state: BytesMut::new(),
        }
    }

    /// Whether `chunk` belongs to the snapshot that is being received.
    pub(super) fn is_for(&self, chunk: &SnapshotChunk) -> bool {
        self.index == chunk.index
            && self.term == chunk.term
            && self.total == chunk.total
            && self.checksum == chunk.checksum
    }

    /// Appends the chunk if it is the next one; ignores it otherwise.
    pub(super) fn push(&mut self, chunk: &SnapshotChunk) {
        let end = chunk.offset + chunk.data.len() as u64;
        if chunk.offset == self.next_offset() && end <= self.total {
            self.state.extend_from_slice(&chunk.data);
        }
    }

    pub(super) fn next_offset(&self) -> u64 {
        self.state.len() as u64
    }

    pub(super) fn is_complete(&self) -> bool {
        self.next_offset() == self.total
    }

    /// The complete snapshot, or `None` if its checksum doesn't match.
    pub(super) fn finish(self, chunk: &SnapshotChunk) -> Option<SnapshotRecord> {
        let state = self.state.freeze();
        (crc32c::crc32c(&state) == self.checksum).then(|| SnapshotRecord {
            index: self.index,
            term: self.term,
            membership: chunk.membership.clone(),
            state,
        })
    }
}
