use ractor::rpc::CallResult;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::mpsc;

use super::{
    AnnouncementOutcome, DirectoryAction, DirectoryCore, DirectoryEvent, DirectoryLink,
    DirectorySnapshot, DirectoryTiming, EndpointAnnouncement, Result, WorkspaceUsage,
};
use crate::membership::{MemberIdentity, MemberView, TrafficClass};
use crate::prelude::*;
use crate::transport::{InboundMessage, LinkChannel, LinkClass};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages of the actor that owns the directory.
enum DirectoryMessage {
    Announce(Box<AnnounceCall>),
    Members(Arc<MemberView>, RpcReplyPort<()>),
    Received(InboundMessage, RpcReplyPort<()>),
    OwnUsage(Vec<WorkspaceUsage>, RpcReplyPort<()>),
    Tick,
}

struct AnnounceCall {
    announcement: EndpointAnnouncement,
    max_lease: Duration,
    reply: RpcReplyPort<Result<AnnouncementOutcome>>,
}

struct DirectoryActor {
    published: Arc<ArcSwap<DirectorySnapshot>>,
    link: Option<DirectoryLink>,
}

/// Access to the directory: snapshots for reading, the actor for changes.
#[derive(Clone, Debug)]
pub struct DirectoryHandle {
    published: Arc<ArcSwap<DirectorySnapshot>>,
    actor: ActorRef<DirectoryMessage>,
}

impl DirectoryHandle {
    /// The directory as it was published last.
    pub fn snapshot(&self) -> Arc<DirectorySnapshot> {
        self.published.load_full()
    }

    /// Hands an announcement to the actor; `None` when it has stopped.
    pub async fn announce(
        &self,
        announcement: EndpointAnnouncement,
        max_lease: Duration,
    ) -> Option<Result<AnnouncementOutcome>> {
        let call = |reply| {
            DirectoryMessage::Announce(Box::new(AnnounceCall {
                announcement,
                max_lease,
                reply,
            }))
        };
        match self.actor.call(call, None).await {
            Ok(CallResult::Success(outcome)) => Some(outcome),
            Ok(CallResult::SenderError | CallResult::Timeout) | Err(_) => None,
        }
    }

    /// Tells the actor who the members are, and waits until it has taken them;
    /// false when it has stopped.
    pub async fn update_members(&self, view: Arc<MemberView>) -> bool {
        let call = |reply| DirectoryMessage::Members(view, reply);
        let outcome = self.actor.call(call, None).await;
        matches!(outcome, Ok(CallResult::Success(())))
    }

    /// Tells the actor what this entry gave to workspaces, for the others; false
    /// when it has stopped.
    pub async fn report_own_usage(&self, lines: Vec<WorkspaceUsage>) -> bool {
        let call = |reply| DirectoryMessage::OwnUsage(lines, reply);
        let outcome = self.actor.call(call, None).await;
        matches!(outcome, Ok(CallResult::Success(())))
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}

/// Starts the actor that owns the directory of this process. Without a link
/// the directory knows only the endpoints that announce to this process.
pub async fn start_directory(
    link: Option<DirectoryLink>,
) -> std::result::Result<DirectoryHandle, ractor::SpawnErr> {
    let published = Arc::new(ArcSwap::from_pointee(DirectorySnapshot::default()));
    let inbound = link
        .as_ref()
        .map(|link| link.hub.subscribe(LinkChannel::Directory));
    let (own, epoch) = match &link {
        Some(link) => (Arc::clone(&link.own), link.epoch),
        None => (sole_card(), 1),
    };
    let directory = DirectoryActor {
        published: Arc::clone(&published),
        link,
    };
    let (actor, _task) = Actor::spawn(None, directory, (own, epoch)).await?;
    actor.send_interval(TICK_INTERVAL, || DirectoryMessage::Tick);
    if let Some(inbound) = inbound {
        tokio::spawn(forward(inbound, actor.clone()));
    }
    Ok(DirectoryHandle { published, actor })
}

/// Hands the others' messages to the actor one by one, so that those which wait
/// are bounded by the hub's queue and not by the actor's mailbox.
async fn forward(mut inbound: mpsc::Receiver<InboundMessage>, actor: ActorRef<DirectoryMessage>) {
    while let Some(message) = inbound.recv().await {
        let call = |reply| DirectoryMessage::Received(message, reply);
        if actor.call(call, None).await.is_err() {
            return;
        }
    }
}

impl DirectoryActor {
    fn handle_event(&self, core: &mut DirectoryCore, event: DirectoryEvent<'_>) {
        match core.handle(Instant::now(), event) {
            Ok(actions) => self.perform(core, actions),
            Err(error) => log_event!(warn, "directory_message_refused", reason = error),
        }
    }

