use super::ListMachine;
use crate::consensus::{EntryKind, LogEntry, ReplicaCore, ReplicaId, ReplicaRole};
use crate::prelude::*;

/// A guarantee that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// Two replicas were leaders in one term.
    TwoLeaders { term: u64 },
    /// Two replicas applied different entries at one index.
    DifferentEntries { index: u64 },
    /// A leader lacks an entry that was applied in an earlier term.
    LeaderIncomplete { term: u64, index: u64 },
    /// Two logs have the same term at an index but differ there or before.
    LogsDiffer { index: u64 },
    /// A snapshot differs from the commands applied up to its index.
    WrongSnapshot { index: u64 },
    /// A read missed an entry that was acknowledged or read before its request.
    StaleRead { index: u64, floor: u64 },
    /// An acknowledged command is missing at the end.
    LostCommand { command: u64 },
    /// Fewer voters run than a majority takes, though one replica was lost at a time.
    NoMajorityRuns { voters: usize, running: usize },
    /// A run had more than `MAX_EVENTS` events.
    NoProgress,
    /// The replicas had no leader or different states after all faults had ended.
    NotConverged,
    /// A replica could not recover from its disk after a crash.
    Unrecoverable { error: String },
}

/// An entry, as the first replica applied it.
#[derive(Clone, Debug)]
struct AppliedEntry {
    entry: LogEntry,
    /// Term of that replica; the entry was committed in this term or before.
    term: u64,
}

/// Checks the history of everything that was applied, acknowledged and read.
#[derive(Debug, Default)]
pub(super) struct HistoryCheck {
    leaders: FastMap<u64, ReplicaId>,
    applied: BTreeMap<u64, AppliedEntry>,
    acknowledged: Vec<u64>,
    observed_index: u64,
    pub(super) checks: u64,
    violation: Option<Violation>,
}

impl HistoryCheck {
    pub(super) fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    pub(super) fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    fn expect(&mut self, holds: bool, violation: impl FnOnce() -> Violation) {
        self.checks += 1;
        if !holds {
            self.report(violation());
        }
    }

    /// Lowest index that a read requested now must return.
    pub(super) fn read_floor(&self) -> u64 {
        self.observed_index
    }

    pub(super) fn on_read(&mut self, index: u64, floor: u64) {
        self.expect(index >= floor, || Violation::StaleRead { index, floor });
        self.observed_index = self.observed_index.max(index);
    }

    pub(super) fn on_acknowledged(&mut self, index: u64, command: u64) {
        self.acknowledged.push(command);
        self.observed_index = self.observed_index.max(index);
    }

    /// Checks election safety and leader completeness.
    pub(super) fn on_core(&mut self, core: &ReplicaCore) {
        if core.role() != ReplicaRole::Leader {
            return;
        }
        let term = core.term();
        match self.leaders.get(&term).copied() {
            Some(leader) => {
                self.expect(leader == core.id(), || Violation::TwoLeaders { term });
            }
            None => {
                self.leaders.insert(term, core.id());
                self.check_completeness(core);
            }
        }
    }

    fn check_completeness(&mut self, core: &ReplicaCore) {
        let term = core.term();
        let base = core.log.base_index();
        let missing = self.applied.range(base + 1..).find(|(index, applied)| {
            applied.term < term && core.log.get(**index) != Some(&applied.entry)
        });
        let missing = missing.map(|(index, _)| *index);
        self.expect(missing.is_none(), || Violation::LeaderIncomplete {
            term,
            index: missing.unwrap_or_default(),
        });
    }

    pub(super) fn on_applied(&mut self, term: u64, entry: &LogEntry) {
        let index = entry.index;
        let first = self.applied.entry(index).or_insert_with(|| AppliedEntry {
            entry: entry.clone(),
            term,
        });
        let is_same = first.entry == *entry;
        self.expect(is_same, || Violation::DifferentEntries { index });
    }

    pub(super) fn on_restored(&mut self, index: u64, machine: &ListMachine) {
        let is_same = self.machine_at(index) == *machine;
        self.expect(is_same, || Violation::WrongSnapshot { index });
    }

    fn machine_at(&self, index: u64) -> ListMachine {
        let mut machine = ListMachine::default();
        let entries = self
            .applied
            .range(..=index)
            .map(|(_, applied)| &applied.entry);
        for entry in entries.filter(|entry| entry.kind() == EntryKind::Command) {
            machine.apply(&entry.payload);
        }
        machine
    }

    /// Checks log matching between two replicas.
    pub(super) fn on_logs(&mut self, a: &ReplicaCore, b: &ReplicaCore) {
        let base = a.log.base_index().max(b.log.base_index());
        let last = a.log.last_index().min(b.log.last_index());
        let last_match =
            (base + 1..=last).rfind(|index| a.log.term_at(*index) == b.log.term_at(*index));
        let Some(last_match) = last_match else { return };
        let differs = (base + 1..=last_match).find(|index| a.log.get(*index) != b.log.get(*index));
        self.expect(differs.is_none(), || Violation::LogsDiffer {
            index: differs.unwrap_or_default(),
        });
    }

    /// Checks that `machine` has every acknowledged command.
    pub(super) fn on_end(&mut self, machine: &ListMachine) {
        let present: FastSet<u64> = machine.commands.iter().copied().collect();
        let lost = self
            .acknowledged
            .iter()
            .find(|command| !present.contains(command));
        if let Some(command) = lost.copied() {
            self.report(Violation::LostCommand { command });
        }
        self.checks += self.acknowledged.len() as u64;
    }

    pub(super) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }
}
