use super::WorkspaceUsage;
use crate::membership::{MemberView, TrafficClass};
use crate::prelude::*;

/// What happens to the directory of one entry, announcements aside.
#[derive(Clone, Debug)]
pub enum DirectoryEvent<'a> {
    /// Time has passed; due every 100 to 200 ms.
    Tick,
    /// A message came in.
    Received {
        /// Name of the sender, as its certificate states it.
        from: &'a str,
        /// The encoded message.
        payload: &'a [u8],
    },
    /// The members have changed.
    Members(Arc<MemberView>),
    /// This entry gave endpoint time to workspaces.
    Used(Vec<WorkspaceUsage>),
}

/// What the rim has to do for the directory.
#[derive(Clone, Debug)]
pub enum DirectoryAction {
    /// Send these bytes.
    Send {
        /// Name of the receiver.
        to: Arc<str>,
        /// What they are for.
        class: TrafficClass,
        /// The encoded message.
        payload: Bytes,
    },
    /// Endpoints have changed; publish a new snapshot.
    Publish,
    /// Other entries gave endpoint time to workspaces.
    Used(Vec<WorkspaceUsage>),
}
