use crate::prelude::*;

/// Name, address, location and role of a daemon; fixed for one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Name of the daemon, unique in the deployment.
    pub name: Arc<str>,
    /// Address for links from other daemons.
    pub address: SocketAddr,
    /// Region of its data centre.
    pub region: Arc<str>,
    /// Data centre in which the daemon runs.
    pub data_center: Arc<str>,
    /// Whether the daemon is an entry: it serves callers and so needs the directory.
    pub entry: bool,
}
