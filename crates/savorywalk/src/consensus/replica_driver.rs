use prost::Message;
use tokio::sync::{mpsc, oneshot, watch};

use super::disk_writer::{DiskProgress, DiskWriter};
use super::pending_calls::{self, PendingCalls};
use super::replica_handle::DriverCommand;
use super::{
    DriverOptions, EntryKind, LogEntry, PeerLink, PeerMessage, RecoveredState, RefusalReason,
    ReplicaAction, ReplicaCore, ReplicaError, ReplicaEvent, ReplicaHandle, ReplicaId,
    ReplicaMessage, ReplicaProposal, ReplicaRole, ReplicaStatus, ReplicatedMachine, Result,
    SnapshotRecord,
};
use crate::prelude::*;
use crate::storage::{LogStorage, StorageError};

/// Longest queue of commands for the driver; callers wait while it is full.
const QUEUE_COMMANDS: usize = 4_096;

/// Most commands or messages processed at once, so that neither kind starves the other.
const BATCH_COMMANDS: usize = 512;

/// Longest wait of a stop for a new leader and for pending proposals, in election timeouts.
const STOP_ELECTION_TIMEOUTS: u32 = 4;

/// Runs a core with its disk, state machine and peer link, in a task of its own.
#[derive(Debug)]
pub struct ReplicaDriver<M, P> {
    core: ReplicaCore,
    options: DriverOptions,
    machine: M,
    link: P,
    inbound: mpsc::Receiver<PeerMessage>,
    commands: mpsc::Receiver<DriverCommand>,
    writer: DiskWriter,
    calls: PendingCalls,
    status: watch::Sender<Arc<ReplicaStatus>>,
    snapshot_index: u64,
    bytes_since_snapshot: u64,
    stop: Option<PendingStop>,
    failure: Option<Arc<str>>,
}

/// A requested stop that waits until leadership is transferred and no proposal is pending.
#[derive(Debug)]
struct PendingStop {
    deadline: Instant,
    reply: oneshot::Sender<()>,
}

/// Event that ends a wait of the driver.
enum DriverWake {
    Commands(Vec<DriverCommand>),
    Messages(Vec<PeerMessage>),
    Disk(Option<DiskProgress>),
    Tick,
    HandlesDropped,
}

impl<M: ReplicatedMachine, P: PeerLink> ReplicaDriver<M, P> {
    /// Reads the disk and starts the replica `id`.
    ///
    /// # Errors
    ///
    /// The disk or its snapshot can't be read, or the disk thread can't be started; the
    /// message names the remedy.
    pub async fn start<S: LogStorage>(
        id: ReplicaId,
        options: DriverOptions,
        storage: S,
        mut machine: M,
        link: P,
        inbound: mpsc::Receiver<PeerMessage>,
    ) -> Result<ReplicaHandle> {
        let (storage, recovered) = recover(storage).await?;
        if let Some(snapshot) = &recovered.snapshot {
            restore(&mut machine, snapshot)?;
        }
        let snapshot_index = recovered
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        let core = ReplicaCore::new(Instant::now(), id, options.replica.clone(), recovered);
        let writer = DiskWriter::start(storage).map_err(thread_error)?;
        let (status, statuses) = watch::channel(Arc::new(ReplicaStatus::from_core(&core)));
        let (sender, commands) = mpsc::channel(QUEUE_COMMANDS);
        let handle = ReplicaHandle {
            commands: sender,
            status: statuses,
            max_command_bytes: options.max_command_bytes,
        };
        let driver = Self {
            core,
            options,
            machine,
            link,
            inbound,
            commands,
            writer,
            calls: PendingCalls::default(),
            status,
            snapshot_index,
            bytes_since_snapshot: 0,
            stop: None,
            failure: None,
        };
        tokio::spawn(driver.run());
        Ok(handle)
    }

    async fn run(mut self) {
        self.process_event(ReplicaEvent::Tick).await;
        while self.failure.is_none() && !self.can_stop() {
            let wake = self.wait().await;
            self.on_wake(wake).await;
            self.transfer_before_stop().await;
            self.calls.expire(Instant::now());
            self.publish();
        }
        self.finish().await;
    }

    async fn wait(&mut self) -> DriverWake {
        let due = tokio::time::Instant::from_std(self.core.next_due());
        tokio::select! {
            command = self.commands.recv() => match command {
                Some(first) => DriverWake::Commands(drain(first, &mut self.commands)),
                None => DriverWake::HandlesDropped,
            },
            Some(first) = self.inbound.recv() => {
                DriverWake::Messages(drain(first, &mut self.inbound))
            }
            progress = self.writer.progress() => DriverWake::Disk(progress),
            () = tokio::time::sleep_until(due) => DriverWake::Tick,
        }
    }

