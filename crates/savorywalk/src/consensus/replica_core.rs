use super::election_jitter::ElectionJitter;
use super::leader_state::LeaderState;
use super::message_check;
use super::persist_ledger::PersistLedger;
use super::replica_log::ReplicaLog;
use super::snapshot_receiver::SnapshotReceiver;
use super::{
    Body, EntryKind, HardState, LogEntry, NodeNumber, PersistBatch, RecoveredState, RefusalReason,
    ReplicaAction, ReplicaEvent, ReplicaId, ReplicaMember, ReplicaMembership, ReplicaMessage,
    ReplicaOptions, SnapshotRecord,
};
use crate::prelude::*;

/// Most messages that wait for a sync. The oldest is dropped beyond that, which the
/// protocol tolerates like a loss in the network.
const MAX_HELD_MESSAGES: usize = 4_096;

/// One replica of the log, as a state machine without I/O.
///
/// No message that it sends depends on unsynced state: a message that reports a
/// term, a vote or an entry is held until `Persisted` covers it.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(super) id: ReplicaId,
    pub(super) options: ReplicaOptions,
    pub(super) cluster: u64,
    pub(super) term: u64,
    pub(super) vote: Option<ReplicaId>,
    pub(super) log: ReplicaLog,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: CoreRole,
    pub(super) leader: Option<ReplicaId>,
    pub(super) now: Instant,
    pub(super) leader_contact: Instant,
    /// The other replica that this one followed last.
    pub(super) last_leader: Option<ReplicaId>,
    /// Members that did not answer the last leader, with their silence then.
    pub(super) known_silence: BTreeMap<ReplicaId, Duration>,
    pub(super) election_due: Instant,
    pub(super) join_due: Instant,
    pub(super) newcomers: BTreeMap<NodeNumber, Newcomer>,
    /// Nodes of leaders that other replicas have named in join hints.
    pub(super) hints: BTreeSet<NodeNumber>,
    /// Index of the entry that admitted this replica, once a leader has reported that it is not
    /// a member any more. A later admission is not affected.
    pub(super) expelled: Option<u64>,
    pub(super) jitter: ElectionJitter,
    pub(super) ledger: PersistLedger,
    pub(super) receiver: Option<SnapshotReceiver>,
    pub(super) staged: StagedPersist,
    pub(super) actions: Vec<ReplicaAction>,
    outgoing: Vec<OutgoingMessage>,
    pub(super) held: VecDeque<HeldMessage>,
    dropped_messages: u64,
}

/// Role of a replica, with the state that only this role needs.
#[derive(Clone, Debug)]
pub(super) enum CoreRole {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Box<LeaderState>),
}

/// Role of a replica, as reported in its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Receives entries from a leader, or waits for one.
    Follower,
    /// Runs an election or the pre-vote before one.
    Candidate,
    /// Accepts proposals and replicates them to the others.
    Leader,
}

/// A replica without a cluster whose join request arrived before the founding.
#[derive(Clone, Debug)]
pub(super) struct Newcomer {
    pub(super) id: ReplicaId,
    pub(super) heard: Instant,
}

/// What must be synced before a message may leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageGate {
    Nothing,
    HardState,
    Log,
}

/// Changes by the current event that must be written to the disk.
#[derive(Clone, Debug, Default)]
pub(super) struct StagedPersist {
    pub(super) hard_state: bool,
    pub(super) first_entry: Option<u64>,
    pub(super) snapshot: Option<SnapshotRecord>,
    pub(super) replaces_log: bool,
}

#[derive(Clone, Debug)]
struct OutgoingMessage {
    gate: MessageGate,
    message: Box<ReplicaMessage>,
}

#[derive(Clone, Debug)]
pub(super) struct HeldMessage {
    sequence: u64,
    message: Box<ReplicaMessage>,
}

impl ReplicaCore {
    /// Creates a replica from the state that its disk holds.
    ///
    /// It grants no vote during the first election timeout, because a lease that it
    /// acknowledged before it stopped may still be in force. This wait is skipped
    /// where leases have no duration.
    pub fn new(
        now: Instant,
        id: ReplicaId,
        options: ReplicaOptions,
        recovered: RecoveredState,
    ) -> Self {
        let mut log = match &recovered.snapshot {
            Some(snapshot) => ReplicaLog::after(snapshot),
            None => ReplicaLog::default(),
        };
        for entry in recovered.entries {
            log.append(entry);
        }
        let mut jitter = ElectionJitter::new(options.seed);
        let (leader_contact, election_due) = options.initial_election_times(now, &mut jitter);
        let applied = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let hard_state = recovered.hard_state;
        Self {
            id,
            cluster: hard_state.cluster,
            term: hard_state.term,
            vote: (hard_state.vote != 0).then(|| ReplicaId::from_u64(hard_state.vote)),
            ledger: PersistLedger::new(log.last_index()),
            log,
            snapshot: recovered.snapshot,
            commit: applied,
            applied,
            role: CoreRole::Follower,
            leader: None,
            now,
            leader_contact,
            last_leader: None,
            known_silence: BTreeMap::new(),
            election_due,
            join_due: now,
            newcomers: BTreeMap::new(),
            hints: BTreeSet::new(),
            expelled: None,
            jitter,
            receiver: None,
            staged: StagedPersist::default(),
            actions: Vec::new(),
            outgoing: Vec::new(),
            held: VecDeque::new(),
            dropped_messages: 0,
            options,
        }
    }

