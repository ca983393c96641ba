use super::{
    ClaimAnswer, ClaimAnswerDropped, ClaimBatch, ClaimBatchOutcome, ClaimCall, ClaimConflict,
    ClaimDecision, ClaimFinish, ClaimGranted, ClaimKey, ClaimLimits, ClaimOrphaned, ClaimOutcome,
    ClaimOwner, ClaimRecord, ClaimRecorded, ClaimRefusal, ClaimRelease, ClaimRequest, ClaimRunning,
    ClaimStep, ClaimTableSnapshot, ClaimUnknown, EntryLease, EntryRecord,
};
use crate::prelude::*;

/// The only log group of today.
const SHARD: u32 = 0;
const DIGEST_BYTES: usize = 32;
const RUN_BYTES: usize = 16;
/// Longest workspace name or idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Claims that one call forgets at most, so that its time is bounded.
const EXPIRED_PER_CALL: usize = 16;

/// Who may run which non-idempotent request, as a state machine without I/O.
///
/// A key is granted once. Only its expiry, or a release by the run that holds
/// it, which says that no part ran, makes it free again.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    limits: ClaimLimits,
    /// Claims in the order in which they were made, which is that of expiry.
    claims: BTreeMap<u64, ClaimRecord>,
    sequences: BTreeMap<ClaimKey, u64>,
    workspaces: BTreeMap<String, usize>,
    entries: BTreeMap<String, EntryRecord>,
    /// Claims whose answers are kept, oldest answer first.
    answered: VecDeque<u64>,
    answer_bytes: usize,
    next_sequence: u64,
}

