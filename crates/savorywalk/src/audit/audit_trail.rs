use super::{AuditRecord, AuditReply, AuditTrailSnapshot, GENESIS_HASH, record_hash};
use crate::prelude::*;

/// Records kept; at 1,200 changes a day with as many orders, a week. Older
/// ones are read in time and kept by whoever needs them.
const MAX_RECORDS: usize = 16_384;
/// Most records in one reply.
const MAX_REPLY: usize = 1_000;
/// Longest detail of a record, in bytes.
const MAX_DETAIL_BYTES: usize = 1_024;

/// What happened, before it is a record.
#[derive(Clone, Copy, Debug)]
pub struct AuditEvent<'a> {
    /// The leader's stamp, in milliseconds since 1970.
    pub stamp_ms: u64,
    /// Index of the command in the log.
    pub index: u64,
    /// Who did it.
    pub author: &'a str,
    /// Kind of change.
    pub kind: &'a str,
    /// What it was done to.
    pub subject: &'a str,
    /// What became of it.
    pub outcome: &'a str,
    /// More, for a reader.
    pub detail: &'a str,
}

/// The newest records of the trail, chained by hashes.
#[derive(Clone, Debug, Default)]
pub struct AuditTrail {
    records: VecDeque<AuditRecord>,
    base_sequence: u64,
    base_hash: String,
}

impl AuditTrail {
    /// Adds a record.
    pub fn append(&mut self, event: AuditEvent<'_>) {
        let mut record = AuditRecord {
            sequence: self.last_sequence() + 1,
            stamp_ms: event.stamp_ms,
            index: event.index,
            author: event.author.into(),
            kind: event.kind.into(),
            subject: event.subject.into(),
            outcome: event.outcome.into(),
            detail: truncated(event.detail).into(),
            previous_hash: self.last_hash().into(),
            hash: String::new(),
        };
        record.hash = record_hash(&record);
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS
            && let Some(dropped) = self.records.pop_front()
        {
            self.base_sequence = dropped.sequence;
            self.base_hash = dropped.hash;
        }
    }

    /// Number of the newest record; 0 before the first.
    pub fn last_sequence(&self) -> u64 {
        self.base_sequence + self.records.len() as u64
    }

    fn last_hash(&self) -> &str {
        let base = match self.base_sequence {
            0 => GENESIS_HASH,
            _ => &self.base_hash,
        };
        self.records.back().map_or(base, |record| &record.hash)
    }

    /// Records after the one numbered `after`, as far back as they are kept.
    pub fn read(&self, after: u64, limit: usize) -> AuditReply {
        let skipped = after.saturating_sub(self.base_sequence) as usize;
        let records = self.records.iter().skip(skipped).take(limit.min(MAX_REPLY));
        let before = skipped.checked_sub(1).and_then(|i| self.records.get(i));
        AuditReply {
            base_sequence: self.base_sequence,
            previous_hash: before.map_or_else(|| self.base_hash.clone(), |it| it.hash.clone()),
            last_sequence: self.last_sequence(),
            records: records.cloned().collect(),
        }
    }

    /// The trail as a message.
    pub fn snapshot(&self) -> AuditTrailSnapshot {
        AuditTrailSnapshot {
            records: self.records.iter().cloned().collect(),
            base_sequence: self.base_sequence,
            base_hash: self.base_hash.clone(),
        }
    }

    /// The trail that a snapshot was taken of.
    pub fn restore(snapshot: AuditTrailSnapshot) -> Self {
        Self {
            records: snapshot.records.into(),
            base_sequence: snapshot.base_sequence,
            base_hash: snapshot.base_hash,
        }
    }
}

/// The start of a text, cut between characters.
fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_DETAIL_BYTES)]
}

#[cfg(test)]
#[path = "audit_trail_tests.rs"]
mod tests;
