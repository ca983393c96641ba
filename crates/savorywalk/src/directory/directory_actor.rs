use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::{
    AnnouncementOutcome, DirectoryAction, DirectoryCore, DirectoryEvent, DirectorySnapshot,
    DirectoryTiming, EndpointAnnouncement, Result,
};
use crate::membership::MemberCard;
use crate::prelude::*;

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Messages of the actor that owns the directory.
enum DirectoryMessage {
    Announce(Box<AnnounceCall>),
    Tick,
}

struct AnnounceCall {
    announcement: EndpointAnnouncement,
    max_lease: Duration,
    reply: RpcReplyPort<Result<AnnouncementOutcome>>,
}

struct DirectoryActor {
    published: Arc<ArcSwap<DirectorySnapshot>>,
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
            Ok(ractor::rpc::CallResult::Success(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Stops the actor.
    pub fn stop(&self) {
        self.actor.stop(None);
    }
}

/// Starts the actor that owns the directory of this process.
pub async fn start_directory() -> std::result::Result<DirectoryHandle, ractor::SpawnErr> {
    let published = Arc::new(ArcSwap::from_pointee(DirectorySnapshot::default()));
    let directory = DirectoryActor {
        published: Arc::clone(&published),
    };
    let (actor, _task) = Actor::spawn(None, directory, ()).await?;
    actor.send_interval(TICK_INTERVAL, || DirectoryMessage::Tick);
    Ok(DirectoryHandle { published, actor })
}

impl DirectoryActor {
    fn perform(&self, core: &DirectoryCore, actions: Vec<DirectoryAction>) {
        for action in actions {
            match action {
                DirectoryAction::Publish => self.published.store(Arc::new(core.snapshot())),
                // A sole entry has nobody to send to or to hear from.
                DirectoryAction::Send { .. } | DirectoryAction::Used(_) => {}
            }
        }
    }
}

impl Actor for DirectoryActor {
    type Msg = DirectoryMessage;
    type State = DirectoryCore;
    type Arguments = ();

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        _arguments: (),
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        let timing = DirectoryTiming::default();
        let seed = rand::random();
        Ok(DirectoryCore::new(
            Instant::now(),
            sole_card(),
            1,
            timing,
            seed,
        ))
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
            DirectoryMessage::Tick => match core.handle(now, DirectoryEvent::Tick) {
                Ok(actions) => self.perform(core, actions),
                Err(error) => log_event!(warn, "directory_tick_failed", error = error),
            },
        }
        Ok(())
    }
}

/// Who an entry is that has no links: its name never leaves the process.
fn sole_card() -> Arc<MemberCard> {
    Arc::new(MemberCard {
        name: "sole".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        region: "local".into(),
        data_center: "local".into(),
        entry: true,
    })
}
