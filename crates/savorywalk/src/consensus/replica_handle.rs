use tokio::sync::{mpsc, oneshot, watch};

use super::pending_calls::{ProposalReply, ReadReply};
use super::{MembershipChange, ReplicaError, ReplicaId, ReplicaStatus, Result};
use crate::prelude::*;

/// What a handle asks of its driver.
#[derive(Debug)]
pub(super) enum DriverCommand {
    Propose {
        payload: Bytes,
        reply: ProposalReply,
    },
    Read {
        reply: ReadReply,
    },
    Change {
        change: MembershipChange,
        reply: ProposalReply,
    },
    Transfer {
        to: Option<ReplicaId>,
    },
    Stop {
        reply: oneshot::Sender<()>,
    },
}

/// Access to a replica that runs in this process.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    pub(super) commands: mpsc::Sender<DriverCommand>,
    pub(super) status: watch::Receiver<Arc<ReplicaStatus>>,
    pub(super) max_command_bytes: usize,
}

impl ReplicaHandle {
    /// Puts a command into the log and tells the outcome of applying it.
    ///
    /// The outcome comes once a majority has synced the command. An error says
    /// whether the command may still take effect.
    pub async fn propose(&self, payload: Bytes) -> Result<Bytes> {
        let (bytes, limit) = (payload.len(), self.max_command_bytes);
        if bytes > limit {
            return Err(ReplicaError::TooLarge { bytes, limit });
        }
        let (reply, outcome) = oneshot::channel();
        self.send(DriverCommand::Propose { payload, reply }).await?;
        outcome.await.unwrap_or_else(|_| Err(self.stopped()))
    }

    /// Waits until all that was committed before the call is applied here, and
    /// tells the index; only the leader can.
    pub async fn read_barrier(&self) -> Result<u64> {
        let (reply, outcome) = oneshot::channel();
        self.send(DriverCommand::Read { reply }).await?;
        outcome.await.unwrap_or_else(|_| Err(self.stopped()))
    }

    /// Changes the membership by one step and waits until that is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<()> {
        let (reply, outcome) = oneshot::channel();
        self.send(DriverCommand::Change { change, reply }).await?;
        let outcome = outcome.await.unwrap_or_else(|_| Err(self.stopped()));
        outcome.map(drop)
    }

    /// Asks a leader to hand over, to `to` or to the voter that is furthest on.
    pub async fn transfer_leadership(&self, to: Option<ReplicaId>) -> Result<()> {
        self.send(DriverCommand::Transfer { to }).await
    }

    /// The replica as it was last.
    pub fn status(&self) -> Arc<ReplicaStatus> {
        Arc::clone(&self.status.borrow())
    }

    /// Tells each change of the status, for those who wait for one.
    pub fn watch_status(&self) -> watch::Receiver<Arc<ReplicaStatus>> {
        self.status.clone()
    }

    /// Hands leadership over, ends the replica and closes its data folder.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        let sent = self.commands.send(DriverCommand::Stop { reply }).await;
        if sent.is_err() || stopped.await.is_err() {
            log_event!(debug, "replica_already_stopped");
        }
    }

    async fn send(&self, command: DriverCommand) -> Result<()> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| self.stopped())
    }

    fn stopped(&self) -> ReplicaError {
        let reason = self.status.borrow().stopped.clone();
        ReplicaError::Stopped(reason.unwrap_or_else(|| "it was told to stop".into()))
    }
}
