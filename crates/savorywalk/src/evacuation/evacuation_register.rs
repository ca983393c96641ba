use super::{EvacuationCommand, EvacuationOutcome, EvacuationRecord, EvacuationSnapshot};
use crate::prelude::*;

/// Most data centres with a record; several times the target's 19.
const MAX_RECORDS: usize = 256;

/// Evacuations as the replicated log has decided them.
///
/// An order counts only if no other one on its data centre was decided since it came, so
/// that a copy which was held up inside the system can't undo a later order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationRegister {
    revision: u64,
    records: BTreeMap<String, EvacuationRecord>,
}

impl EvacuationRegister {
    /// Grows with each order that is decided.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// One record for each data centre that orders were given on.
    pub fn records(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.records.values()
    }

    /// How many orders were decided on a data centre.
    pub fn orders_on(&self, data_center: &str) -> u64 {
        let record = self.records.get(data_center);
        record.map_or(0, |record| record.orders)
    }

    /// Whether the endpoints of a data centre get no new work.
    pub fn is_evacuated(&self, data_center: &str) -> bool {
        let record = self.records.get(data_center);
        record.is_some_and(|record| record.evacuated)
    }

    /// The data centres that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.records().filter(|record| record.evacuated);
        evacuated.map(|record| record.data_center.as_str())
    }

    /// Takes an order. One that changes nothing counts as decided, too: an end without a
    /// start must outdo the copies of a start that may still be on their way.
    pub fn apply(&mut self, command: &EvacuationCommand) -> EvacuationOutcome {
        let data_center = &command.data_center;
        let has_room = self.records.len() < MAX_RECORDS || self.records.contains_key(data_center);
        if has_room && self.orders_on(data_center) == command.orders_before {
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

    /// The form that a snapshot of the log carries.
    pub fn snapshot(&self) -> EvacuationSnapshot {
        EvacuationSnapshot {
            revision: self.revision,
            records: self.records().cloned().collect(),
        }
    }

    /// Reads the form that a snapshot of the log carries.
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
