use std::cmp::Reverse;

use super::crash_evidence::EndpointFailure;
use super::{CrashEvidence, PartId, PartWatch, RequestDigest};
use crate::prelude::*;

/// Smallest number of crashes that makes a request or a part a culprit. With two, a request that
/// was resent once beside a culprit would become one as well.
const MIN_CULPRIT_CRASHES: usize = 3;

/// Smallest number of different requests that makes their common part a culprit. A single request
/// is blamed itself.
const MIN_PART_REQUESTS: usize = 2;

/// Smallest number of crashes that makes a part a culprit if an answer disputes it. Engines that crash
/// for another reason do so several times until an answer to a request that was sent while the part was
/// watched clears it.
const MIN_DISPUTED_CRASHES: usize = 12;

/// Number of crashes from which a part is watched, if no other part explains them.
const WATCH_CRASHES: usize = 2;

/// What may cause crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// All requests with a part in their prompts.
    Part(PartId),
    /// One request, each time it is sent.
    Request(RequestDigest),
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(formatter, "part:{part}"),
            Self::Request(digest) => write!(formatter, "{digest}"),
        }
    }
}

/// What the crashes point to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashFindings {
    /// Suspects that were present at enough crashes to be the cause of them.
    pub candidates: BTreeSet<CrashSuspect>,
    /// Those of the candidates that are considered the cause.
    pub culprits: BTreeSet<CrashSuspect>,
    /// Parts at crashes that no other part explains, with the number of these crashes. A request
    /// that explains them may itself have been blamed for one of its parts.
    pub open_parts: BTreeMap<PartId, usize>,
    /// Parts that were at as many crashes, whatever explains these.
    pub present_parts: BTreeSet<PartId>,
}

impl CrashEvidence {
    /// Finds the requests and the parts that caused the crashes. Among suspects of one kind to which
    /// they point equally, one that `is_known` as a culprit is chosen first. The next crash corrects
    /// a wrong choice, since the victim is absent from it.
    ///
    /// Only one of the `watched` parts can be a culprit, if it crashed an endpoint since then. Until
    /// it has, other parts are not blamed for the same crashes, but requests are.
    pub fn find_culprits(
        &self,
        watched: &BTreeMap<PartId, PartWatch>,
        is_known: impl Fn(&CrashSuspect) -> bool,
    ) -> CrashFindings {
        CulpritSearch::new(self, watched, is_known).run()
    }
}

/// The search for culprits among the suspects of all crashes.
struct CulpritSearch<'a, F> {
    crashes: Vec<&'a EndpointFailure>,
    watched: &'a BTreeMap<PartId, PartWatch>,
    is_known: F,
    /// Presence of each suspect at crashes that are not explained, in their order.
    presence: BTreeMap<CrashSuspect, Vec<SuspectPresence>>,
}

/// A request by which a suspect was present at a crash.
struct SuspectPresence {
    /// Position of the crash.
    crash: usize,
    digest: RequestDigest,
    /// Whether its answer had begun.
    begun: bool,
    /// Revision of the part lists that its entry had when it sent the request.
    part_revision: u64,
}

impl<'a, F: Fn(&CrashSuspect) -> bool> CulpritSearch<'a, F> {
    fn new(
        evidence: &'a CrashEvidence,
        watched: &'a BTreeMap<PartId, PartWatch>,
        is_known: F,
    ) -> Self {
        let crashes: Vec<&EndpointFailure> = evidence.crashes().collect();
        let mut presence: BTreeMap<CrashSuspect, Vec<SuspectPresence>> = BTreeMap::new();
        for (position, crash) in crashes.iter().enumerate() {
            for (suspect, present) in presence_at(position, crash) {
                presence.entry(suspect).or_default().push(present);
            }
        }
        Self {
            crashes,
            watched,
            is_known,
            presence,
        }
    }

    fn run(mut self) -> CrashFindings {
        let suspects = self.presence.keys().copied();
        let candidates = suspects.filter(|suspect| self.is_candidate(suspect));
        let mut findings = CrashFindings {
            candidates: candidates.collect(),
            present_parts: self.present_parts(),
            ..Default::default()
        };
        while let Some(suspect) = self.top_candidate(&findings.candidates) {
            let is_proven = self.is_proven(&suspect);
            self.explain(suspect, is_proven);
            if is_proven {
                findings.culprits.insert(suspect);
            }
        }
        findings.open_parts = self.open_parts(&findings.culprits);
        findings
    }

    fn presence_of(&self, suspect: &CrashSuspect) -> &[SuspectPresence] {
        self.presence.get(suspect).map_or(&[], Vec::as_slice)
    }

    /// Number of unexplained crashes at which a suspect was present.
    fn count(&self, suspect: &CrashSuspect) -> usize {
        count_crashes(self.presence_of(suspect).iter())
    }

    /// Whether the unexplained crashes suffice to blame a suspect.
    fn is_candidate(&self, suspect: &CrashSuspect) -> bool {
        if self.count(suspect) < MIN_CULPRIT_CRASHES {
            return false;
        }
        match suspect {
            CrashSuspect::Request(_) => true,
            CrashSuspect::Part(_) => self.count_requests(suspect) >= MIN_PART_REQUESTS,
        }
    }

