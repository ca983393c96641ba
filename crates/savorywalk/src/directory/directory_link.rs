use tokio::sync::mpsc;

use super::WorkspaceUsage;
use crate::membership::MemberIdentity;
use crate::prelude::*;
use crate::transport::LinkHub;

/// How an entry's directory reaches the others'.
#[derive(Clone, Debug)]
pub struct DirectoryLink {
    /// The links of the daemon.
    pub hub: LinkHub,
    /// Who the entry is to the other members.
    pub own: Arc<MemberIdentity>,
    /// Number of this life of the entry, greater than that of any before; in
    /// seconds, such as the time of day.
    pub epoch: u32,
    /// Takes what other entries gave to workspaces; when it is full, a report is
    /// lost and shares are less exact for its interval.
    pub used: mpsc::Sender<Vec<WorkspaceUsage>>,
}
