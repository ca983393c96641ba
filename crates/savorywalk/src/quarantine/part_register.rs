use super::{
    ClearedPart, CrashEvidence, CrashFindings, CrashSuspect, PartId, PartQuarantine,
    QuarantinedPart, WatchedPart,
};
use crate::prelude::*;

/// Largest number of watched parts; those at the fewest crashes are left out.
const MAX_WATCHED: usize = 1_024;

/// Largest number of parts in quarantine; the least recently received one is removed.
const MAX_PART_QUARANTINES: usize = 256;

/// Largest number of cleared parts that are remembered; the one cleared the longest ago is removed.
const MAX_CLEARED: usize = 1_024;

/// What is known of a watched part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartWatch {
    /// Index of the command since which it is watched.
    pub since: u64,
    /// Whether a request with it, which was sent before, has been answered since then, or an answer
    /// has cleared it earlier.
    pub is_disputed: bool,
}

/// What an answer to a request with a part changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEffect {
    /// The part crashes no endpoint.
    Cleared,
    /// The part takes more crashes to be blamed.
    Disputed,
    /// The part is not watched, or was disputed already.
    Unchanged,
}

/// Prompt parts that are watched, and those in quarantine, as a part of the replicated state.
/// See docs/design/quarantined-parts.md.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartRegister {
    revision: u64,
    watched: BTreeMap<PartId, PartWatch>,
    /// Log index at which an answer cleared each part last.
    cleared: BTreeMap<PartId, u64>,
    quarantined: BTreeMap<PartId, HeldPart>,
}

/// A part in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldPart {
    /// Parts that it has always come with; only requests with all of them are refused.
    companions: BTreeSet<PartId>,
    /// Log index at which it was last received.
    index: u64,
}

impl PartRegister {
    /// Index of the last command that changed the lists; 0 for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The watched parts.
    pub fn watched(&self) -> &BTreeMap<PartId, PartWatch> {
        &self.watched
    }

    /// Whether a part is in quarantine.
    pub fn contains(&self, part: PartId) -> bool {
        self.quarantined.contains_key(&part)
    }

    /// The parts in quarantine.
    pub fn quarantines(&self) -> impl Iterator<Item = PartQuarantine> {
        self.quarantined.iter().map(|(part, held)| PartQuarantine {
            part: part.0,
            companions: held.companions.iter().map(|part| part.0).collect(),
        })
    }

    /// Records at `index` that a request with a part was answered, which was sent by the lists of
    /// `revision`. Clears the part if it was watched then; else disputes it.
    pub(super) fn record_answered(
        &mut self,
        index: u64,
        part: PartId,
        revision: u64,
    ) -> AnswerEffect {
        let Some(watch) = self.watched.get_mut(&part) else {
            return AnswerEffect::Unchanged;
        };
        if watch.since > revision {
            return match std::mem::replace(&mut watch.is_disputed, true) {
                true => AnswerEffect::Unchanged,
                false => AnswerEffect::Disputed,
            };
        }
        self.watched.remove(&part);
        self.remember_cleared(index, part);
        self.quarantined.remove(&part);
        for held in self.quarantined.values_mut() {
            held.companions.remove(&part);
        }
        AnswerEffect::Cleared
    }

