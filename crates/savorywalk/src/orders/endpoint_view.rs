use crate::directory::ModelEntry;
/// An endpoint as the planner sees it: what the directory knows, or what was
/// read back from the endpoint itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Grows at each start of the endpoint.
    pub incarnation: u64,
    /// Pool that it serves.
    pub pool: String,
    /// Models that it has loaded.
    pub models: Vec<ModelEntry>,
    /// Its role; `None` when it tells none.
    pub role: Option<String>,
}

impl EndpointView {
    /// What it has of a model.
    pub(super) fn model(&self, name: &str) -> Option<&ModelEntry> {
        self.models.iter().find(|entry| entry.name == name)
    }
}
