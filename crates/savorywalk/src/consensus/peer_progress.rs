use super::SnapshotRecord;
use crate::prelude::*;

/// A leader's view of the progress of one other replica.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    /// Last index up to which its synced log is known to equal the leader's.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) state: PeerState,
    /// Newest heartbeat round that it answered.
    pub(super) acked_round: u64,
    /// Round of the leader at which it became a peer.
    pub(super) first_round: u64,
    /// Time of its latest answer.
    pub(super) contact: Option<Instant>,
    /// Time from which its silence counts: its latest answer, or an earlier leader's
    /// knowledge of it.
    pub(super) silent_since: Instant,
    /// Commit index sent to it last.
    pub(super) told_commit: u64,
}

/// How entries are sent to a replica.
#[derive(Clone, Debug)]
pub(super) enum PeerState {
    /// One message at a time, until an index is found at which both logs agree.
    Probe { sent: bool },
    /// Several messages in flight; holds the last index of each.
    Replicate { inflight: VecDeque<u64> },
    /// The entries that it needs are compacted away, so it receives a snapshot.
    Snapshot(SnapshotSender),
}

/// A snapshot that is being sent to one replica.
#[derive(Clone, Debug)]
pub(super) struct SnapshotSender {
    pub(super) record: SnapshotRecord,
    pub(super) checksum: u32,
    pub(super) offset: u64,
    /// Set by a heartbeat and cleared by progress; while it is set, a lower offset is accepted.
    pub(super) is_stalled: bool,
}

impl SnapshotSender {
    /// Moves to the offset that the receiver requests; returns false if that changes nothing.
    ///
    /// Answers may be reordered, so a lower offset is accepted only while the transfer
    /// is stalled, when the receiver has probably started again.
    pub(super) fn move_to(&mut self, offset: u64) -> bool {
        let is_lower = offset < self.offset;
        let is_new = offset > self.offset || (is_lower && self.is_stalled);
        if !is_new || offset > self.record.state.len() as u64 {
            return false;
        }
        self.offset = offset;
        self.is_stalled = false;
        true
    }
}

impl PeerProgress {
    pub(super) fn new(next_index: u64, round: u64, now: Instant) -> Self {
        Self {
            match_index: 0,
            next_index,
            state: PeerState::Probe { sent: false },
            acked_round: 0,
            first_round: round,
            contact: None,
            silent_since: now,
            told_commit: 0,
        }
    }

    /// Records that the logs agree up to `index`.
    pub(super) fn accept(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let matched = self.match_index;
        match &mut self.state {
            PeerState::Probe { .. } => self.start_replicating(),
            PeerState::Replicate { inflight } => inflight.retain(|last| *last > matched),
            PeerState::Snapshot(sender) => {
                if matched >= sender.record.index {
                    self.start_replicating();
                }
            }
        }
    }

    /// Records that the replica has no matching entry at `refused`; `hint` is to be tried next.
    pub(super) fn refuse(&mut self, refused: u64, hint: u64) {
        let is_stale = refused <= self.match_index || refused >= self.next_index;
        if is_stale || matches!(self.state, PeerState::Snapshot(_)) {
            return;
        }
        let highest = refused.max(self.match_index + 1);
        self.next_index = hint.clamp(self.match_index + 1, highest);
        self.state = PeerState::Probe { sent: false };
    }

    fn start_replicating(&mut self) {
        self.next_index = self.match_index + 1;
        self.state = PeerState::Replicate {
            inflight: VecDeque::new(),
        };
    }
}