    fn perform(&self, core: &DirectoryCore, actions: Vec<DirectoryAction>) {
        for action in actions {
            match action {
                DirectoryAction::Publish => self.published.store(Arc::new(core.snapshot())),
                DirectoryAction::Send { to, class, payload } => self.send(&to, class, payload),
                DirectoryAction::Used(lines) => self.report(lines),
            }
        }
    }

    /// Sends without waiting; what is lost is made good by a later message.
    fn send(&self, to: &str, class: TrafficClass, payload: Bytes) {
        let Some(link) = &self.link else { return };
        let hub = &link.hub;
        let sent = hub.send_as(to, LinkChannel::Directory, link_class(class), payload);
        if let Err(error) = sent {
            log_event!(debug, "directory_message_dropped", to = to, reason = error);
        }
    }

    fn report(&self, lines: Vec<WorkspaceUsage>) {
        let Some(link) = &self.link else { return };
        if link.used.try_send(lines).is_err() {
            log_event!(debug, "usage_report_dropped");
        }
    }
}

fn link_class(class: TrafficClass) -> LinkClass {
    match class {
        TrafficClass::Leave => LinkClass::Notice,
        TrafficClass::Membership | TrafficClass::EndpointState | TrafficClass::Usage => {
            LinkClass::Update
        }
        TrafficClass::Load => LinkClass::Detail,
    }
}

impl Actor for DirectoryActor {
    type Msg = DirectoryMessage;
    type State = DirectoryCore;
    type Arguments = (Arc<MemberIdentity>, u32);

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        (own, epoch): Self::Arguments,
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        let timing = DirectoryTiming::default();
        let seed = rand::random();
        Ok(DirectoryCore::new(Instant::now(), own, epoch, timing, seed))
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        core: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            DirectoryMessage::Announce(call) => {
                let outcome = core.announce(now, call.announcement, call.max_lease);
                let outcome = outcome.map(|(outcome, actions)| {
                    self.perform(core, actions);
                    outcome
                });
                if call.reply.send(outcome).is_err() {
                    log_event!(debug, "announcer_left");
                }
            }
            DirectoryMessage::Members(view, reply) => {
                self.handle_event(core, DirectoryEvent::Members(view));
                acknowledge(reply);
            }
            DirectoryMessage::Received(message, reply) => {
                let event = DirectoryEvent::Received {
                    from: message.from.as_str(),
                    payload: &message.payload,
                };
                self.handle_event(core, event);
                acknowledge(reply);
            }
            DirectoryMessage::OwnUsage(lines, reply) => {
                self.handle_event(core, DirectoryEvent::Used(lines));
                acknowledge(reply);
            }
            DirectoryMessage::Tick => self.handle_event(core, DirectoryEvent::Tick),
        }
        Ok(())
    }
}

fn acknowledge(reply: RpcReplyPort<()>) {
    if reply.send(()).is_err() {
        log_event!(debug, "directory_caller_left");
    }
}

/// Who an entry is that has no links: its name never leaves the process.
fn sole_card() -> Arc<MemberIdentity> {
    Arc::new(MemberIdentity {
        name: "sole".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        region: "local".into(),
        data_center: "local".into(),
        entry: true,
    })
}