    async fn on_wake(&mut self, wake: DriverWake) {
        match wake {
            DriverWake::Commands(commands) => self.on_commands(commands).await,
            DriverWake::Messages(messages) => self.on_messages(messages).await,
            DriverWake::Disk(Some(DiskProgress::Synced(sequence))) => {
                self.process_event(ReplicaEvent::Persisted { sequence })
                    .await;
            }
            DriverWake::Disk(Some(DiskProgress::Failed(error))) => self.fail(error.to_string()),
            DriverWake::Disk(None) => self.fail("the disk thread has ended".to_string()),
            DriverWake::Tick => self.process_event(ReplicaEvent::Tick).await,
            DriverWake::HandlesDropped => self.fail("all of its handles were dropped".to_string()),
        }
        if Instant::now() >= self.core.next_due() {
            self.process_event(ReplicaEvent::Tick).await;
        }
    }

    async fn on_commands(&mut self, commands: Vec<DriverCommand>) {
        let mut proposals = Vec::new();
        let mut reads = Vec::new();
        for command in commands {
            match command {
                DriverCommand::Propose { reply, .. } if self.stop.is_some() => {
                    pending_calls::answer(reply, Err(stopping_refusal().into()));
                }
                DriverCommand::Propose { payload, reply } => {
                    let id = self.calls.add_proposal(reply);
                    proposals.push(ReplicaProposal { id, payload });
                }
                DriverCommand::Read { reply } => reads.push(self.calls.add_read(reply)),
                DriverCommand::Change { change, reply } => {
                    let id = self.calls.add_proposal(reply);
                    let event = ReplicaEvent::ChangeMembership { id, change };
                    self.process_event(event).await;
                }
                DriverCommand::Transfer { to } => {
                    self.process_event(ReplicaEvent::TransferLeadership { to })
                        .await;
                }
                DriverCommand::Stop { reply } => self.begin_stop(reply),
            }
        }
        if !proposals.is_empty() {
            self.process_event(ReplicaEvent::Propose(proposals)).await;
        }
        if !reads.is_empty() {
            self.process_event(ReplicaEvent::Read(reads)).await;
        }
    }

    fn begin_stop(&mut self, reply: oneshot::Sender<()>) {
        let wait = self.options.replica.election_timeout * STOP_ELECTION_TIMEOUTS;
        let deadline = Instant::now() + wait;
        self.stop = Some(PendingStop { deadline, reply });
    }

    /// Transfers leadership before a stop, once no proposal is pending.
    async fn transfer_before_stop(&mut self) {
        let is_leader = self.core.role() == ReplicaRole::Leader;
        if self.stop.is_some() && is_leader && !self.calls.has_proposals() {
            let event = ReplicaEvent::TransferLeadership { to: None };
            self.process_event(event).await;
        }
    }

    /// Whether a stop was requested and no caller depends on this replica, or its deadline passed.
    fn can_stop(&self) -> bool {
        let Some(stop) = &self.stop else {
            return false;
        };
        let is_idle = self.core.role() != ReplicaRole::Leader && !self.calls.has_proposals();
        is_idle || Instant::now() >= stop.deadline
    }

    async fn on_messages(&mut self, messages: Vec<PeerMessage>) {
        for PeerMessage { from, payload } in messages {
            let message = match ReplicaMessage::decode(payload) {
                Ok(message) => message,
                Err(error) => {
                    log_event!(
                        warn,
                        "replica_message_unreadable",
                        from = from,
                        reason = error
                    );
                    continue;
                }
            };
            let claimed = ReplicaId::from_u64(message.from).node();
            if claimed != from {
                log_event!(
                    warn,
                    "replica_message_forged",
                    from = from,
                    claimed = claimed
                );
                continue;
            }
            self.process_event(ReplicaEvent::Message(Box::new(message)))
                .await;
        }
    }

    async fn process_event(&mut self, event: ReplicaEvent) {
        let actions = self.core.handle(Instant::now(), event);
        for action in actions {
            self.perform(action).await;
        }
        self.take_snapshot().await;
    }

