use super::CacheEvent;
use crate::prelude::*;

/// What an endpoint says of itself; the body of `POST /v1/endpoints`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnnouncement {
    /// Name of the endpoint, unique in the deployment.
    pub endpoint: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Pool that it serves.
    pub pool: String,
    /// Data centre in which it stands.
    pub data_center: String,
    /// Grows at each start of the endpoint.
    pub incarnation: u64,
    /// Grows at each announcement of one incarnation.
    pub sequence: u64,
    /// Whether it takes work.
    pub state: EndpointState,
    /// How long this announcement is good for, in milliseconds.
    pub lease_ms: u32,
    /// Models that it has loaded; empty for a pool without models.
    #[serde(default)]
    pub models: Vec<ModelEntry>,
    /// Load as the endpoint saw it last.
    #[serde(default)]
    pub load: EndpointLoad,
    /// How many requests it works on at once; 0 when unknown.
    #[serde(default)]
    pub slots: u32,
    /// Changes of its prefix cache since the last announcement; may be late
    /// and have gaps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cache_events: Vec<CacheEvent>,
}

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Name of the model.
    pub name: String,
    /// Version of the model.
    #[serde(default)]
    pub version: String,
    /// Adapters loaded for it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Load of an endpoint, as it reports it with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointLoad {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The lease is zero.
    #[error("lease_ms is 0; ask for a lease of at least 1 ms")]
    EmptyLease,
    /// A name is missing or too long.
    #[error("{0} must have 1 to 128 bytes; send the endpoint's own")]
    BadName(&'static str),
    /// Too many endpoints are listed.
    #[error("this entry lists as many endpoints as it can; take unused ones away")]
    Full,
}

/// An endpoint as the directory holds it.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The newest announcement.
    pub announcement: EndpointAnnouncement,
    /// When the lease runs out, by this process's monotonic clock.
    pub expires: Instant,
    /// When the load was received.
    pub load_at: Instant,
    /// When this process first heard of this incarnation.
    pub joined: Instant,
}

impl EndpointRecord {
    /// Whether the endpoint may get new work at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.announcement.state == EndpointState::Serving && now < self.expires
    }

    /// Whether the endpoint has `model`; an empty name asks for none.
    pub fn has_model(&self, model: &str) -> bool {
        model.is_empty()
            || self
                .announcement
                .models
                .iter()
                .any(|entry| entry.name == model)
    }
}
