use tokio::sync::{mpsc, oneshot, watch};

use super::pending_calls::{ProposalReply, ReadReply};
use super::{MembershipChange, ReplicaError, ReplicaId, ReplicaStatus, Result};
use crate::prelude::*;

/// A command from a handle to its driver.
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
    /// Appends a command to the log and returns the outcome of applying it.
    ///
    /// It returns once a majority has synced the command and it is applied here. An
    /// error says whether the command may still take effect.
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
    /// returns the commit index; only the leader can do this.
    pub async fn read_barrier(&self) -> Result<u64> {
        let (reply, outcome) = oneshot::channel();
        self.send(DriverCommand::Read { reply }).await?;
        outcome.await.unwrap_or_else(|_| Err(self.stopped()))
    }

    /// Changes the membership by one step and waits until the change is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<()> {
        let (reply, outcome) = oneshot::channel();
        self.send(DriverCommand::Change { change, reply }).await?;
        let outcome = outcome.await.unwrap_or_else(|_| Err(self.stopped()));
        outcome.map(drop)
    }

    /// Requests a transfer of leadership to `to`, or to any voter if that is `None`.
    ///
    /// It returns once the request is queued. The leader ignores the request unless the
    /// voter has all entries of its log.
    pub async fn transfer_leadership(&self, to: Option<ReplicaId>) -> Result<()> {
        self.send(DriverCommand::Transfer { to }).await
    }

    /// The status that the driver published last.
    pub fn status(&self) -> Arc<ReplicaStatus> {
        Arc::clone(&self.status.borrow())
    }

    /// Returns a receiver that is notified of changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<Arc<ReplicaStatus>> {
        self.status.clone()
    }

    /// Transfers leadership, stops the replica and closes its data folder.
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