    /// Whether an answer disputes a suspect, and its crashes are too few in spite of it.
    fn is_disputed(&self, suspect: &CrashSuspect) -> bool {
        let CrashSuspect::Part(part) = suspect else {
            return false;
        };
        let watch = self.watched.get(part);
        watch.is_some_and(|watch| watch.is_disputed) && self.count(suspect) < MIN_DISPUTED_CRASHES
    }

    /// Number of different requests by which a suspect was present.
    fn count_requests(&self, suspect: &CrashSuspect) -> usize {
        let digests = self.presence_of(suspect).iter();
        let digests = digests.map(|present| present.digest);
        digests.collect::<FastSet<RequestDigest>>().len()
    }

    /// Whether a suspect is a request, or a part with which a request was sent that crashed an
    /// endpoint while the part was watched.
    fn is_proven(&self, suspect: &CrashSuspect) -> bool {
        let CrashSuspect::Part(part) = suspect else {
            return true;
        };
        let Some(watch) = self.watched.get(part) else {
            return false;
        };
        let mut presence = self.presence_of(suspect).iter();
        presence.any(|present| present.part_revision >= watch.since)
    }

    /// The candidate to which the crashes point most strongly, if they still suffice to blame it.
    fn top_candidate(&self, candidates: &BTreeSet<CrashSuspect>) -> Option<CrashSuspect> {
        let candidates = candidates.iter();
        let remaining =
            candidates.filter(|suspect| self.is_candidate(suspect) && !self.is_disputed(suspect));
        let top = remaining.max_by_key(|suspect| {
            let crashes = self.count(suspect);
            let requests = self.count_requests(suspect);
            // The cause of a crash is one request, so a part that several requests at one crash
            // have is more likely to be a popular one beside it.
            let surplus = requests.saturating_sub(crashes);
            let begun = self.presence_of(suspect).iter();
            let begun = begun.filter(|present| present.begun);
            (
                2 * crashes as isize - surplus as isize,
                matches!(suspect, CrashSuspect::Request(_)),
                Reverse(requests),
                (self.is_known)(suspect),
                count_crashes(begun),
                **suspect,
            )
        });
        top.copied()
    }

    /// Removes the crashes that a suspect explains from those of the others. One that is not proven
    /// yet explains nothing for requests.
    fn explain(&mut self, culprit: CrashSuspect, is_proven: bool) {
        let presence = self.presence.remove(&culprit).unwrap_or_default();
        let explained: BTreeSet<usize> = presence.iter().map(|present| present.crash).collect();
        for (suspect, presence) in &mut self.presence {
            if is_proven || matches!(suspect, CrashSuspect::Part(_)) {
                presence.retain(|present| !explained.contains(&present.crash));
            }
        }
    }

    fn present_parts(&self) -> BTreeSet<PartId> {
        let present = self.presence.keys().filter_map(|suspect| match suspect {
            CrashSuspect::Part(part) if self.count(suspect) >= WATCH_CRASHES => Some(*part),
            CrashSuspect::Part(_) | CrashSuspect::Request(_) => None,
        });
        present.collect()
    }

    fn open_parts(&self, culprits: &BTreeSet<CrashSuspect>) -> BTreeMap<PartId, usize> {
        let mut counts = BTreeMap::new();
        for crash in &self.crashes {
            let prompts = crash.prompts.values();
            let parts: BTreeSet<PartId> =
                prompts.flat_map(|prompt| &prompt.parts).copied().collect();
            let is_culprit = |part: &PartId| culprits.contains(&CrashSuspect::Part(*part));
            if !parts.iter().any(is_culprit) {
                for part in parts {
                    *counts.entry(part).or_default() += 1;
                }
            }
        }
        counts.retain(|_, count| *count >= WATCH_CRASHES);
        counts
    }
}

/// Number of different crashes; the presences are in the order of the crashes.
fn count_crashes<'a>(presence: impl Iterator<Item = &'a SuspectPresence>) -> usize {
    let mut last = None;
    let first_at = presence.filter(|present| last.replace(present.crash) != Some(present.crash));
    first_at.count()
}

/// All requests at a crash, and the parts of their prompts.
fn presence_at(
    position: usize,
    crash: &EndpointFailure,
) -> impl Iterator<Item = (CrashSuspect, SuspectPresence)> {
    let requests = crash.suspects.iter().map(move |digest| {
        let prompt = crash.prompts.get(digest);
        let present = SuspectPresence {
            crash: position,
            digest: *digest,
            begun: prompt.is_some_and(|prompt| prompt.begun),
            part_revision: 0,
        };
        (CrashSuspect::Request(*digest), present)
    });
    let parts = crash.prompts.iter().flat_map(move |(digest, prompt)| {
        prompt.parts.iter().map(move |part| {
            let present = SuspectPresence {
                crash: position,
                digest: *digest,
                begun: prompt.begun,
                part_revision: prompt.part_revision,
            };
            (CrashSuspect::Part(*part), present)
        })
    });
    requests.chain(parts)
}

#[cfg(test)]
#[path = "culprit_search_tests.rs"]
mod tests;
