use super::PromptPrefix;
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Requirements of an attempt for its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Pool of the stage.
    pub pool: &'a str,
    /// Required model; empty for none.
    pub model: &'a str,
    /// Required version of the model; empty for any.
    pub version: &'a str,
    /// Required adapter of the model; empty for none.
    pub adapter: &'a str,
    /// Prefix of the prompt, to be looked up in the endpoints' prefix caches.
    pub prefix: &'a PromptPrefix,
    /// Endpoints that have already failed this stage.
    pub excluded: &'a [String],
}

impl RouteQuery<'_> {
    /// Whether `record` takes new work at `now` and has the required model.
    pub fn is_served_by(&self, now: Instant, record: &EndpointRecord) -> bool {
        record.takes_work(now) && self.has_model(record)
    }

    /// Whether `endpoint` has already failed this stage.
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