    /// Processes one event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Instant, event: ReplicaEvent) -> Vec<ReplicaAction> {
        self.now = now;
        match event {
            ReplicaEvent::Tick => self.on_tick(),
            ReplicaEvent::Message(message) => self.on_message(&message),
            ReplicaEvent::Persisted { sequence } => self.on_persisted(sequence),
            ReplicaEvent::Propose(proposals) => self.on_propose(proposals),
            ReplicaEvent::Read(reads) => self.on_read(&reads),
            ReplicaEvent::ChangeMembership { id, change } => self.on_change(id, change),
            ReplicaEvent::SnapshotTaken { index, state } => self.on_snapshot_taken(index, state),
            ReplicaEvent::TransferLeadership { to } => self.on_transfer(to),
        }
        self.finish()
    }

    /// Time at which the next `Tick` is due.
    pub fn next_due(&self) -> Instant {
        match &self.role {
            CoreRole::Leader(leader) => leader.heartbeat_due.min(leader.quorum_check_due),
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                if self.is_voter() {
                    return self.election_due;
                }
                self.join_due
            }
        }
    }

    /// Node and incarnation of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current role; a pre-vote counts as candidacy.
    pub fn role(&self) -> ReplicaRole {
        match self.role {
            CoreRole::Follower => ReplicaRole::Follower,
            CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => ReplicaRole::Candidate,
            CoreRole::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// The leader as far as this replica knows; may be the replica itself.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Current term, the newest that this replica has seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last index that an action has issued to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry in the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Last index that the newest snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// The newest membership in the log, committed or not.
    pub fn membership(&self) -> Option<&ReplicaMembership> {
        self.log.membership()
    }

    /// Number of messages dropped because a check failed.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages
    }

    /// This replica's own row of the membership, unless a leader has said that it is outdated.
    pub(super) fn own_member(&self) -> Option<ReplicaMember> {
        let member = self.log.membership()?.get(self.id)?;
        (self.expelled != Some(member.admitted)).then_some(member)
    }

    pub(super) fn is_member(&self) -> bool {
        self.own_member().is_some()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.own_member().is_some_and(|member| member.voter)
    }

    fn on_tick(&mut self) {
        self.tick_join();
        match self.role {
            CoreRole::Leader(_) => self.tick_leader(),
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                self.tick_election();
            }
        }
    }

    fn on_message(&mut self, message: &ReplicaMessage) {
        if let Err(error) = message_check::check(message, self.id, &self.options) {
            self.dropped_messages += 1;
            log_event!(debug, "replica_message_dropped", reason = error);
            return;
        }
        let Some(body) = &message.body else { return };
        let from = ReplicaId::from_u64(message.from);
        match body {
            Body::JoinRequest(_) => return self.on_join_request(from, message.cluster),
            Body::JoinHint(hint) => return self.on_join_hint(message.cluster, hint),
            Body::FormationOffer(offer) => return self.on_formation_offer(offer),
            _ => {}
        }
        let is_admitted = self.admit_cluster(message.cluster, body);
        if is_admitted && matches!(body, Body::VoteRequest(_)) {
            self.answer_stranger(from);
        }
        if is_admitted && self.admit_term(from, message.term, body) {
            self.on_body(from, message.term, body);
        }
    }

    /// Whether a message is of this replica's cluster; one without a cluster adopts a leader's.
    fn admit_cluster(&mut self, cluster: u64, body: &Body) -> bool {
        if cluster == self.cluster {
            return cluster != 0;
        }
        let is_leader = matches!(body, Body::AppendRequest(_) | Body::SnapshotChunk(_));
        if self.cluster == 0 && is_leader {
            self.cluster = cluster;
            self.staged.hard_state = true;
            return true;
        }
        false
    }

    /// Compares the terms, before the body of any message is handled; false drops the message.
    fn admit_term(&mut self, from: ReplicaId, term: u64, body: &Body) -> bool {
        if term < self.term {
            self.refuse_old_term(from, body);
            return false;
        }
        if term == self.term {
            return true;
        }
        match body {
            Body::VoteRequest(request) if !request.transfer && self.has_promise() => false,
            Body::VoteRequest(request) if request.pre_vote => true,
            Body::VoteReply(reply) if reply.pre_vote && reply.granted => true,
            Body::AppendRequest(_) | Body::SnapshotChunk(_) => {
                self.become_follower(term, Some(from));
                true
            }
            _ => {
                self.become_follower(term, None);
                true
            }
        }
    }

    fn on_body(&mut self, from: ReplicaId, term: u64, body: &Body) {
        match body {
            Body::VoteRequest(request) => self.on_vote_request(from, term, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, term, reply),
            Body::AppendRequest(request) => self.on_append(from, request),
            Body::AppendReply(reply) => self.on_append_reply(from, reply),
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            Body::SnapshotReply(reply) => self.on_snapshot_reply(from, reply),
            Body::TimeoutNow(_) => self.on_timeout_now(from),
            Body::JoinRequest(_) | Body::JoinHint(_) | Body::FormationOffer(_) => {}
        }
    }

    fn on_persisted(&mut self, sequence: u64) {
        self.ledger.confirm(sequence);
        self.count_own_vote();
        self.advance_leader_commit();
    }

    /// Whether a leader may still rely on this replica to grant no vote.
    pub(super) fn has_promise(&self) -> bool {
        let start = match &self.role {
            CoreRole::Leader(leader) => leader.lease_start,
            CoreRole::Follower | CoreRole::PreCandidate { .. } | CoreRole::Candidate { .. } => {
                Some(self.leader_contact)
            }
        };
        start.is_some_and(|start| self.now < start + self.options.election_timeout)
    }

    pub(super) fn reset_election(&mut self) {
        self.election_due = self.now + self.jitter.timeout(self.options.election_timeout);
    }

    pub(super) fn refuse_proposal(&mut self, id: u64, reason: RefusalReason) {
        let refused = ReplicaAction::ProposalRefused { id, reason };
        self.actions.push(refused);
    }

    pub(super) fn not_leader(&self) -> RefusalReason {
        RefusalReason::NotLeader {
            leader: self.leader.filter(|leader| *leader != self.id),
        }
    }

    /// Appends an entry of the current term; it counts towards a majority once it is synced.
    pub(super) fn append_own(&mut self, kind: EntryKind, payload: Bytes) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_entry(LogEntry {
            index,
            term: self.term,
            kind: kind.into(),
            payload,
        });
        index
    }

    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        let first = self.staged.first_entry.unwrap_or(entry.index);
        self.staged.first_entry = Some(first.min(entry.index));
        self.log.append(entry);
    }

    /// Advances the commit index to `index` and issues the entries not yet applied.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last_index());
        if index <= self.commit {
            return;
        }
        self.commit = index;
        let entries = self.log.range(self.applied + 1, index);
        self.applied = index;
        self.actions.push(ReplicaAction::Apply(entries));
    }

    pub(super) fn send(&mut self, to: ReplicaId, gate: MessageGate, body: Body) {
        self.send_in_term(to, gate, self.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: ReplicaId, gate: MessageGate, term: u64, body: Body) {
        let message = Box::new(ReplicaMessage {
            cluster: self.cluster,
            from: self.id.as_u64(),
            to: to.as_u64(),
            term,
            body: Some(body),
        });
        self.outgoing.push(OutgoingMessage { gate, message });
    }

    fn finish(&mut self) -> Vec<ReplicaAction> {
        self.issue_persist();
        self.release_held();
        self.send_or_hold_outgoing();
        std::mem::take(&mut self.actions)
    }

    fn issue_persist(&mut self) {
        let staged = std::mem::take(&mut self.staged);
        let reaches_log = staged.first_entry.is_some() || staged.snapshot.is_some();
        if !staged.hard_state && !reaches_log {
            return;
        }
        let last_index = self.log.last_index();
        let log_index = reaches_log.then_some(last_index);
        let sequence = self.ledger.issue(staged.hard_state, log_index);
        let entries = staged
            .first_entry
            .map(|first| self.log.range(first, last_index));
        self.actions.push(ReplicaAction::Persist(PersistBatch {
            sequence,
            hard_state: staged.hard_state.then(|| self.hard_state()),
            snapshot: staged.snapshot,
            replaces_log: staged.replaces_log,
            entries: entries.unwrap_or_default(),
        }));
    }

    fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote.map_or(0, ReplicaId::as_u64),
            cluster: self.cluster,
        }
    }

    fn release_held(&mut self) {
        while let Some(held) = self.held.front() {
            if !self.ledger.is_synced(held.sequence) {
                break;
            }
            if let Some(held) = self.held.pop_front() {
                self.actions.push(ReplicaAction::Send(held.message));
            }
        }
    }

    fn send_or_hold_outgoing(&mut self) {
        for OutgoingMessage { gate, message } in std::mem::take(&mut self.outgoing) {
            let sequence = match gate {
                MessageGate::Nothing => 0,
                MessageGate::HardState if !self.options.syncs_votes() => 0,
                MessageGate::HardState => self.ledger.hard_state_sequence(),
                MessageGate::Log => self.ledger.log_sequence(),
            };
            if self.ledger.is_synced(sequence) {
                self.actions.push(ReplicaAction::Send(message));
                continue;
            }
            if self.held.len() >= MAX_HELD_MESSAGES {
                self.held.pop_front();
            }
            self.held.push_back(HeldMessage { sequence, message });
        }
    }
}
