use super::crash_watch::BrokenCall;
use crate::prelude::*;
use crate::quarantine::{EndpointCrash, MAX_SUSPECTS, QuarantineCommand, RequestDigest};

/// Calls that broke off together, by endpoint.
#[derive(Debug, Default)]
pub(super) struct BrokenCalls {
    by_endpoint: BTreeMap<String, BrokenEndpoint>,
}

#[derive(Debug, Default)]
struct BrokenEndpoint {
    address: Option<SocketAddr>,
    digests: BTreeSet<RequestDigest>,
}

impl BrokenCalls {
    pub(super) fn add(&mut self, call: BrokenCall) {
        let endpoint = self.by_endpoint.entry(call.endpoint).or_default();
        endpoint.address = call.address;
        if endpoint.digests.len() < MAX_SUSPECTS {
            endpoint.digests.insert(call.digest);
        }
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = (&str, Option<SocketAddr>)> {
        let endpoints = self.by_endpoint.iter();
        endpoints.map(|(name, endpoint)| (name.as_str(), endpoint.address))
    }

    /// Digests of the requests at an endpoint, for a log line.
    pub(super) fn text_of(&self, endpoint: &str) -> String {
        let endpoint = self.by_endpoint.get(endpoint);
        let digests = endpoint.into_iter().flat_map(|endpoint| &endpoint.digests);
        let texts: Vec<String> = digests.map(ToString::to_string).collect();
        texts.join(",")
    }

    pub(super) fn remove(&mut self, endpoint: &str) {
        self.by_endpoint.remove(endpoint);
    }
}

/// The reports that tell of crashes beside what `first` holds, each of a size that
/// control takes.
pub(super) fn reports_of(first: QuarantineCommand, crashes: BrokenCalls) -> Vec<QuarantineCommand> {
    let mut reports = Vec::new();
    let mut report = first;
    let mut digests = report.answered.len() + report.refused.len();
    for (endpoint, broken) in crashes.by_endpoint {
        if digests + broken.digests.len() > MAX_SUSPECTS {
            reports.push(std::mem::take(&mut report));
            digests = 0;
        }
        digests += broken.digests.len();
        report.crashes.push(EndpointCrash {
            endpoint,
            digests: broken
                .digests
                .iter()
                .map(|digest| digest.to_bytes())
                .collect(),
        });
    }
    reports.push(report);
    reports.retain(|report| *report != QuarantineCommand::default());
    reports
}

#[cfg(test)]
#[path = "crash_report_tests.rs"]
mod tests;
