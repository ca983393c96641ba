use super::SimulatedFleet;
use super::simulated_fleet::FleetEvent;
use crate::prelude::*;
use crate::quarantine::{EndpointCrash, QuarantineCommand, RequestDigest, RequestIdentity};

/// Time between a crash and its report by the entry: until the call fails, the endpoint is
/// probed and the failures of other calls are collected.
const REPORT_DELAY: Duration = Duration::from_millis(60);

/// Time in which a registry batches reports, has them decided and applies the decision.
const DECISION_DELAY: Duration = Duration::from_millis(40);

/// Pause before an entry sends a report again.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The request that crashes each endpoint that begins it.
pub(super) fn crashing_request() -> RequestDigest {
    RequestDigest::from_bytes(&[1; 16]).expect("the bytes of a digest")
}

/// A crashing request that arrives again and again.
impl SimulatedFleet {
    /// Delivers the request to an entry, which sends it to an endpoint unless it is
    /// quarantined there.
    pub(super) fn resend(&mut self, entry: usize) {
        let identity = RequestIdentity::new(crashing_request(), std::iter::empty());
        let list = self.entries[entry].state.quarantine();
        let is_quarantined = list.find(&identity).is_some();
        if is_quarantined {
            return;
        }
        self.check.record_crashing_send(self.now, entry);
        self.crashes += 1;
        let report = QuarantineCommand {
            crashes: vec![EndpointCrash {
                endpoint: format!("crashed-{}", self.crashes),
                digests: vec![crashing_request().to_bytes()],
                prompts: Vec::new(),
            }],
            ..Default::default()
        };
        let incarnation = self.entries[entry].incarnation;
        let event = FleetEvent::Report {
            entry,
            incarnation,
            report,
        };
        self.after(REPORT_DELAY, event);
    }

    /// Sends a report to the registry that the entry follows, and again later if it can't be
    /// decided.
    pub(super) fn report_crash(
        &mut self,
        entry: usize,
        incarnation: u64,
        report: QuarantineCommand,
    ) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let target = self.entries[entry].ring.current();
        let mut members = self.members.iter();
        let registry = members.position(|member| Some(member) == target);
        let is_up = registry.is_some_and(|registry| self.registries[registry].is_up);
        match is_up && self.has_majority() {
            true => self.after(DECISION_DELAY, FleetEvent::Decide { report }),
            false => self.after(
                REPORT_RETRY_PAUSE,
                FleetEvent::Report {
                    entry,
                    incarnation,
                    report,
                },
            ),
        }
    }

    /// Applies a decision of the log at all registries.
    pub(super) fn decide(&mut self, report: &QuarantineCommand) {
        self.commands += 1;
        self.quarantine.apply(self.commands, report);
        for registry in 0..self.registries.len() {
            if self.registries[registry].is_up {
                self.registries[registry].quarantine = self.quarantine.clone();
                self.release_behind(registry);
            }
        }
    }
}