    fn remember_cleared(&mut self, index: u64, part: PartId) {
        self.cleared.insert(part, index);
        if self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().min_by_key(|(_, index)| **index);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.cleared.remove(&oldest);
            }
        }
    }

    /// Records that a request with a quarantined part was received at `index`.
    pub(super) fn record_refused(&mut self, index: u64, part: PartId) {
        if let Some(held) = self.quarantined.get_mut(&part) {
            held.index = index;
        }
    }

    /// Removes the quarantines that were last received at `index` or before.
    pub(super) fn remove_through(&mut self, index: u64) {
        self.quarantined.retain(|_, held| held.index > index);
        self.cleared.retain(|_, cleared| *cleared > index);
    }

    /// Updates the lists by what the crashes point to.
    pub(super) fn update(
        &mut self,
        index: u64,
        findings: &CrashFindings,
        evidence: &CrashEvidence,
    ) {
        // Releases parts that, by later crashes, were only present beside a culprit.
        self.quarantined.retain(|part, _| {
            let suspect = CrashSuspect::Part(*part);
            findings.culprits.contains(&suspect) || !findings.candidates.contains(&suspect)
        });
        for culprit in &findings.culprits {
            if let CrashSuspect::Part(part) = culprit {
                self.quarantined.entry(*part).or_insert(HeldPart {
                    companions: BTreeSet::new(),
                    index,
                });
            }
        }
        for (part, held) in &mut self.quarantined {
            if let Some(companions) = evidence.companions(*part) {
                held.companions = companions;
            }
        }
        while self.quarantined.len() > MAX_PART_QUARANTINES {
            let oldest = self.quarantined.iter().min_by_key(|(_, held)| held.index);
            let Some(part) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.quarantined.remove(&part);
        }
        self.update_watched(index, findings);
    }

    fn update_watched(&mut self, index: u64, findings: &CrashFindings) {
        let mut parts: BTreeSet<PartId> = BTreeSet::new();
        for (part, held) in &self.quarantined {
            parts.insert(*part);
            parts.extend(&held.companions);
        }
        // A part that another one explains stays watched, so that what is known of it is kept while
        // the reports of a crash arrive one by one.
        let watched = self.watched.keys();
        parts.extend(watched.filter(|part| findings.present_parts.contains(part)));
        let mut open: Vec<(PartId, usize)> = findings
            .open_parts
            .iter()
            .map(|(part, crashes)| (*part, *crashes))
            .collect();
        open.sort_by_key(|(part, crashes)| (std::cmp::Reverse(*crashes), *part));
        let free = MAX_WATCHED.saturating_sub(parts.len());
        parts.extend(open.into_iter().take(free).map(|(part, _)| part));
        let (known, cleared) = (&self.watched, &self.cleared);
        let watch = |part: &PartId| {
            let new = PartWatch {
                since: index,
                is_disputed: cleared.contains_key(part),
            };
            known.get(part).copied().unwrap_or(new)
        };
        self.watched = parts.iter().map(|part| (*part, watch(part))).collect();
    }

    /// The quarantines that `before` has not, or has with other companions.
    pub(super) fn quarantines_since(&self, before: &Self) -> Vec<PartQuarantine> {
        let known: Vec<PartQuarantine> = before.quarantines().collect();
        self.quarantines()
            .filter(|quarantine| !known.contains(quarantine))
            .collect()
    }

    /// Ids of the parts that are in quarantine in `before` and no longer.
    pub(super) fn released_since(&self, before: &Self) -> Vec<u64> {
        let parts = before.quarantined.keys();
        let released = parts.filter(|part| !self.contains(**part));
        released.map(|part| part.0).collect()
    }

    /// Sets the revision to `index` if the lists differ from those of `before`, which has an
    /// earlier revision.
    pub(super) fn set_revision(&mut self, index: u64, before: &Self) {
        let is_same = self.watched_since() == before.watched_since()
            && self.quarantines().eq(before.quarantines());
        if !is_same {
            self.revision = index;
        }
    }

    fn watched_since(&self) -> Vec<(PartId, u64)> {
        let watched = self.watched.iter();
        watched.map(|(part, watch)| (*part, watch.since)).collect()
    }

    /// The watched parts of the register, for a snapshot of the log.
    pub(super) fn watched_snapshot(&self) -> Vec<WatchedPart> {
        let watched = self.watched.iter();
        let watched = watched.map(|(part, watch)| WatchedPart {
            part: part.0,
            since: watch.since,
            disputed: watch.is_disputed,
        });
        watched.collect()
    }

    /// The cleared parts of the register, for a snapshot of the log.
    pub(super) fn cleared_snapshot(&self) -> Vec<ClearedPart> {
        let cleared = self.cleared.iter();
        let cleared = cleared.map(|(part, index)| ClearedPart {
            part: part.0,
            index: *index,
        });
        cleared.collect()
    }

    /// The quarantined parts of the register, for a snapshot of the log.
    pub(super) fn quarantine_snapshot(&self) -> Vec<QuarantinedPart> {
        let quarantined = self.quarantines().zip(self.quarantined.values());
        let quarantined = quarantined.map(|(quarantine, held)| QuarantinedPart {
            quarantine: Some(quarantine),
            index: held.index,
        });
        quarantined.collect()
    }

    /// Restores the register from the parts of a snapshot.
    pub(super) fn restore(
        revision: u64,
        watched: &[WatchedPart],
        cleared: &[ClearedPart],
        quarantined: Vec<QuarantinedPart>,
    ) -> Self {
        let watched = watched.iter().map(|watched| {
            let watch = PartWatch {
                since: watched.since,
                is_disputed: watched.disputed,
            };
            (PartId(watched.part), watch)
        });
        let quarantined = quarantined.into_iter().filter_map(|part| {
            let PartQuarantine {
                part: id,
                companions,
            } = part.quarantine?;
            let held = HeldPart {
                companions: companions.into_iter().map(PartId).collect(),
                index: part.index,
            };
            Some((PartId(id), held))
        });
        Self {
            revision,
            watched: watched.collect(),
            cleared: cleared
                .iter()
                .map(|cleared| (PartId(cleared.part), cleared.index))
                .collect(),
            quarantined: quarantined.collect(),
        }
    }
}

#[cfg(test)]
#[path = "part_register_tests.rs"]
mod tests;
