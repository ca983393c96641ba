use std::path::Path;

use opentelemetry::metrics::Meter;
use prost::Message;
use tokio::task::AbortHandle;

use super::hub_link::HubLink;
use super::{
    BootstrapCommand, ControlBody, ControlCell, ControlCommand, ControlError, ControlMachine,
    ControlOutcome, ControlQuery, Result, StampClock, VoterRoster,
};
use crate::consensus::{DriverOptions, ReplicaDriver, ReplicaError, ReplicaHandle, ReplicaRole};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{
    ControlCall, ControlResponse, LeaderHint, StandingReply, VersionNotice, VoterStanding,
};
use crate::prelude::*;
use crate::storage::DataFolder;
use crate::transport::{LinkChannel, LinkHub, PeerName};

/// Pause before the first configuration is checked and proposed again.
const BOOTSTRAP_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Author of the first configuration in the audit trail.
const BOOTSTRAP_AUTHOR: &str = "settings";

/// A voter of control in this process: its replica, and the answers to calls of other
/// processes.
#[derive(Debug)]
pub struct VoterService {
    hub: LinkHub,
    roster: VoterRoster,
    replica: ReplicaHandle,
    cell: Arc<ControlCell>,
    clock: StampClock,
}

/// A started voter with its background tasks, which are aborted on drop.
#[derive(Debug)]
pub struct VoterTasks {
    service: Arc<VoterService>,
    tasks: Vec<AbortHandle>,
}

impl Drop for VoterTasks {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl VoterTasks {
    /// The voter that the tasks belong to.
    pub fn service(&self) -> &Arc<VoterService> {
        &self.service
    }

    /// Stops the replica, which transfers leadership and closes its data folder.
    pub async fn stop(self) {
        self.service.replica.stop().await;
    }
}

impl VoterService {
    /// Opens the data folder and starts this daemon's replica, one of those in `roster`.
    /// `first` is the JSON of the deployment's first configuration; it is committed only
    /// if none is in force yet.
    ///
    /// # Errors
    ///
    /// If this daemon isn't in the roster, or the data folder or the replica in it can't
    /// be used.
    pub async fn start(
        hub: &LinkHub,
        folder: &Path,
        roster: VoterRoster,
        first: Option<Bytes>,
    ) -> Result<VoterTasks> {
        let incarnation = rand::random::<u32>().max(1);
        let not_in_roster = || ControlError::Folder(format!("{} is no voter", hub.name()));
        let number = roster.number_of(hub.name()).ok_or_else(not_in_roster)?;
        let folder = DataFolder::open_as(folder, hub.name().as_str(), number, incarnation);
        let folder = folder.map_err(|error| ControlError::Folder(error.to_string()))?;
        let options = DriverOptions::new(roster.replica_options(rand::random()));
        let machine = ControlMachine::default();
        let cell = Arc::clone(machine.cell());
        let (link, inbound) = HubLink::start(hub, &roster);
        let replica = ReplicaDriver::start(folder.id, options, folder, machine, link, inbound);
        let replica = replica.await;
        let replica = replica.map_err(|error| ControlError::Folder(error.to_string()))?;
        let service = Arc::new(Self {
            hub: hub.clone(),
            roster,
            replica,
            cell,
            clock: StampClock::default(),
        });
        let mut tasks = vec![tokio::spawn(Arc::clone(&service).push_versions()).abort_handle()];
        if let Some(first) = first {
            tasks.push(tokio::spawn(Arc::clone(&service).bootstrap(first)).abort_handle());
        }
        Ok(VoterTasks { service, tasks })
    }

    /// Answers a call from this process or over a link. Calls that a voter doesn't serve
    /// get [`Response::Unavailable`].
    pub async fn answer(&self, call: ControlCall) -> ControlResponse {
        let response = match call.call {
            Some(Call::Propose(command)) => self.propose(command).await,
            Some(Call::Query(query)) => self.query(&query).await,
            Some(Call::Standing(_)) => Response::Standing(StandingReply {
                voter: Some(self.standing()),
                entry: None,
            }),
            Some(Call::InForce(_) | Call::Follow(_) | Call::Quarantine(_)) | None => {
                Response::Unavailable("a voter does not answer this".into())
            }
        };
        ControlResponse {
            response: Some(response),
        }
    }

    /// The replica of the log that this voter runs.
    pub fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// The state that this replica has applied; it may be older than the leader's.
    pub fn cell(&self) -> &Arc<ControlCell> {
        &self.cell
    }

    /// Names of the daemons that hold replicas, sorted, by the membership known here.
    pub fn member_names(&self) -> Vec<PeerName> {
        let status = self.replica.status();
        let members = status.membership.members();
        let names = members.filter_map(|(id, _)| self.roster.name_of(id.node()));
        let names: BTreeSet<PeerName> = names.collect();
        names.into_iter().collect()
    }

    fn is_voter_name(&self, peer: &PeerName) -> bool {
        match &self.roster {
            VoterRoster::Listed(_) => self.roster.number_of(peer).is_some(),
            VoterRoster::Discovered { .. } => self.member_names().contains(peer),
        }
    }

