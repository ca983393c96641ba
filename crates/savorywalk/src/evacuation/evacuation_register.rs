use super::{EvacuationCommand, EvacuationOutcome, EvacuationRecord, EvacuationSnapshot};
use crate::prelude::*;

/// Largest number of data centres with a record; several times the 19 of the target size.
const MAX_RECORDS: usize = 256;

/// Evacuations of data centres, as a part of the replicated state.
///
/// An order takes effect only if no other order on its data centre has been decided since it
/// was given. So a delayed copy of an order can't undo a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRegister {
    revision: u64,
    records: BTreeMap<String, EvacuationRecord>,
}

impl EvacuationRegister {
    /// Revision of the register; each order that is decided increases it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records of all data centres on which an order was decided, by name.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.records.values()
    }

    /// Number of orders that were decided on a data centre.
    pub fn order_count(&self, data_center: &str) -> u64 {
        let record = self.records.get(data_center);
        record.map_or(0, |record| record.orders)
    }

    /// Whether a data centre is evacuated, so that its endpoints get no new work.
    pub fn is_evacuated(&self, data_center: &str) -> bool {
        let record = self.records.get(data_center);
        record.is_some_and(|record| record.evacuated)
    }

    /// Names of the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.records().filter(|record| record.evacuated);
        evacuated.map(|record| record.data_center.as_str())
    }

    /// Applies an order. An order that doesn't change the state counts as decided, too: ending
    /// an evacuation that was never started must invalidate delayed copies of its start.
    pub fn apply(&mut self, command: &EvacuationCommand) -> EvacuationOutcome {
        let data_center = &command.data_center;
        let has_capacity =
            self.records.len() < MAX_RECORDS || self.records.contains_key(data_center);
        if has_capacity && self.order_count(data_center) == command.orders_before {
            self.revision += 1;
            let record = EvacuationRecord {
                data_center: data_center.clone(),
                evacuated: command.evacuated,
                orders: command.orders_before + 1,
            };
            self.records.insert(data_center.clone(), record);
        }
        EvacuationOutcome {
            in_force: self.is_evacuated(data_center) == command.evacuated,
            revision: self.revision,
        }
    }

    /// Converts the register for a snapshot of the log.
    pub fn snapshot(&self) -> EvacuationSnapshot {
        EvacuationSnapshot {
            revision: self.revision,
            records: self.records().cloned().collect(),
        }
    }

    /// Restores the register from a snapshot of the log.
    pub fn restore(snapshot: EvacuationSnapshot) -> Self {
        let records = snapshot.records.into_iter();
        Self {
            revision: snapshot.revision,
            records: records
                .map(|record| (record.data_center.clone(), record))
                .collect(),
        }
    }
}

#[cfg(test)]
#[path = "evacuation_register_tests.rs"]
mod tests;
