use super::{CrashRecord, PartId, RequestDigest, SuspectRequest};
use crate::prelude::*;

/// Largest number of crashes kept; the oldest is dropped. A few suffice to find a culprit.
const MAX_CRASHES: usize = 256;

/// Largest number of requests kept for one crash; several times what an engine runs at once.
pub const MAX_SUSPECTS: usize = 512;

/// Largest number of prompt parts kept for one crash, and in one report.
pub const MAX_CRASH_PARTS: usize = 1_024;

/// Requests that were in progress at each crash of an endpoint, from which the requests and the
/// prompt parts that cause crashes are found.
///
/// A crash ends all requests at the endpoint, so most of them are victims. The request, or the
/// prompt part, that was present at the most crashes is considered their cause. These crashes then
/// no longer count against the others, so a victim that was resent beside a culprit is not blamed.
/// See docs/design/quarantine.md and docs/design/quarantined-parts.md.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    crashes: VecDeque<EndpointFailure>,
}

/// The crash of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EndpointFailure {
    endpoint: String,
    index: u64,
    /// Requests that were in progress.
    pub(super) suspects: BTreeSet<RequestDigest>,
    /// Those of them whose prompts have shared parts.
    pub(super) prompts: BTreeMap<RequestDigest, SuspectRequest>,
}

impl CrashEvidence {
    /// Records requests that were in progress when an incarnation crashed. `index` is the log
    /// index of the report. Several entries may report the same crash.
    pub fn record(
        &mut self,
        index: u64,
        endpoint: &str,
        suspects: impl IntoIterator<Item = RequestDigest>,
        prompts: impl IntoIterator<Item = (RequestDigest, SuspectRequest)>,
    ) {
        let mut crashes = self.crashes.iter_mut();
        if let Some(known) = crashes.find(|crash| crash.endpoint == endpoint) {
            known.index = index;
            known.add(suspects, prompts);
            return;
        }
        let mut crash = EndpointFailure {
            endpoint: endpoint.to_string(),
            index,
            suspects: BTreeSet::new(),
            prompts: BTreeMap::new(),
        };
        crash.add(suspects, prompts);
        self.crashes.push_back(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Removes a request from all crashes, because it was answered and so caused none. Returns
    /// whether it was at any.
    pub fn clear(&mut self, digest: &RequestDigest) -> bool {
        let mut was_present = false;
        for crash in &mut self.crashes {
            was_present |= crash.suspects.remove(digest);
            crash.prompts.remove(digest);
        }
        was_present
    }

    /// Removes a prompt part from all crashes, because a request with it was answered.
    pub fn clear_part(&mut self, part: PartId) {
        let prompts = self.crashes.iter_mut();
        for prompt in prompts.flat_map(|crash| crash.prompts.values_mut()) {
            prompt.parts.remove(&part);
        }
    }

    /// Removes the crashes that were last reported at `index` or before.
    pub fn remove_through(&mut self, index: u64) {
        self.crashes.retain(|crash| crash.index > index);
    }

    /// The crashes, oldest first.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &EndpointFailure> {
        self.crashes.iter()
    }

    /// Parts that were in every prompt in which `part` was, and that no answer has cleared; `None`
    /// without evidence of `part`.
    pub fn companions(&self, part: PartId) -> Option<BTreeSet<PartId>> {
        let prompts = self
            .crashes
            .iter()
            .flat_map(|crash| crash.prompts.values())
            .filter(|prompt| prompt.parts.contains(&part));
        let common = prompts
            .map(|prompt| prompt.parts.clone())
            .reduce(|common, parts| &common & &parts);
        common.map(|mut common| {
            common.remove(&part);
            common
        })
    }

    /// Converts the evidence for a snapshot of the log.
    pub fn snapshot(&self) -> Vec<CrashRecord> {
        let records = self.crashes.iter().map(|crash| CrashRecord {
            endpoint: crash.endpoint.clone(),
            index: crash.index,
            digests: crash
                .suspects
                .iter()
                .map(|digest| digest.to_bytes())
                .collect(),
            prompts: crash
                .prompts
                .iter()
                .map(|(digest, prompt)| prompt.to_prompt(*digest))
                .collect(),
        });
        records.collect()
    }

    /// Restores the evidence from a snapshot of the log.
    pub fn restore(records: Vec<CrashRecord>) -> Self {
        let crashes = records.into_iter().map(|record| EndpointFailure {
            endpoint: record.endpoint,
            index: record.index,
            suspects: RequestDigest::read_all(&record.digests).collect(),
            prompts: record
                .prompts
                .iter()
                .filter_map(SuspectRequest::read)
                .collect(),
        });
        Self {
            crashes: crashes.collect(),
        }
    }
}

impl EndpointFailure {
    fn add(
        &mut self,
        suspects: impl IntoIterator<Item = RequestDigest>,
        prompts: impl IntoIterator<Item = (RequestDigest, SuspectRequest)>,
    ) {
        for suspect in suspects {
            if self.suspects.len() < MAX_SUSPECTS {
                self.suspects.insert(suspect);
            }
        }
        let mut parts: usize = self.prompts.values().map(|prompt| prompt.parts.len()).sum();
        for (digest, prompt) in prompts {
            parts += prompt.parts.len();
            if parts > MAX_CRASH_PARTS || self.prompts.len() >= MAX_SUSPECTS {
                return;
            }
            self.prompts.entry(digest).or_default().merge(prompt);
        }
    }
}

#[cfg(test)]
#[path = "crash_evidence_tests.rs"]
mod tests;