    async fn perform(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Persist(batch) => self.writer.write(batch).await,
            ReplicaAction::Send(message) => {
                let to = ReplicaId::from_u64(message.to);
                self.link.send(to, message.encode_to_vec().into());
            }
            ReplicaAction::Apply(entries) => self.apply(&entries),
            ReplicaAction::Restore(snapshot) => self.restore(&snapshot),
            ReplicaAction::ProposalAppended { id, index, term } => {
                let deadline = Instant::now() + self.options.outcome_timeout;
                self.calls.record_appended(id, index, term, deadline);
            }
            ReplicaAction::ProposalRefused { id, reason } => {
                self.calls.refuse_proposal(id, reason.into());
            }
            ReplicaAction::ReadReady { id, index } => self.calls.answer_read(id, Ok(index)),
            ReplicaAction::ReadRefused { id, reason } => {
                self.calls.answer_read(id, Err(reason.into()));
            }
        }
    }

    fn apply(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            let outcome = match entry.kind() {
                EntryKind::Command => self.machine.apply(entry.index, &entry.payload),
                EntryKind::Noop | EntryKind::Membership | EntryKind::Unspecified => Bytes::new(),
            };
            self.bytes_since_snapshot += entry.payload.len() as u64;
            self.calls.answer_applied(entry.index, entry.term, outcome);
        }
    }

    fn restore(&mut self, snapshot: &SnapshotRecord) {
        self.snapshot_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        self.calls.answer_covered(snapshot.index);
        if let Err(error) = restore(&mut self.machine, snapshot) {
            self.fail(error.to_string());
        }
    }

    async fn take_snapshot(&mut self) {
        let index = self.core.applied_index();
        let entries = index.saturating_sub(self.snapshot_index);
        let is_due = entries >= self.options.snapshot_entries
            || self.bytes_since_snapshot >= self.options.snapshot_bytes;
        if !is_due {
            return;
        }
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        let state = self.machine.snapshot();
        let event = ReplicaEvent::SnapshotTaken { index, state };
        let actions = self.core.handle(Instant::now(), event);
        for action in actions {
            Box::pin(self.perform(action)).await;
        }
    }

    fn fail(&mut self, reason: String) {
        log_event!(
            error,
            "replica_stopped",
            replica = self.core.id(),
            reason = reason
        );
        self.failure = Some(reason.into());
    }

    fn publish(&self) {
        let mut status = ReplicaStatus::from_core(&self.core);
        status.stopped = self.failure.clone();
        self.status.send_if_modified(|published| {
            let is_new = **published != status;
            if is_new {
                *published = Arc::new(status);
            }
            is_new
        });
    }

    async fn finish(mut self) {
        let default_reason = || Arc::from("it was told to stop");
        let reason = self.failure.clone().unwrap_or_else(default_reason);
        self.failure = Some(Arc::clone(&reason));
        self.publish();
        self.calls.fail_all(&reason);
        self.writer.close().await;
        if let Some(stop) = self.stop
            && stop.reply.send(()).is_err()
        {
            log_event!(debug, "stopper_left");
        }
    }
}

/// Refusal of new commands during a stop, which the next leader can accept.
fn stopping_refusal() -> RefusalReason {
    RefusalReason::NotLeader { leader: None }
}

/// Reads the disk on a blocking thread, outside the threads of the async runtime.
async fn recover<S: LogStorage>(mut storage: S) -> Result<(S, RecoveredState)> {
    let work = move || {
        let recovered = storage.recover()?;
        Ok::<_, StorageError>((storage, recovered))
    };
    match tokio::task::spawn_blocking(work).await {
        Ok(Ok(recovered)) => Ok(recovered),
        Ok(Err(error)) => Err(Arc::new(error).into()),
        Err(error) => Err(ReplicaError::Stopped(error.to_string().into())),
    }
}

fn restore(machine: &mut impl ReplicatedMachine, snapshot: &SnapshotRecord) -> Result<()> {
    machine.restore(&snapshot.state).map_err(|reason| {
        let text = format!(
            "the snapshot at index {} can't be restored: {reason}; run the version that took it",
            snapshot.index
        );
        ReplicaError::Stopped(text.into())
    })
}

fn thread_error(error: std::io::Error) -> ReplicaError {
    let text = format!("no thread for the disk: {error}; raise the limit of threads");
    ReplicaError::Stopped(text.into())
}

fn drain<T>(first: T, queue: &mut mpsc::Receiver<T>) -> Vec<T> {
    let mut drained = vec![first];
    while drained.len() < BATCH_COMMANDS
        && let Ok(next) = queue.try_recv()
    {
        drained.push(next);
    }
    drained
}

#[cfg(test)]
#[path = "replica_driver_tests.rs"]
mod tests;
