use super::FleetPlan;
use crate::prelude::*;
use crate::registry::{BootTime, FollowState};

/// Time without a disturbance after which the bounds apply to an entry.
const MIN_UNDISTURBED: Duration = Duration::from_secs(5);

/// Endpoints that a request may crash before it must be quarantined.
const MAX_CRASHES: usize = 3;

/// Time after the last of these crashes within which all entries must have the quarantine.
const QUARANTINE_BOUND: Duration = Duration::from_secs(3);

/// Sends that are allowed after that.
const MAX_LATE_SENDS: usize = 3;

/// Checks the guarantees on entries and registries during a run.
#[derive(Debug)]
pub(super) struct FleetCheck {
    /// Committed documents with the time of their commit.
    committed: Vec<(Duration, u64)>,
    retired: Vec<(Duration, String)>,
    /// Begun (true) and ended evacuations of data centres, with their times.
    evacuations: Vec<(Duration, String, bool)>,
    /// Sends of the crashing request so far.
    crashing_sends: usize,
    /// Time of the last send that is allowed before the quarantine.
    last_allowed_crash: Option<Duration>,
    /// Sends by undisturbed entries later than [`QUARANTINE_BOUND`] after that.
    pub(super) late_sends: usize,
    newest_seen: Vec<u64>,
    disturbed: Vec<Duration>,
    control_disturbed: Duration,
    in_force_bound: Duration,
    drain_bound: Duration,
    evacuation_bound: Duration,
    pub(super) worst_evacuation: Duration,
    pub(super) worst_in_force: Duration,
    pub(super) violations: Vec<String>,
}

impl FleetCheck {
    pub(super) fn new(plan: &FleetPlan) -> Self {
        Self {
            committed: Vec::new(),
            retired: Vec::new(),
            evacuations: Vec::new(),
            crashing_sends: 0,
            last_allowed_crash: None,
            late_sends: 0,
            newest_seen: vec![0; plan.entries],
            disturbed: vec![Duration::ZERO; plan.entries],
            control_disturbed: Duration::ZERO,
            in_force_bound: plan.in_force_bound,
            drain_bound: plan.drain_bound,
            evacuation_bound: plan.evacuation_bound,
            worst_evacuation: Duration::ZERO,
            worst_in_force: Duration::ZERO,
            violations: Vec::new(),
        }
    }

    pub(super) fn record_committed(&mut self, now: Duration, number: u64) {
        self.committed.push((now, number));
    }

    pub(super) fn record_retired(&mut self, now: Duration, endpoint: String) {
        self.retired.push((now, endpoint));
    }

    pub(super) fn record_evacuated(&mut self, now: Duration, data_center: String, evacuated: bool) {
        self.evacuations.push((now, data_center, evacuated));
    }

    /// Finds evacuations that are not in force at an entry within their bound.
    fn check_evacuations(&mut self, now: Duration, entry: usize, state: &FollowState) {
        let mut newest: BTreeMap<&str, (Duration, bool)> = BTreeMap::new();
        for (at, data_center, evacuated) in &self.evacuations {
            newest.insert(data_center, (*at, *evacuated));
        }
        let mut violations = Vec::new();
        for (data_center, (at, evacuated)) in newest {
            let age = now - at;
            let is_known = state.evacuations().is_evacuated(data_center) == evacuated;
            if !is_known {
                self.worst_evacuation = self.worst_evacuation.max(age);
            }
            if !is_known && age >= self.evacuation_bound {
                violations.push(format!(
                    "{data_center} is not in the ordered state after {age:?}"
                ));
            }
        }
        for violation in violations {
            self.record_violation(now, entry, violation);
        }
    }

    /// Records that an entry sends the crashing request to one more endpoint.
    pub(super) fn record_crashing_send(&mut self, now: Duration, entry: usize) {
        self.crashing_sends += 1;
        if self.crashing_sends == MAX_CRASHES {
            self.last_allowed_crash = Some(now);
        }
        let due = self
            .last_allowed_crash
            .map(|last_allowed_crash| last_allowed_crash + QUARANTINE_BOUND);
        if due.is_some_and(|due| now > due) && self.is_undisturbed(now, entry) {
            self.late_sends += 1;
            if self.late_sends > MAX_LATE_SENDS {
                self.record_violation(now, entry, "a crashing request is sent".into());
            }
        }
    }

    pub(super) fn record_entry_disturbed(&mut self, until: Duration, entry: usize) {
        self.disturbed[entry] = self.disturbed[entry].max(until);
    }

    pub(super) fn record_control_disturbed(&mut self, until: Duration) {
        self.control_disturbed = self.control_disturbed.max(until);
    }

    pub(super) fn record_restart(&mut self, entry: usize) {
        self.newest_seen[entry] = 0;
    }

    /// Checks that the document number never decreases and that the confirmation is true.
    pub(super) fn check_reply(&mut self, now: Duration, entry: usize, state: &FollowState) {
        let number = state.document_number();
        let before = self.newest_seen[entry];
        if number < before {
            self.record_violation(now, entry, format!("document {number} after {before}"));
        }
        if number > before {
            self.newest_seen[entry] = number;
            let committed = self.committed.iter().find(|(_, known)| *known == number);
            let age = committed.map_or(Duration::ZERO, |(at, _)| now.saturating_sub(*at));
            if self.is_undisturbed(now, entry) {
                self.worst_in_force = self.worst_in_force.max(age);
            }
        }
        let Some(confirmation) = state.confirmation() else {
            return;
        };
        let older = self.committed.iter().find(|(at, number)| {
            *number > confirmation.document_number && BootTime::after(*at) < confirmation.at
        });
        if let Some((at, number)) = older {
            let text = format!("confirmed without document {number} of {at:?}");
            self.record_violation(now, entry, text);
        }
    }

    /// Checks that changes are in force, and that retired endpoints are unknown, within their
    /// bounds.
    pub(super) fn check_bounds(&mut self, now: Duration, entry: usize, state: &FollowState) {
        if !self.is_undisturbed(now, entry) {
            return;
        }
        let due = |at: Duration, bound: Duration| at + bound <= now;
        let newest = self
            .committed
            .iter()
            .filter(|(at, _)| due(*at, self.in_force_bound));
        let newest = newest.map(|(_, number)| *number).max().unwrap_or(0);
        if state.document_number() < newest {
            let text = format!(
                "document {} in force, not {newest}",
                state.document_number()
            );
            self.record_violation(now, entry, text);
        }
        self.check_evacuations(now, entry, state);
        let retired: FastSet<&str> = self
            .retired
            .iter()
            .filter(|(at, _)| due(*at, self.drain_bound))
            .map(|(_, endpoint)| endpoint.as_str())
            .collect();
        let mut known = state.endpoints();
        if let Some(retired) = known.find(|known| retired.contains(known.report.id.as_str())) {
            let text = format!("{} still gets work", retired.report.id);
            self.record_violation(now, entry, text);
        }
    }

    pub(super) fn is_undisturbed(&self, now: Duration, entry: usize) -> bool {
        now >= self.disturbed[entry].max(self.control_disturbed) + MIN_UNDISTURBED
    }

    pub(super) fn record_violation(&mut self, now: Duration, entry: usize, violation: String) {
        self.violations
            .push(format!("{now:?} entry {entry}: {violation}"));
    }
}

#[cfg(test)]
#[path = "fleet_check_tests.rs"]
mod tests;
