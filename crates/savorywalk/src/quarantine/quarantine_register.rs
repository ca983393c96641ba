use super::part_register::AnswerEffect;
use super::{
    CrashEvidence, CrashSuspect, PartId, PartRegister, QuarantineCommand, QuarantineOutcome,
    QuarantineSnapshot, QuarantinedRequest, RequestDigest, SuspectRequest,
};
use crate::prelude::*;

/// Largest number of requests in quarantine; the least recently received one is removed.
const MAX_REQUESTS: usize = 1_024;

/// Requests and prompt parts in quarantine, which no entry sends to an endpoint, and the evidence
/// against them.
///
/// The register is a part of the replicated state, so it survives the loss of every process. It
/// holds no times; the age of its records follows from their log indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineRegister {
    revision: u64,
    evidence: CrashEvidence,
    /// Log index at which each request was last received.
    requests: BTreeMap<RequestDigest, u64>,
    parts: PartRegister,
}

impl QuarantineRegister {
    /// Prompt parts that are watched, and those in quarantine.
    pub fn parts(&self) -> &PartRegister {
        &self.parts
    }

    /// Revision of the set of requests in quarantine; each command that changes it increases it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Digests of the requests in quarantine.
    pub fn digests(&self) -> impl Iterator<Item = &RequestDigest> {
        self.requests.keys()
    }

    /// Whether a request is in quarantine.
    pub fn contains(&self, digest: &RequestDigest) -> bool {
        self.requests.contains_key(digest)
    }

    /// Applies the command at `index` of the log, and returns which requests and parts it added and
    /// removed.
    pub fn apply(&mut self, index: u64, command: &QuarantineCommand) -> QuarantineOutcome {
        let before: BTreeSet<RequestDigest> = self.requests.keys().copied().collect();
        let parts_before = self.parts.clone();
        let mut has_changed = false;
        for digest in RequestDigest::read_all(&command.answered) {
            has_changed |= self.evidence.clear(&digest);
            self.requests.remove(&digest);
        }
        for digest in RequestDigest::read_all(&command.refused) {
            if let Some(last) = self.requests.get_mut(&digest) {
                *last = index;
            }
        }
        has_changed |= self.apply_parts(index, command);
        has_changed |= !command.crashes.is_empty();
        for crash in &command.crashes {
            let suspects = RequestDigest::read_all(&crash.digests);
            let prompts = crash.prompts.iter().filter_map(SuspectRequest::read);
            self.evidence
                .record(index, &crash.endpoint, suspects, prompts);
        }
        has_changed |= command.forget_through > 0;
        self.remove_through(command.forget_through);
        // Most reports are of answers and refusals that change nothing.
        if has_changed {
            self.update_culprits(index);
        }
        self.parts.set_revision(index, &parts_before);
        self.outcome(&before, &parts_before)
    }

    /// Applies what a command reports of answered and of refused prompts. Returns whether that
    /// changes what the crashes point to.
    fn apply_parts(&mut self, index: u64, command: &QuarantineCommand) -> bool {
        let mut has_changed = false;
        for prompt in &command.answered_prompts {
            for part in prompt.parts.iter().copied().map(PartId) {
                match self
                    .parts
                    .record_answered(index, part, prompt.part_revision)
                {
                    AnswerEffect::Cleared => self.evidence.clear_part(part),
                    AnswerEffect::Disputed => {}
                    AnswerEffect::Unchanged => continue,
                }
                has_changed = true;
            }
        }
        for part in command.refused_parts.iter().copied().map(PartId) {
            self.parts.record_refused(index, part);
        }
        has_changed
    }

    /// Whether any crash or request was last recorded at `index` or before.
    pub fn has_records_through(&self, index: u64) -> bool {
        let mut remaining = self.clone();
        remaining.remove_through(index);
        remaining != *self
    }

    fn remove_through(&mut self, index: u64) {
        self.evidence.remove_through(index);
        self.requests.retain(|_, last| *last > index);
        self.parts.remove_through(index);
    }

    fn update_culprits(&mut self, index: u64) {
        let (requests, parts) = (&self.requests, &self.parts);
        let is_known = |suspect: &CrashSuspect| match suspect {
            CrashSuspect::Request(digest) => requests.contains_key(digest),
            CrashSuspect::Part(part) => parts.contains(*part),
        };
        let findings = self.evidence.find_culprits(parts.watched(), is_known);
        // Releases requests that, by later crashes, were only victims beside a culprit.
        self.requests.retain(|digest, _| {
            let suspect = CrashSuspect::Request(*digest);
            findings.culprits.contains(&suspect) || !findings.candidates.contains(&suspect)
        });
        for culprit in &findings.culprits {
            if let CrashSuspect::Request(digest) = culprit {
                self.requests.entry(*digest).or_insert(index);
            }
        }
        self.parts.update(index, &findings, &self.evidence);
        while self.requests.len() > MAX_REQUESTS {
            let oldest = self.requests.iter().min_by_key(|(_, last)| **last);
            let Some(digest) = oldest.map(|(digest, _)| *digest) else {
                return;
            };
            self.evidence.clear(&digest);
            self.requests.remove(&digest);
        }
    }

    fn outcome(
        &mut self,
        before: &BTreeSet<RequestDigest>,
        parts_before: &PartRegister,
    ) -> QuarantineOutcome {
        let added = self.requests.keys();
        let added = added.filter(|digest| !before.contains(digest));
        let removed = before.iter();
        let removed = removed.filter(|digest| !self.contains(digest));
        let added: Vec<Bytes> = added.map(|digest| digest.to_bytes()).collect();
        let removed: Vec<Bytes> = removed.map(|digest| digest.to_bytes()).collect();
        if !added.is_empty() || !removed.is_empty() {
            self.revision += 1;
        }
        QuarantineOutcome {
            revision: self.revision,
            added,
            removed,
            part_revision: self.parts.revision(),
            added_parts: self.parts.quarantines_since(parts_before),
            removed_parts: self.parts.released_since(parts_before),
        }
    }

    /// Converts the register for a snapshot of the log.
    pub fn snapshot(&self) -> QuarantineSnapshot {
        let requests = self.requests.iter();
        let requests = requests.map(|(digest, index)| QuarantinedRequest {
            digest: digest.to_bytes(),
            index: *index,
        });
        QuarantineSnapshot {
            revision: self.revision,
            crashes: self.evidence.snapshot(),
            requests: requests.collect(),
            part_revision: self.parts.revision(),
            watched_parts: self.parts.watched_snapshot(),
            cleared_parts: self.parts.cleared_snapshot(),
            quarantined_parts: self.parts.quarantine_snapshot(),
        }
    }

    /// Restores the register from a snapshot of the log.
    pub fn restore(snapshot: QuarantineSnapshot) -> Self {
        let requests = snapshot.requests.into_iter();
        let requests = requests.filter_map(|request| {
            Some((RequestDigest::from_bytes(&request.digest)?, request.index))
        });
        Self {
            revision: snapshot.revision,
            evidence: CrashEvidence::restore(snapshot.crashes),
            requests: requests.collect(),
            parts: PartRegister::restore(
                snapshot.part_revision,
                &snapshot.watched_parts,
                &snapshot.cleared_parts,
                snapshot.quarantined_parts,
            ),
        }
    }
}

#[cfg(test)]
#[path = "quarantine_register_tests.rs"]
mod tests;
