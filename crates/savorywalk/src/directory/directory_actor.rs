use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use super::{
    AnnouncementOutcome, DirectorySnapshot, EndpointAnnouncement, EndpointDirectory, Result,
};
use crate::prelude::*;

const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
const TOMBSTONE_TIME: Duration = Duration::from_secs(60);

/// Messages of the actor that owns the directory.
enum DirectoryMessage {
    Announce(Box<AnnounceCall>),
    Expire,
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
    actor.send_interval(EXPIRY_INTERVAL, || DirectoryMessage::Expire);
    Ok(DirectoryHandle { published, actor })
}

impl Actor for DirectoryActor {
    type Msg = DirectoryMessage;
    type State = EndpointDirectory;
    type Arguments = ();

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        _arguments: (),
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        Ok(EndpointDirectory::default())
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        directory: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            DirectoryMessage::Announce(call) => {
                let outcome = directory.announce(now, call.announcement, call.max_lease);
                if outcome == Ok(AnnouncementOutcome::Applied) {
                    self.published.store(Arc::new(directory.snapshot()));
                }
                if call.reply.send(outcome).is_err() {
                    log_event!(debug, "announcer_left");
                }
            }
            DirectoryMessage::Expire => {
                if directory.expire(now, TOMBSTONE_TIME) > 0 {
                    self.published.store(Arc::new(directory.snapshot()));
                }
            }
        }
        Ok(())
    }
}
