use super::peer_progress::{PeerState, SnapshotSender};
use super::replica_core::{MessageGate, ReplicaCore};
use super::replica_log::ReplicaLog;
use super::snapshot_receiver::SnapshotReceiver;
use super::{
    AppendReply, Body, ReplicaAction, ReplicaId, SnapshotChunk, SnapshotRecord, SnapshotReply,
};
use crate::prelude::*;

/// Snapshots: how they are recorded, sent in chunks and installed.
impl ReplicaCore {
    pub(super) fn on_snapshot_taken(&mut self, index: u64, state: Bytes) {
        if index <= self.snapshot_index() || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = self.log.membership_at(index);
        let record = SnapshotRecord {
            index,
            term,
            membership: membership.map(|membership| membership.to_record()),
            state,
        };
        self.snapshot = Some(record.clone());
        self.staged.snapshot = Some(record);
        let compacted = index.saturating_sub(self.options.trailing_entries);
        if compacted > self.log.base_index() {
            self.log.compact(compacted);
        }
    }

    /// Starts to send the snapshot to a peer that needs compacted entries.
    /// Returns false if there is no snapshot or no such peer.
    pub(super) fn start_snapshot(&mut self, to: ReplicaId) -> bool {
        let Some(record) = self.snapshot.clone() else {
            return false;
        };
        let Some(leader) = self.leader_state() else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return false;
        };
        peer.state = PeerState::Snapshot(SnapshotSender {
            checksum: crc32c::crc32c(&record.state),
            record,
            offset: 0,
            is_stalled: false,
        });
        self.send_chunk(to);
        true
    }

    /// Sends a chunk again that has not been answered since the last heartbeat.
    pub(super) fn retry_chunk(&mut self, to: ReplicaId) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        if let PeerState::Snapshot(sender) = &mut peer.state {
            if sender.is_stalled {
                return self.send_chunk(to);
            }
            sender.is_stalled = true;
        }
    }

    fn send_chunk(&mut self, to: ReplicaId) {
        let chunk_bytes = self.options.snapshot_chunk_bytes;
        let Some(leader) = self.leader_state() else {
            return;
        };
        let round = leader.round;
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let PeerState::Snapshot(sender) = &peer.state else {
            return;
        };
        let record = &sender.record;
        let start = (sender.offset as usize).min(record.state.len());
        let end = (start + chunk_bytes).min(record.state.len());
        let chunk = SnapshotChunk {
            index: record.index,
            term: record.term,
            membership: record.membership.clone(),
            offset: start as u64,
            total: record.state.len() as u64,
            checksum: sender.checksum,
            data: record.state.slice(start..end),
            round,
        };
        self.send(to, MessageGate::HardState, Body::SnapshotChunk(chunk));
    }

    pub(super) fn on_snapshot_reply(&mut self, from: ReplicaId, reply: &SnapshotReply) {
        if !self.record_peer_reply(from, reply.round) {
            return;
        }
        let Some(leader) = self.leader_state() else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        let PeerState::Snapshot(sender) = &mut peer.state else {
            return;
        };
        if reply.index == sender.record.index && sender.move_to(reply.next_offset) {
            self.send_chunk(from);
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: ReplicaId, chunk: &SnapshotChunk) {
        if !self.follow(from) {
            return;
        }
        if chunk.index <= self.commit {
            return self.acknowledge_snapshot(from, self.commit, chunk.round);
        }
        let started = self.receiver.take().filter(|started| started.is_for(chunk));
        let mut receiver = started.unwrap_or_else(|| SnapshotReceiver::new(chunk));
        receiver.push(chunk);
        if receiver.is_complete() {
            return self.finish_snapshot(from, receiver, chunk);
        }
        self.request_chunk(from, chunk, receiver.next_offset());
        self.receiver = Some(receiver);
    }

    fn finish_snapshot(
        &mut self,
        from: ReplicaId,
        receiver: SnapshotReceiver,
        chunk: &SnapshotChunk,
    ) {
        match receiver.finish(chunk) {
            Some(record) => {
                let index = record.index;
                self.install(record);
                self.acknowledge_snapshot(from, index, chunk.round);
            }
            None => self.request_chunk(from, chunk, 0),
        }
    }

    fn request_chunk(&mut self, from: ReplicaId, chunk: &SnapshotChunk, next_offset: u64) {
        let reply = SnapshotReply {
            index: chunk.index,
            next_offset,
            round: chunk.round,
        };
        self.send(from, MessageGate::HardState, Body::SnapshotReply(reply));
    }

    fn acknowledge_snapshot(&mut self, from: ReplicaId, index: u64, round: u64) {
        let reply = AppendReply {
            accepted: true,
            index,
            refused: 0,
            round,
        };
        self.send(from, MessageGate::Log, Body::AppendReply(reply));
    }

    /// Installs a complete snapshot. Later log entries are kept only if the log
    /// has the snapshot's term at its index.
    fn install(&mut self, record: SnapshotRecord) {
        if self.log.term_at(record.index) == Some(record.term) {
            self.log.compact(record.index);
        } else {
            self.log = ReplicaLog::after(&record);
            self.ledger.truncate_from(record.index + 1);
            self.staged.replaces_log = true;
        }
        self.commit = record.index;
        self.applied = record.index;
        self.snapshot = Some(record.clone());
        self.staged.snapshot = Some(record.clone());
        self.actions.push(ReplicaAction::Restore(record));
    }
}