impl ClaimTable {
    /// An empty table.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            claims: BTreeMap::new(),
            sequences: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            entries: BTreeMap::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
            next_sequence: 0,
        }
    }

    /// Applies a batch; `now_ms` never goes back from call to call.
    pub fn apply(
        &mut self,
        now_ms: u64,
        retention: Duration,
        batch: ClaimBatch,
    ) -> ClaimBatchOutcome {
        let right_shard = batch.shard == SHARD;
        let outcomes = batch.calls.into_iter().map(|call| {
            let decision = match right_shard {
                true => self.call(now_ms, retention, call),
                false => refused(ClaimRefusal::WrongShard),
            };
            outcome(decision)
        });
        ClaimBatchOutcome {
            outcomes: outcomes.collect(),
        }
    }

    fn call(&mut self, now_ms: u64, retention: Duration, call: ClaimCall) -> ClaimDecision {
        self.expire(now_ms, retention);
        match call.call {
            Some(ClaimStep::Claim(request)) => self.claim(now_ms, request),
            Some(ClaimStep::Finish(finish)) => self.finish(finish),
            Some(ClaimStep::Release(release)) => self.release(&release),
            None => refused(ClaimRefusal::Malformed),
        }
    }

    fn claim(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimDecision {
        let (Some(key), Some(owner)) = (request.key, request.owner) else {
            return refused(ClaimRefusal::Malformed);
        };
        let sizes_fit = request.digest.len() == DIGEST_BYTES && request.run.len() == RUN_BYTES;
        if !sizes_fit || !key_fits(&key) {
            return refused(ClaimRefusal::Malformed);
        }
        if let Some(known) = self.record(&key) {
            return self.decision(now_ms, known, &request.digest, &request.run);
        }
        if !self.is_alive(now_ms, &owner) {
            return refused(ClaimRefusal::NotRegistered);
        }
        let held = self.workspaces.get(&key.workspace).copied().unwrap_or(0);
        if self.claims.len() >= self.limits.claims || held >= self.limits.workspace_claims {
            return refused(ClaimRefusal::Full);
        }
        self.insert(ClaimRecord {
            key: Some(key),
            digest: request.digest,
            owner: Some(owner),
            run: request.run,
            claimed_ms: now_ms,
            finished: false,
            answer: None,
            sequence: self.next_sequence,
        });
        self.next_sequence += 1;
        ClaimDecision::Granted(ClaimGranted {})
    }

    /// What a resend of a known key is told.
    fn decision(
        &self,
        now_ms: u64,
        known: &ClaimRecord,
        digest: &[u8],
        run: &[u8],
    ) -> ClaimDecision {
        if known.digest != digest {
            return ClaimDecision::Conflict(ClaimConflict {});
        }
        if known.run == run && !known.finished {
            return ClaimDecision::Granted(ClaimGranted {});
        }
        self.state(now_ms, known)
    }

    fn state(&self, now_ms: u64, known: &ClaimRecord) -> ClaimDecision {
        let owner = known.owner.clone().unwrap_or_default();
        match &known.answer {
            Some(answer) => ClaimDecision::Answered(answer.clone()),
            None if known.finished => ClaimDecision::AnswerDropped(ClaimAnswerDropped {}),
            None if self.is_alive(now_ms, &owner) => {
                ClaimDecision::Running(ClaimRunning { owner: Some(owner) })
            }
            None => ClaimDecision::Orphaned(ClaimOrphaned { owner: Some(owner) }),
        }
    }

    /// What is known of a key, without a change.
    pub fn look_up(&self, now_ms: u64, key: &ClaimKey) -> ClaimOutcome {
        let decision = match self.record(key) {
            Some(known) => self.state(now_ms, known),
            None => ClaimDecision::Unknown(ClaimUnknown {}),
        };
        outcome(decision)
    }

    /// Records an answer, also of a claimant whose lease has run out: what it
    /// did is done, and a resend should learn of it.
    fn finish(&mut self, finish: ClaimFinish) -> ClaimDecision {
        let Some(sequence) = self.held(finish.key.as_ref(), &finish.run) else {
            return refused(ClaimRefusal::NotHolder);
        };
        let Some(record) = self.claims.get_mut(&sequence) else {
            return refused(ClaimRefusal::NotHolder);
        };
        if record.finished {
            return ClaimDecision::Recorded(ClaimRecorded {});
        }
        record.finished = true;
        let fits = |answer: &ClaimAnswer| answer.body.len() <= self.limits.largest_answer;
        record.answer = finish.answer.filter(fits);
        if let Some(answer) = &record.answer {
            self.answer_bytes += answer.body.len();
            self.answered.push_back(sequence);
            self.drop_answers();
        }
        ClaimDecision::Recorded(ClaimRecorded {})
    }

    fn release(&mut self, release: &ClaimRelease) -> ClaimDecision {
        let Some(sequence) = self.held(release.key.as_ref(), &release.run) else {
            return refused(ClaimRefusal::NotHolder);
        };
        let finished = self.claims.get(&sequence).is_some_and(|it| it.finished);
        if finished {
            return refused(ClaimRefusal::NotHolder);
        }
        self.remove(sequence);
        ClaimDecision::Recorded(ClaimRecorded {})
    }

    /// Registers an entry or renews its lease; tells whether it counts.
    pub fn renew(&mut self, now_ms: u64, lease: EntryLease) -> bool {
        let Some(owner) = lease.owner else {
            return false;
        };
        let known = self.entries.get(&owner.entry);
        let known_incarnation = known
            .and_then(|known| known.owner.as_ref())
            .map(|owner| owner.incarnation);
        if known_incarnation.is_some_and(|known| known > owner.incarnation) {
            return false;
        }
        if known.is_none() && !self.make_room(now_ms) {
            return false;
        }
        let expires_ms = now_ms.saturating_add(lease.lease_ms.into());
        let record = EntryRecord {
            owner: Some(owner.clone()),
            expires_ms,
        };
        self.entries.insert(owner.entry, record);
        true
    }

    /// Forgets dead entries when the table of entries is full. Their claims
    /// stay, and count as those of the dead.
    fn make_room(&mut self, now_ms: u64) -> bool {
        if self.entries.len() >= self.limits.entries {
            self.entries.retain(|_, entry| now_ms < entry.expires_ms);
        }
        self.entries.len() < self.limits.entries
    }

    fn is_alive(&self, now_ms: u64, owner: &ClaimOwner) -> bool {
        self.entries
            .get(&owner.entry)
            .is_some_and(|entry| entry.owner.as_ref() == Some(owner) && now_ms < entry.expires_ms)
    }

    fn record(&self, key: &ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(self.sequences.get(key)?)
    }

    fn held(&self, key: Option<&ClaimKey>, run: &[u8]) -> Option<u64> {
        let record = self.record(key?)?;
        (record.run == run).then_some(record.sequence)
    }

    fn insert(&mut self, record: ClaimRecord) {
        let key = record.key.clone().unwrap_or_default();
        *self.workspaces.entry(key.workspace.clone()).or_default() += 1;
        self.sequences.insert(key, record.sequence);
        self.claims.insert(record.sequence, record);
    }

    fn remove(&mut self, sequence: u64) {
        let Some(record) = self.claims.remove(&sequence) else {
            return;
        };
        if let Some(answer) = record.answer {
            self.answer_bytes -= answer.body.len();
        }
        let Some(key) = record.key else {
            return;
        };
        self.sequences.remove(&key);
        if let Some(count) = self.workspaces.get_mut(&key.workspace) {
            *count -= 1;
            if *count == 0 {
                self.workspaces.remove(&key.workspace);
            }
        }
    }

    fn expire(&mut self, now_ms: u64, retention: Duration) {
        let retention_ms = retention.as_millis() as u64;
        for _ in 0..EXPIRED_PER_CALL {
            let Some((&sequence, oldest)) = self.claims.first_key_value() else {
                return;
            };
            if oldest.claimed_ms.saturating_add(retention_ms) > now_ms {
                return;
            }
            self.remove(sequence);
        }
    }

    /// Drops the oldest answers until the rest fits.
    fn drop_answers(&mut self) {
        while self.answered.len() > self.limits.answers
            || self.answer_bytes > self.limits.answer_bytes
        {
            let Some(sequence) = self.answered.pop_front() else {
                return;
            };
            let record = self.claims.get_mut(&sequence);
            if let Some(answer) = record.and_then(|record| record.answer.take()) {
                self.answer_bytes -= answer.body.len();
            }
        }
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Answers kept.
    pub fn answers(&self) -> usize {
        let kept = |sequence: &&u64| {
            let record = self.claims.get(sequence);
            record.is_some_and(|record| record.answer.is_some())
        };
        self.answered.iter().filter(kept).count()
    }

    /// Bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Entries whose lease runs at `now_ms`.
    pub fn live_entries(&self, now_ms: u64) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| now_ms < entry.expires_ms).count()
    }

    /// The whole table as a message.
    pub fn snapshot(&self) -> ClaimTableSnapshot {
        ClaimTableSnapshot {
            claims: self.claims.values().cloned().collect(),
            entries: self.entries.values().cloned().collect(),
            answered: self.answered.iter().copied().collect(),
            next_sequence: self.next_sequence,
        }
    }

    /// The table that a snapshot was taken of.
    pub fn restore(limits: ClaimLimits, snapshot: ClaimTableSnapshot) -> Self {
        let mut table = Self::new(limits);
        table.next_sequence = snapshot.next_sequence;
        table.answered = snapshot.answered.into();
        for entry in snapshot.entries {
            let name = entry.owner.as_ref().map(|owner| owner.entry.clone());
            table.entries.insert(name.unwrap_or_default(), entry);
        }
        for record in snapshot.claims {
            let answer = record.answer.as_ref();
            table.answer_bytes += answer.map_or(0, |answer| answer.body.len());
            table.insert(record);
        }
        table
    }
}

fn key_fits(key: &ClaimKey) -> bool {
    let fits = |text: &str| !text.is_empty() && text.len() <= MAX_KEY_BYTES;
    fits(&key.workspace) && fits(&key.key)
}

fn refused(refusal: ClaimRefusal) -> ClaimDecision {
    ClaimDecision::Refused(refusal.into())
}

fn outcome(decision: ClaimDecision) -> ClaimOutcome {
    ClaimOutcome {
        outcome: Some(decision),
    }
}

#[cfg(test)]
#[path = "claim_table_tests.rs"]
mod tests;
