use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::control_server::{self, ControlAnswerer};
use super::entry_daemon::{self, EntryParts};
use super::member_exchange::MemberExchange;
use super::usage_exchange::UsageExchange;
use super::{
    ControlFollower, EntryDaemon, EntryError, EntryNode, FollowerStanding, FollowerTask, Result,
};
use crate::api::{HttpServer, ListenerKind};
use crate::claims::{ClaimClient, ClaimOwner, ControlClaims, LocalClaims};
use crate::configuration::ConfigurationSnapshot;
use crate::control::{ClusterControl, ControlClient, VoterRoster, VoterService, VoterTasks};
use crate::directory::DirectoryLink;
use crate::membership::{MemberIdentity, MemberView};
use crate::prelude::*;
use crate::settings::{ControlSettings, DaemonSettings, RoleSet};
use crate::transport::{
    LinkChannel, LinkHub, LinkOptions, PeerName, parse_peers, register_link_metrics,
};

/// Longest wait for operators' calls at a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Most reports of other entries that wait for the queues; a region's entries
/// together send some three a second.
const USAGE_REPORTS: usize = 256;

/// A daemon of a deployment with control: it plays the roles that its settings
/// name, and is linked to the others.
#[derive(Debug)]
pub struct JoinedDaemon {
    hub: LinkHub,
    voter: Option<VoterTasks>,
    listeners: RoleListeners,
    members: MemberExchange,
    _usage: UsageExchange,
    _follower: FollowerTask,
    answering: AbortHandle,
}

/// The listeners of the roles.
#[derive(Debug)]
enum RoleListeners {
    Entry(EntryDaemon),
    Control {
        node: Arc<EntryNode>,
        operators: HttpServer,
    },
}

impl JoinedDaemon {
    /// Starts the links, then the voter if it plays one, then the listeners.
    /// `first` is the JSON that a new deployment's control commits first.
    pub async fn start(settings: DaemonSettings, first: Option<Bytes>) -> Result<Self> {
        let roles = role_set(&settings)?;
        let control_settings = settings.control.clone().unwrap_or_default();
        let hub = start_hub(&settings, &control_settings)?;
        let voters = peers(&control_settings.voters)?;
        let names: Vec<PeerName> = voters.keys().cloned().collect();
        let voter = match roles.control {
            true => {
                let folder = Path::new(&control_settings.data_folder);
                Some(VoterService::start(&hub, folder, VoterRoster::listed(&names), first).await?)
            }
            false => None,
        };
        let service = voter.as_ref().map(|voter| Arc::clone(voter.service()));
        let control = Arc::new(ClusterControl::new(hub.clone(), names, service.clone()));
        let others = other_entries(&settings, &hub, &voters)?;
        let identity = Arc::new(member_identity(&settings, roles, &hub)?);
        let seeds = first_peers(&settings, &voters)?;
        let (sender, used) = mpsc::channel(USAGE_REPORTS);
        let link = roles.entry.then(|| DirectoryLink {
            hub: hub.clone(),
            own: Arc::clone(&identity),
            epoch: wall_time().as_secs() as u32,
            used: sender,
        });
        let listeners = start_listeners(settings, roles, &hub, &control, link).await?;
        let node = Arc::clone(listeners.node());
        let usage = UsageExchange::start(&node, used);
        let incarnation = wall_time().as_millis() as u64;
        let members = MemberExchange::start(&node, &hub, &identity, incarnation, seeds);
        register_link_metrics(node.metrics().meter(), hub.metrics());
        if let Some(voter) = &service {
            voter.register_metrics(node.metrics().meter());
        }
        let notices = hub.subscribe(LinkChannel::Control);
        let follower = ControlFollower::start(&node, control, others, notices);
        let answerer = ControlAnswerer {
            voter: service,
            follower: Arc::clone(follower.follower()),
        };
        let calls = hub.serve(LinkChannel::Control);
        let answering = tokio::spawn(control_server::run(calls, answerer)).abort_handle();
        Ok(Self {
            hub,
            voter,
            listeners,
            members,
            _usage: usage,
            _follower: follower,
            answering,
        })
    }

    /// What the roles share.
    pub fn node(&self) -> &Arc<EntryNode> {
        self.listeners.node()
    }

    /// Address on which this daemon accepts its peers' links.
    pub fn link_address(&self) -> Result<SocketAddr> {
        Ok(self.hub.address()?)
    }

    /// Who is there, as this daemon knows it.
    pub fn members(&self) -> Arc<MemberView> {
        self.members.view()
    }

