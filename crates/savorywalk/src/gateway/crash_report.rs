use super::crash_detector::{CallFailure, DecisionSender, FailedCall};
use crate::prelude::*;
use crate::quarantine::{
    EndpointCrash, MAX_CRASH_PARTS, MAX_PROMPT_PARTS, MAX_SUSPECTS, QuarantineCommand,
    RequestDigest, SuspectRequest,
};

/// Maximum number of digests in a log line, about a kilobyte.
const MAX_LOGGED_DIGESTS: usize = 32;

/// Failed calls of one batch, by endpoint.
#[derive(Debug, Default)]
pub(super) struct FailedCalls {
    by_endpoint: BTreeMap<String, FailedEndpoint>,
}

#[derive(Debug, Default)]
struct FailedEndpoint {
    address: Option<SocketAddr>,
    was_cut: bool,
    digests: BTreeSet<RequestDigest>,
    /// Those of the requests whose prompts have shared parts.
    prompts: BTreeMap<RequestDigest, SuspectRequest>,
    waiters: Vec<DecisionSender>,
}

/// A report to control, with the waits for control's decision on it.
#[derive(Debug, Default)]
pub(super) struct CrashReport {
    pub(super) command: QuarantineCommand,
    /// Dropping them ends the waits.
    pub(super) waiters: Vec<DecisionSender>,
}

impl FailedCalls {
    pub(super) fn add(&mut self, call: FailedCall, waiter: DecisionSender) {
        let endpoint = self.by_endpoint.entry(call.endpoint).or_default();
        endpoint.address = call.address;
        endpoint.was_cut |= call.failure == CallFailure::Cut;
        endpoint.waiters.push(waiter);
        if endpoint.digests.len() < MAX_SUSPECTS {
            endpoint.digests.insert(call.digest);
            endpoint.add_prompt(call.digest, call.prompt);
        }
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = (&str, Option<SocketAddr>)> {
        let endpoints = self.by_endpoint.iter();
        endpoints.map(|(name, endpoint)| (name.as_str(), endpoint.address))
    }

    /// Whether a call at an endpoint was cut, rather than only timed out.
    pub(super) fn was_cut(&self, endpoint: &str) -> bool {
        let endpoint = self.by_endpoint.get(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.was_cut)
    }

    /// Digests of the requests at an endpoint, for a log line. Beyond
    /// [`MAX_LOGGED_DIGESTS`] only their number is logged; each also has its own
    /// `attempt_failed` event.
    pub(super) fn digest_list(&self, endpoint: &str) -> String {
        let Some(endpoint) = self.by_endpoint.get(endpoint) else {
            return String::new();
        };
        let digests = endpoint.digests.iter().take(MAX_LOGGED_DIGESTS);
        let texts: Vec<String> = digests.map(ToString::to_string).collect();
        match endpoint.digests.len().saturating_sub(MAX_LOGGED_DIGESTS) {
            0 => texts.join(","),
            more => format!("{},+{more}", texts.join(",")),
        }
    }

    pub(super) fn remove(&mut self, endpoint: &str) {
        self.by_endpoint.remove(endpoint);
    }
}

impl FailedEndpoint {
    /// Adds the prompt of a request. Beyond [`MAX_CRASH_PARTS`], further ones are left out.
    fn add_prompt(&mut self, digest: RequestDigest, prompt: SuspectRequest) {
        let has_room = self.count_parts() + prompt.parts.len() <= MAX_CRASH_PARTS;
        if !prompt.parts.is_empty() && has_room {
            self.prompts.entry(digest).or_default().merge(prompt);
        }
    }

    fn count_parts(&self) -> usize {
        self.prompts.values().map(|prompt| prompt.parts.len()).sum()
    }
}

/// Builds the reports of crashes and of the requests in `observed`. Each has at most
/// [`MAX_SUSPECTS`] digests and [`MAX_CRASH_PARTS`] parts, since control rejects larger ones.
pub(super) fn build_reports(observed: QuarantineCommand, crashes: FailedCalls) -> Vec<CrashReport> {
    let mut reports = observed_reports(observed);
    let mut report = CrashReport::default();
    let (mut digests, mut parts) = (0, 0);
    for (endpoint, failed) in crashes.by_endpoint {
        let is_full = digests + failed.digests.len() > MAX_SUSPECTS
            || parts + failed.count_parts() > MAX_CRASH_PARTS;
        if is_full {
            reports.push(std::mem::take(&mut report));
            (digests, parts) = (0, 0);
        }
        digests += failed.digests.len();
        parts += failed.count_parts();
        report.waiters.extend(failed.waiters);
        report.command.crashes.push(EndpointCrash {
            endpoint,
            digests: failed
                .digests
                .iter()
                .map(|digest| digest.to_bytes())
                .collect(),
            prompts: failed
                .prompts
                .iter()
                .map(|(digest, prompt)| prompt.to_prompt(*digest))
                .collect(),
        });
    }
    reports.push(report);
    reports.retain(|report| report.command != QuarantineCommand::default());
    reports
}

/// Builds the reports of the answered and of the refused requests and parts.
fn observed_reports(observed: QuarantineCommand) -> Vec<CrashReport> {
    let answered = observed.answered.chunks(MAX_SUSPECTS).map(|answered| {
        let answered = answered.to_vec();
        QuarantineCommand {
            answered,
            ..Default::default()
        }
    });
    let refused = observed.refused.chunks(MAX_SUSPECTS).map(|refused| {
        let refused = refused.to_vec();
        QuarantineCommand {
            refused,
            ..Default::default()
        }
    });
    let prompts = observed.answered_prompts;
    let prompts = prompts.chunks(MAX_CRASH_PARTS / MAX_PROMPT_PARTS);
    let prompts = prompts.map(|prompts| QuarantineCommand {
        answered_prompts: prompts.to_vec(),
        ..Default::default()
    });
    let parts = observed.refused_parts.chunks(MAX_CRASH_PARTS);
    let parts = parts.map(|parts| QuarantineCommand {
        refused_parts: parts.to_vec(),
        ..Default::default()
    });
    let commands = answered.chain(refused).chain(prompts).chain(parts);
    let reports = commands.map(|command| CrashReport {
        command,
        waiters: Vec::new(),
    });
    reports.collect()
}

#[cfg(test)]
#[path = "crash_report_tests.rs"]
mod tests;
