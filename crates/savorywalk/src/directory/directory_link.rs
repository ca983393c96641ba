use crate::membership::MemberCard;
use crate::prelude::*;
use crate::transport::LinkHub;

/// How an entry's directory reaches the others'.
#[derive(Clone, Debug)]
pub struct DirectoryLink {
    /// The links of the daemon.
    pub hub: LinkHub,
    /// Who the entry is to the other members.
    pub own: Arc<MemberCard>,
    /// Number of this life of the entry, greater than that of any before; in
    /// seconds, such as the time of day.
    pub epoch: u32,
}
