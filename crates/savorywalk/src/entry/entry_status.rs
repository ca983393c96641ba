use crate::admission::EstimateLine;
use crate::cost::CostLine;
use crate::directory::EndpointAnnouncement;
use crate::prelude::*;
use crate::queueing::QueueStatus;

/// What `GET /v1/status` tells of a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct EntryStatus {
    /// Name of the daemon.
    pub name: String,
    /// Data centre in which it stands.
    pub data_center: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// Requests in progress.
    pub requests_in_progress: u32,
    /// Endpoints known, newest announcement of each.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Cost by workspace, pipeline and stage.
    pub costs: Vec<CostLine>,
    /// Queue of each pool at this daemon.
    pub queues: Vec<QueueStatus>,
    /// Service times that this daemon has learnt.
    pub estimates: Vec<EstimateLine>,
}
