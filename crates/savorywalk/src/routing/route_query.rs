use super::PromptPrefix;
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// What an attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Pool that serves the stage.
    pub pool: &'a str,
    /// Model that it needs; empty for none.
    pub model: &'a str,
    /// Version of the model; empty for any.
    pub version: &'a str,
    /// Adapter of the model; empty for none.
    pub adapter: &'a str,
    /// Opening of the prompt, for the endpoints' prefix caches.
    pub prefix: &'a PromptPrefix,
    /// Endpoints that failed this stage already.
    pub excluded: &'a [String],
}

impl RouteQuery<'_> {
    /// Whether `record` may get new work at `now` and has all that is needed.
    pub fn is_served_by(&self, now: Instant, record: &EndpointRecord) -> bool {
        record.takes_work(now) && self.has_model(record)
    }

    /// Whether the endpoint failed this stage already.
    pub fn excludes(&self, endpoint: &str) -> bool {
        self.excluded.iter().any(|name| name == endpoint)
    }

    fn has_model(&self, record: &EndpointRecord) -> bool {
        let models = &record.announcement.models;
        self.model.is_empty()
            || models.iter().any(|entry| {
                entry.name == self.model
                    && (self.version.is_empty() || entry.version == self.version)
                    && (self.adapter.is_empty()
                        || entry.adapters.iter().any(|name| name == self.adapter))
            })
    }
}

#[cfg(test)]
#[path = "route_query_tests.rs"]
mod tests;
