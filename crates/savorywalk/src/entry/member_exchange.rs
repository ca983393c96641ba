use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval};

use super::EntryNode;
use crate::membership::{
    MemberIdentity, MemberState, MemberView, MembershipAction, MembershipCore, MembershipEvent,
    MembershipTiming,
};
use crate::prelude::*;
use crate::transport::{InboundCall, InboundMessage, LinkChannel, LinkHub, PeerName};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a member to acknowledge that this one leaves; members that
/// were not reached notice the silence instead.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Carries the membership of one daemon over its links, and tells the
/// directory and the queues who is there. The exchange ends when it is dropped.
#[derive(Debug)]
pub(super) struct MemberExchange {
    view: Arc<ArcSwap<MemberView>>,
    leave: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Drop for MemberExchange {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl MemberExchange {
    /// Starts to look for the other members by way of `seeds`, whose addresses
    /// the hub has from the settings.
    pub(super) fn start(
        node: &Arc<EntryNode>,
        hub: &LinkHub,
        own: &Arc<MemberIdentity>,
        incarnation: u64,
        seeds: BTreeSet<PeerName>,
    ) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(MemberView::default()));
        if own.address.ip().is_unspecified() {
            log_event!(
                warn,
                "member_address_unusable",
                address = own.address,
                remedy = "give [link] address the IP number at which other daemons reach this one",
            );
        }
        let names = seeds.iter().map(|seed| seed.as_str().into());
        let core = MembershipCore::new(
            Instant::now(),
            MemberIdentity::clone(own),
            incarnation,
            names.collect(),
            MembershipTiming::default(),
            rand::random(),
        );
        let worker = ExchangeWorker {
            core,
            node: Arc::clone(node),
            hub: hub.clone(),
            seeds,
            view: Arc::clone(&view),
        };
        let inbound = hub.subscribe(LinkChannel::Membership);
        let calls = hub.serve(LinkChannel::Membership);
        let (leave, left) = oneshot::channel();
        let task = tokio::spawn(worker.run(inbound, calls, left));
        Self {
            view,
            leave: Some(leave),
            task,
        }
    }

    /// Who is there.
    pub(super) fn view(&self) -> Arc<MemberView> {
        self.view.load_full()
    }

    /// Tells the neighbours that this daemon leaves, and waits until they have
    /// heard it or the time for it is over.
    pub(super) async fn leave(mut self) {
        if let Some(leave) = self.leave.take() {
            let _ended = leave.send(());
        }
        if let Err(error) = (&mut self.task).await {
            log_event!(warn, "member_exchange_failed", reason = error);
        }
    }
}

/// What the exchange's task owns.
struct ExchangeWorker {
    core: MembershipCore,
    node: Arc<EntryNode>,
    hub: LinkHub,
    seeds: BTreeSet<PeerName>,
    view: Arc<ArcSwap<MemberView>>,
}

impl ExchangeWorker {
    async fn run(
        mut self,
        mut inbound: mpsc::Receiver<InboundMessage>,
        mut calls: mpsc::Receiver<InboundCall>,
        mut left: oneshot::Receiver<()>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.publish().await;
        loop {
            tokio::select! {
                _ = &mut left => return self.leave().await,
                _ = ticks.tick() => self.take(MembershipEvent::Tick).await,
                Some(message) = inbound.recv() => {
                    self.receive(&message.from, &message.payload).await;
                }
                Some(call) = calls.recv() => {
                    self.receive(&call.from, &call.payload).await;
                    call.reply.answer(Bytes::new());
                }
            }
        }
    }

    async fn receive(&mut self, from: &PeerName, payload: &[u8]) {
        let from = from.as_str();
        self.take(MembershipEvent::Received { from, payload }).await;
    }

    async fn take(&mut self, event: MembershipEvent<'_>) {
        let actions = match self.core.handle(Instant::now(), event) {
            Ok(actions) => actions,
            Err(error) => {
                log_event!(warn, "member_message_refused", reason = error);
                return;
            }
        };
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, payload } => self.send(&to, payload),
                MembershipAction::Changed { identity, state } => {
                    changed = true;
                    self.record(&identity, state);
                }
                MembershipAction::RegionReachable { region, reachable } => log_event!(
                    warn,
                    "region_reachability_changed",
                    region = region,
                    reachable = reachable,
                ),
            }
        }
        if changed {
            self.publish().await;
        }
    }

    /// Sends without waiting; what is lost is made good by a later message.
    fn send(&self, to: &str, payload: Bytes) {
        if let Err(error) = self.hub.send(to, LinkChannel::Membership, payload) {
            log_event!(debug, "member_message_dropped", to = to, reason = error);
        }
    }

    /// Keeps the address book current; a dead member keeps its address, since
    /// it is tried again.
    fn record(&self, identity: &MemberIdentity, state: MemberState) {
        let name = &identity.name;
        log_event!(
            info,
            "member_changed",
            member = name,
            state = state_name(state)
        );
        let Ok(peer) = PeerName::new(name) else {
            return;
        };
        if peer == *self.hub.name() {
            return;
        }
        let is_usable = !identity.address.ip().is_unspecified() && identity.address.port() != 0;
        match state {
            MemberState::Alive if is_usable => self.hub.addresses().set(peer, identity.address),
            MemberState::Left if !self.seeds.contains(&peer) => {
                self.hub.addresses().remove(peer.as_str());
            }
            MemberState::Alive | MemberState::Suspect | MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Tells the rest of the process who is there.
    async fn publish(&self) {
        let view = Arc::new(self.core.view());
        let entries = view.entries(&self.core.own().region).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.node.queues().set_entries(entries.max(1));
        self.view.store(Arc::clone(&view));
        if !self.node.directory().update_members(view).await {
            log_event!(debug, "directory_stopped");
        }
    }

    /// Leaving is told by calls, which are acknowledged: the links close next,
    /// and a message that still waits would be lost with them.
    async fn leave(mut self) {
        let actions = self.core.handle(Instant::now(), MembershipEvent::Leave);
        let mut calls = JoinSet::new();
        for action in actions.unwrap_or_default() {
            if let MembershipAction::Send { to, payload } = action {
                let hub = self.hub.clone();
                calls.spawn(async move {
                    let channel = LinkChannel::Membership;
                    let told = hub.call(&to, channel, payload, LEAVE_TIMEOUT).await;
                    if let Err(error) = told {
                        log_event!(warn, "leave_untold", to = to, reason = error);
                    }
                });
            }
        }
        while calls.join_next().await.is_some() {}
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}