    /// Stops gracefully: the listeners finish what is in progress, the voter
    /// hands over, the members are told, the links close. Tells whether every request finished.
    pub async fn stop(self) -> bool {
        let finished = match self.listeners {
            RoleListeners::Entry(daemon) => daemon.stop().await,
            RoleListeners::Control { operators, .. } => operators.close(CLOSE_TIMEOUT).await,
        };
        if let Some(voter) = self.voter {
            voter.stop().await;
        }
        self.members.leave().await;
        self.answering.abort();
        self.hub.close().await;
        finished
    }
}

impl RoleListeners {
    fn node(&self) -> &Arc<EntryNode> {
        match self {
            Self::Entry(daemon) => daemon.node(),
            Self::Control { node, .. } => node,
        }
    }
}

fn role_set(settings: &DaemonSettings) -> Result<RoleSet> {
    let node = settings.node.as_ref();
    let node = node.ok_or(EntryError::MissingSection("node"))?;
    RoleSet::from_settings(node).map_err(|_| EntryError::MissingSection("node"))
}

fn start_hub(settings: &DaemonSettings, control: &ControlSettings) -> Result<LinkHub> {
    let node = settings.node.as_ref();
    let node = node.ok_or(EntryError::MissingSection("node"))?;
    let link = settings.link.as_ref();
    let link = link.ok_or(EntryError::MissingSection("link"))?;
    let mut options = LinkOptions::from_settings(&node.name, link)?;
    options.peers.extend(peers(&control.voters)?);
    options.peers.remove(node.name.as_str());
    Ok(LinkHub::start(options)?)
}

fn peers(words: &[String]) -> Result<BTreeMap<PeerName, SocketAddr>> {
    Ok(parse_peers(words)?)
}

/// The daemons that the seeds name, this one and the voters left out.
fn other_entries(
    settings: &DaemonSettings,
    hub: &LinkHub,
    voters: &BTreeMap<PeerName, SocketAddr>,
) -> Result<Vec<PeerName>> {
    let seeds = settings.link.as_ref().map(|link| link.seeds.as_slice());
    let seeds = peers(seeds.unwrap_or_default())?.into_keys();
    Ok(seeds
        .filter(|seed| seed != hub.name() && !voters.contains_key(seed))
        .collect())
}

async fn start_listeners(
    settings: DaemonSettings,
    roles: RoleSet,
    hub: &LinkHub,
    control: &Arc<ClusterControl>,
    link: Option<DirectoryLink>,
) -> Result<RoleListeners> {
    let client = ControlClient::Remote(Arc::clone(control));
    let claims = match roles.entry {
        true => ClaimClient::Control(ControlClaims::start(client.clone(), owner(hub))),
        false => ClaimClient::Local(LocalClaims::new(hub.name().as_str())),
    };
    let parts = EntryParts {
        configuration: ConfigurationSnapshot::build(0, Default::default())?,
        control: client,
        claims,
        standing: FollowerStanding::Learning,
        link,
    };
    if roles.entry {
        let daemon = EntryDaemon::start_with(settings, parts).await?;
        return Ok(RoleListeners::Entry(daemon));
    }
    let operators = settings.operators.clone();
    let operators = operators.ok_or(EntryError::MissingSection("operators"))?;
    let node = entry_daemon::build_node(&settings, parts).await?;
    let operators = entry_daemon::serve(&operators, ListenerKind::Operators, &node).await?;
    node.open();
    log_event!(
        info,
        "control_ready",
        node = node.name(),
        operators = operators.address()
    );
    Ok(RoleListeners::Control { node, operators })
}

/// This life of the entry. A start takes longer than a millisecond, so each
/// one has a greater incarnation than the one before.
fn owner(hub: &LinkHub) -> ClaimOwner {
    ClaimOwner {
        entry: hub.name().to_string(),
        incarnation: wall_time().as_millis() as u64,
    }
}

/// Time of day since the epoch of Unix.
fn wall_time() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
}

/// Who this daemon is to the other members.
fn member_identity(
    settings: &DaemonSettings,
    roles: RoleSet,
    hub: &LinkHub,
) -> Result<MemberIdentity> {
    let node = settings.node.as_ref();
    let node = node.ok_or(EntryError::MissingSection("node"))?;
    Ok(MemberIdentity {
        name: node.name.as_str().into(),
        address: hub.address()?,
        region: node.region.as_str().into(),
        data_center: node.data_center.as_str().into(),
        entry: roles.entry,
    })
}

/// The peers that the settings name, whose addresses are always known.
fn first_peers(
    settings: &DaemonSettings,
    voters: &BTreeMap<PeerName, SocketAddr>,
) -> Result<BTreeSet<PeerName>> {
    let seeds = settings.link.as_ref().map(|link| link.seeds.as_slice());
    let mut first: BTreeSet<_> = peers(seeds.unwrap_or_default())?.into_keys().collect();
    first.extend(voters.keys().cloned());
    Ok(first)
}

#[cfg(test)]
#[path = "joined_daemon_tests.rs"]
mod tests;
