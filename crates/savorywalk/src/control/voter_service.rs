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

/// Pause before the first configuration is proposed again.
const BOOTSTRAP_PAUSE: Duration = Duration::from_millis(500);
/// Author of the first configuration in the audit trail.
const BOOTSTRAP_AUTHOR: &str = "settings";

/// A voter of control in this process: its replica, and the answers to those
/// who ask it over the links.
#[derive(Debug)]
pub struct VoterService {
    hub: LinkHub,
    roster: VoterRoster,
    replica: ReplicaHandle,
    cell: Arc<ControlCell>,
    clock: StampClock,
}

/// Stops the tasks of a voter when it is dropped.
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
    /// The voter.
    pub fn service(&self) -> &Arc<VoterService> {
        &self.service
    }

    /// Hands leadership over and closes the data folder.
    pub async fn stop(self) {
        self.service.replica.stop().await;
    }
}

impl VoterService {
    /// Opens the data folder and starts the replica of this daemon among
    /// those of `roster`. `first` is the JSON of the configuration that the very first
    /// start of the deployment commits.
    ///
    /// # Errors
    ///
    /// When the data folder can't be used; the message names the remedy.
    pub async fn start(
        hub: &LinkHub,
        folder: &Path,
        roster: VoterRoster,
        first: Option<Bytes>,
    ) -> Result<VoterTasks> {
        let incarnation = rand::random::<u32>().max(1);
        let stranger = || ControlError::Folder(format!("{} is no voter", hub.name()));
        let number = roster.number_of(hub.name()).ok_or_else(stranger)?;
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

    /// Answers one call.
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

    /// The replica.
    pub fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// The state that the log has made here.
    pub fn cell(&self) -> &Arc<ControlCell> {
        &self.cell
    }

    /// Names of the daemons that hold replicas, as far as known here.
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

    /// How this voter sees control.
    pub fn standing(&self) -> VoterStanding {
        let leader = self.leader();
        VoterStanding {
            has_leader: leader.is_some(),
            leader: leader.unwrap_or_default(),
            version: *self.cell.watch_version().borrow(),
        }
    }

    /// Adds what operators watch of a voter to a daemon's metrics.
    pub fn register_metrics(&self, meter: &Meter) {
        let replica = self.replica.clone();
        meter
            .u64_observable_gauge("savorywalk_control_leads")
            .with_description("1 while this voter leads control")
            .with_callback(move |gauge| {
                let leads = replica.status().role == ReplicaRole::Leader;
                gauge.observe(leads.into(), &[]);
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
            .u64_observable_gauge("savorywalk_control_commit_index")
            .with_description("Last index of the log known to be committed")
            .with_callback(move |gauge| gauge.observe(replica.status().commit_index, &[]))
            .build();
    }

    /// Name of the leader, when one is known.
    pub fn leader(&self) -> Option<String> {
        let leader = self.replica.status().leader?;
        let name = self.roster.name_of(leader.node());
        name.map(|name| name.to_string())
    }

    /// Has a command decided, if this voter leads.
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

    /// Reads what a majority has committed, from the leader alone.
    async fn query(&self, query: &ControlQuery) -> Response {
        match self.replica.read_barrier().await {
            Ok(_) => Response::Reply(self.cell.query(self.clock.now_ms(), query)),
            Err(error) => self.refusal(&error),
        }
    }

    fn refusal(&self, error: &ReplicaError) -> Response {
        let leads = self.replica.status().role == ReplicaRole::Leader;
        match error {
            ReplicaError::Refused(_) if !leads => Response::NotLeader(LeaderHint {
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

    /// Proposes the first configuration until there is one; it counts only
    /// while there is none, so it may be proposed by several voters.
    async fn bootstrap(self: Arc<Self>, first: Bytes) {
        let mut status = self.replica.watch_status();
        loop {
            let leads = status.borrow_and_update().role == ReplicaRole::Leader;
            if leads && self.replica.read_barrier().await.is_ok() {
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
                tokio::time::sleep(BOOTSTRAP_PAUSE).await;
                continue;
            }
            if status.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tells connected entries of each version as soon as it is applied here;
    /// whoever misses it learns of it at its next check.
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
