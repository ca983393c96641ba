use std::sync::{Mutex, MutexGuard, PoisonError, Weak};

use futures::future::join_all;
use prost::Message;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::{EntryNode, FollowerCore, PeerReport};
use crate::configuration::ConfigurationSnapshot;
use crate::control::{
    ClusterControl, ConfigurationQuery, ConfigurationReply, ControlAnswer, Result, unexpected,
};
use crate::generated::control_link::control_call::Call;
use crate::generated::control_link::control_response::Response;
use crate::generated::control_link::{EntryStanding, StandingReply, VersionNotice};
use crate::prelude::*;
use crate::transport::{InboundMessage, PeerName};

/// Pause between checks of the version; a lost notice delays a change by it.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for a check. Several must fit into the confirmation's time.
const CHECK_TIME: Duration = Duration::from_secs(3);
/// Longest wait for a configuration from another entry.
const FETCH_TIME: Duration = Duration::from_secs(3);

/// Keeps an entry at the newest committed version, and tells the entry when it
/// can't. See docs/design/in-force.md.
#[derive(Debug)]
pub struct ControlFollower {
    node: Weak<EntryNode>,
    control: Arc<ClusterControl>,
    others: Vec<PeerName>,
    core: Mutex<FollowerCore>,
}

/// Stops its follower when it is dropped.
#[derive(Debug)]
pub struct FollowerTask {
    follower: Arc<ControlFollower>,
    task: AbortHandle,
}

impl Drop for FollowerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FollowerTask {
    /// What the follower tells other entries.
    pub fn follower(&self) -> &Arc<ControlFollower> {
        &self.follower
    }
}

impl ControlFollower {
    /// Starts to follow for `node`; `others` are the other entries, and
    /// `notices` what voters push.
    pub fn start(
        node: &Arc<EntryNode>,
        control: Arc<ClusterControl>,
        others: Vec<PeerName>,
        notices: mpsc::Receiver<InboundMessage>,
    ) -> FollowerTask {
        let mut core = FollowerCore::new(control.voters().len());
        core.set_other_entries(others.len());
        let follower = Arc::new(Self {
            node: Arc::downgrade(node),
            control,
            others,
            core: Mutex::new(core),
        });
        let task = tokio::spawn(Arc::clone(&follower).run(notices));
        FollowerTask {
            follower,
            task: task.abort_handle(),
        }
    }

    /// How this entry sees control, for other entries.
    pub fn entry_standing(&self) -> EntryStanding {
        let (version, confirmed_ago) = self.core().confirmation(Instant::now());
        EntryStanding {
            version,
            confirmed: confirmed_ago.is_some(),
            confirmed_ms_ago: confirmed_ago.unwrap_or_default().as_millis() as u64,
        }
    }

    /// The configuration in force here, for an entry that has an older one.
    pub fn in_force(&self, known_version: u64) -> ConfigurationReply {
        let Some(node) = self.node.upgrade() else {
            return ConfigurationReply::default();
        };
        let snapshot = node.configuration().load();
        let is_newer = snapshot.version > known_version;
        ConfigurationReply {
            version: snapshot.version,
            configuration: is_newer.then(|| snapshot.source.clone()),
        }
    }

    async fn run(self: Arc<Self>, mut notices: mpsc::Receiver<InboundMessage>) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Some(notice) = notices.recv() => {
                    if !self.is_new(&notice) {
                        continue;
                    }
                }
            }
            let Some(node) = self.node.upgrade() else {
                return;
            };
            if let Err(error) = self.check(&node).await {
                log_event!(info, "version_not_confirmed", error = error);
                self.survey(&node).await;
            }
            self.publish(&node);
        }
    }

    fn is_new(&self, notice: &InboundMessage) -> bool {
        let known = self.core().confirmation(Instant::now()).0;
        VersionNotice::decode(notice.payload.clone()).is_ok_and(|notice| notice.version > known)
    }

    /// Learns the newest version from the leader, who has a majority's word.
    async fn check(&self, node: &EntryNode) -> Result<()> {
        let asked = Instant::now();
        let known = node.configuration().load().version;
        let reply = self.control.newest(known, CHECK_TIME).await?;
        let version = reply.version;
        install(node, reply)?;
        // A version below the one in force can't be the newest.
        if version >= node.configuration().load().version {
            self.core().confirm(asked, version);
        }
        Ok(())
    }

    /// Asks every voter and every other entry how they see control.
    async fn survey(&self, node: &EntryNode) {
        let asked = Instant::now();
        let voters = self.control.voters();
        let peers: Vec<&PeerName> = voters.iter().chain(&self.others).collect();
        let standings = peers.iter().map(|peer| self.control.standing(peer));
        let standings = join_all(standings).await;
        for (peer, standing) in peers.into_iter().zip(standings) {
            if let Ok(standing) = standing {
                self.take_standing(asked, peer, standing);
            }
        }
        let newer_at = self.core().newer_at().cloned();
        if let Some(peer) = newer_at
            && let Err(error) = self.fetch(node, &peer).await
        {
            log_event!(
                warn,
                "newer_version_not_fetched",
                peer = peer,
                error = error
            );
        }
    }

    fn take_standing(&self, asked: Instant, peer: &PeerName, standing: StandingReply) {
        let mut core = self.core();
        if let Some(voter) = standing.voter {
            let has_leader = voter.has_leader;
            core.report(asked, peer.clone(), PeerReport::Voter { has_leader });
        }
        // A voter that is also an entry counts as a voter alone.
        let entry = standing.entry.filter(|_| self.others.contains(peer));
        if let Some(entry) = entry {
            let ago = Duration::from_millis(entry.confirmed_ms_ago);
            let report = PeerReport::Entry {
                version: entry.version,
                confirmed_ago: entry.confirmed.then_some(ago),
            };
            core.report(asked, peer.clone(), report);
        }
    }

    /// Takes a newer version from another entry.
    async fn fetch(&self, node: &EntryNode, peer: &PeerName) -> Result<()> {
        let known_version = node.configuration().load().version;
        let call = Call::InForce(ConfigurationQuery { known_version });
        let response = self.control.ask(peer, call, FETCH_TIME).await?;
        let Response::Reply(reply) = response else {
            return Err(unexpected(&response));
        };
        if let Some(ControlAnswer::Configuration(reply)) = reply.reply {
            let version = reply.version;
            install(node, reply)?;
            self.core().install(version);
        }
        Ok(())
    }

    fn publish(&self, node: &EntryNode) {
        let standing = self.core().standing(Instant::now());
        let before = node.set_standing(standing);
        if before != standing {
            log_event!(
                info,
                "standing_changed",
                node = node.name(),
                standing = standing
            );
        }
    }

    fn core(&self) -> MutexGuard<'_, FollowerCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts a configuration in force unless a newer one is.
fn install(node: &EntryNode, reply: ConfigurationReply) -> Result<()> {
    let Some(source) = reply.configuration else {
        return Ok(());
    };
    let version = reply.version;
    if node
        .configuration()
        .advance(ConfigurationSnapshot::build(version, source)?)
    {
        log_event!(
            info,
            "configuration_in_force",
            node = node.name(),
            version = version
        );
    }
    Ok(())
}
