use super::EvacuationRecord;
use crate::prelude::*;

/// Evacuations as reported to an entry by control.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationView {
    revision: u64,
    evacuated: BTreeSet<String>,
    /// When this entry received the end of the last evacuation, by data centre.
    ended: BTreeMap<String, Instant>,
}

impl EvacuationView {
    /// Revision of the records that were applied last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Names of the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a data centre is evacuated, so that its endpoints get no new work.
    pub fn is_evacuated(&self, data_center: &str) -> bool {
        self.evacuated.contains(data_center)
    }

    /// When this entry received the end of the data centre's last evacuation. `None` if there
    /// was none or it is still in force.
    pub fn ended_at(&self, data_center: &str) -> Option<Instant> {
        self.ended.get(data_center).copied()
    }

    /// Applies the records if their revision is newer than the last one, and returns whether
    /// it is.
    pub fn apply(&mut self, now: Instant, revision: u64, records: &[EvacuationRecord]) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        for record in records {
            self.apply_record(now, record);
        }
        true
    }

    fn apply_record(&mut self, now: Instant, record: &EvacuationRecord) {
        let data_center = &record.data_center;
        if record.evacuated {
            self.ended.remove(data_center);
            if self.evacuated.insert(data_center.clone()) {
                log_event!(info, "evacuation_in_force", data_center = data_center);
            }
            return;
        }
        let was_evacuated = self.evacuated.remove(data_center);
        if was_evacuated {
            log_event!(info, "evacuation_ended", data_center = data_center);
        }
        // An entry that has just started can't tell when the evacuation ended, so it uses `now`.
        if was_evacuated || !self.ended.contains_key(data_center) {
            self.ended.insert(data_center.clone(), now);
        }
    }
}

#[cfg(test)]
#[path = "evacuation_view_tests.rs"]
mod tests;
