use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::control::{DocumentRevisions, VoterRoster, VoterService};
use crate::prelude::*;
use crate::transport::LinkHub;

/// Pause before a voter is restarted after a disk failure. By then a full disk may have free
/// space, and a stalled disk may answer.
const RESTART_PAUSE: Duration = Duration::from_millis(400);

/// Restarts a voter after a disk failure.
///
/// After a failed write it is unknown which data is on the disk, so the replica stops and is
/// restarted from the data that the disk really holds.
#[derive(Debug)]
pub(super) struct VoterSupervisor {
    pub(super) hub: LinkHub,
    pub(super) folder: PathBuf,
    pub(super) roster: VoterRoster,
    pub(super) current: ArcSwapOption<VoterService>,
    pub(super) revisions: watch::Sender<DocumentRevisions>,
    /// Set by a planned stop, after which the voter is not started again.
    pub(super) is_stopping: AtomicBool,
}

impl VoterSupervisor {
    /// Starts the voter, and starts it again whenever it has failed, until a planned stop.
    pub(super) async fn run(self: Arc<Self>) {
        while !self.is_stopping.load(Ordering::Relaxed) {
            let started = VoterService::start(&self.hub, &self.folder, self.roster.clone(), None);
            match started.await {
                Ok(tasks) => {
                    let service = Arc::clone(tasks.service());
                    self.current.store(Some(Arc::clone(&service)));
                    log_event!(info, "voter_started", node = self.hub.name());
                    self.watch(&service).await;
                    self.current.store(None);
                }
                Err(error) => log_event!(error, "voter_not_started", reason = error),
            }
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    }

    /// Stops the voter for good: hands leadership over and closes the data folder.
    pub(super) async fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(voter) = self.current.load_full() {
            voter.replica().stop().await;
        }
    }

    /// Publishes document revisions and logs leader changes until the voter's replica stops.
    async fn watch(&self, service: &VoterService) {
        let mut status = service.replica().watch_status();
        let mut documents = service.cell().watch_documents();
        let mut leader = None;
        loop {
            let current_leader = service.leader();
            if current_leader != leader {
                let term = status.borrow().term;
                let name = current_leader.as_deref().unwrap_or("none");
                log_event!(info, "leader_changed", leader = name, term = term);
                leader = current_leader;
            }
            self.publish(*documents.borrow_and_update());
            if let Some(reason) = &status.borrow_and_update().stopped {
                match self.is_stopping.load(Ordering::Relaxed) {
                    true => log_event!(info, "voter_stopped"),
                    false => log_event!(error, "voter_lost", reason = reason),
                }
                return;
            }
            let changed = tokio::select! {
                changed = status.changed() => changed,
                changed = documents.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Publishes revisions that are newer than the published ones. A restarted voter replays
    /// its log and first shows older revisions, which are ignored.
    fn publish(&self, revisions: DocumentRevisions) {
        self.revisions.send_if_modified(|published| {
            let is_new = revisions.number > published.number
                || revisions.retired_total > published.retired_total
                || revisions.quarantine_revision > published.quarantine_revision
                || revisions.part_revision > published.part_revision
                || revisions.evacuation_revision > published.evacuation_revision;
            if is_new {
                *published = revisions;
            }
            is_new
        });
    }
}