    /// The leader that this voter knows and the configuration version it has applied.
    pub fn standing(&self) -> VoterStanding {
        let leader = self.leader();
        VoterStanding {
            has_leader: leader.is_some(),
            leader: leader.unwrap_or_default(),
            version: *self.cell.watch_version().borrow(),
        }
    }

    /// Registers the gauges of this voter: leadership, right to vote, number of voters,
    /// silent voters and commit index.
    pub fn register_metrics(&self, meter: &Meter) {
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_leads")
            .with_description("1 while this voter leads control")
            .with_callback(move |gauge| {
                let is_leader = replica.status().role == ReplicaRole::Leader;
                gauge.observe(is_leader.into(), &[]);
            })
            .build();
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_votes")
            .with_description("1 while this voter is one by the committed membership")
            .with_callback(move |gauge| gauge.observe(replica.status().is_voter().into(), &[]))
            .build();
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_voters")
            .with_description("Voters in the newest membership; one more during a repair")
            .with_callback(move |gauge| {
                let voters = replica.status().membership.voters().count();
                gauge.observe(voters as u64, &[]);
            })
            .build();
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_silent_voters")
            .with_description("Voters that do not answer this voter while it leads control")
            .with_callback(move |gauge| gauge.observe(replica.status().silent_voters as u64, &[]))
            .build();
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_commit_index")
            .with_description("Last index of the log known to be committed")
            .with_callback(move |gauge| gauge.observe(replica.status().commit_index, &[]))
            .build();
    }

    /// Name of the leader, if this voter knows one.
    pub fn leader(&self) -> Option<String> {
        let leader = self.replica.status().leader?;
        let name = self.roster.name_of(leader.node());
        name.map(|name| name.to_string())
    }

    /// Stamps a command and commits it, if this voter is the leader.
    pub async fn propose(&self, mut command: ControlCommand) -> Response {
        command.stamp_ms = self.clock.now_ms();
        match self.replica.propose(command.encode_to_vec().into()).await {
            Ok(outcome) => match ControlOutcome::decode(outcome) {
                Ok(outcome) => Response::Outcome(outcome),
                Err(error) => Response::Unavailable(error.to_string()),
            },
            Err(error) => self.refusal(&error),
        }
    }

    /// Reads the committed state after a read barrier, which only the leader can pass.
    async fn query(&self, query: &ControlQuery) -> Response {
        match self.replica.read_barrier().await {
            Ok(_) => Response::Reply(self.cell.query(self.clock.now_ms(), query)),
            Err(error) => self.refusal(&error),
        }
    }

    fn refusal(&self, error: &ReplicaError) -> Response {
        let is_leader = self.replica.status().role == ReplicaRole::Leader;
        match error {
            ReplicaError::Refused(_) if !is_leader => Response::NotLeader(LeaderHint {
                leader: self.leader().unwrap_or_default(),
            }),
            ReplicaError::Refused(_)
            | ReplicaError::Superseded
            | ReplicaError::OutcomeUnknown
            | ReplicaError::TooLarge { .. }
            | ReplicaError::Stopped(_)
            | ReplicaError::Storage(_) => Response::Unavailable(error.to_string()),
        }
    }

    /// Proposes the first configuration while this voter leads, until one is in force.
    /// Several voters may propose it, since it is refused once there is a version.
    async fn bootstrap(self: Arc<Self>, first: Bytes) {
        let mut status = self.replica.watch_status();
        loop {
            let is_leader = status.borrow_and_update().role == ReplicaRole::Leader;
            if is_leader && self.replica.read_barrier().await.is_ok() {
                if *self.cell.watch_version().borrow() > 0 {
                    return;
                }
                let command = ControlCommand {
                    stamp_ms: 0,
                    body: Some(ControlBody::Bootstrap(BootstrapCommand {
                        configuration_json: first.clone(),
                        author: BOOTSTRAP_AUTHOR.into(),
                    })),
                };
                let response = self.propose(command).await;
                log_event!(
                    info,
                    "bootstrap_proposed",
                    outcome = format!("{response:?}")
                );
                tokio::time::sleep(BOOTSTRAP_RETRY_PAUSE).await;
                continue;
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notifies connected entries of each version as soon as it is applied here. An entry
    /// that misses the notice gets the version at its next check.
    async fn push_versions(self: Arc<Self>) {
        let mut versions = self.cell.watch_version();
        while versions.changed().await.is_ok() {
            let version = *versions.borrow_and_update();
            let notice = Bytes::from(VersionNotice { version }.encode_to_vec());
            for peer in self.hub.connected_peers() {
                if self.is_voter_name(&peer) {
                    continue;
                }
                let sent = self
                    .hub
                    .send(peer.as_str(), LinkChannel::Control, notice.clone());
                if let Err(error) = sent {
                    log_event!(debug, "version_notice_dropped", peer = peer, reason = error);
                }
            }
        }
    }
}
