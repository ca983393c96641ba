use std::cmp::Reverse;

use super::crash_evidence::EndpointFailure;
use super::{CrashEvidence, PartId, RequestDigest};
use crate::prelude::*;

/// Smallest number of crashes that makes a request or a part a culprit. With two, a request that
/// was resent once beside a culprit would become one as well.
const MIN_CULPRIT_CRASHES: usize = 3;

/// Smallest number of different requests that makes their common part a culprit. A single request
/// is blamed itself.
const MIN_PART_REQUESTS: usize = 2;

/// Number of unexplained crashes from which a part is watched.
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
    /// Parts at crashes that no culprit explains, with the number of these crashes.
    pub open_parts: BTreeMap<PartId, usize>,
}

impl CrashEvidence {
    /// Finds the requests and the parts that caused the crashes. Among suspects of one kind that
    /// explain equally many crashes, one that `is_known` as a culprit is chosen first. The next
    /// crash corrects a wrong choice, since the victim is absent from it.
    ///
    /// `watched` names the watched parts and the revision of the part lists since which each is.
    /// Only a part that crashed an endpoint while it was watched can be a culprit.
    pub fn find_culprits(
        &self,
        watched: &BTreeMap<PartId, u64>,
        is_known: impl Fn(&CrashSuspect) -> bool,
    ) -> CrashFindings {
        CulpritSearch::new(self, watched, is_known).run()
    }
}

/// The search for culprits among the suspects of all crashes.
struct CulpritSearch<'a, F> {
    crashes: Vec<&'a EndpointFailure>,
    watched: &'a BTreeMap<PartId, u64>,
    is_known: F,
    /// Unexplained crashes at which each suspect was present, by position.
    presence: BTreeMap<CrashSuspect, BTreeSet<usize>>,
}

impl<'a, F: Fn(&CrashSuspect) -> bool> CulpritSearch<'a, F> {
    fn new(evidence: &'a CrashEvidence, watched: &'a BTreeMap<PartId, u64>, is_known: F) -> Self {
        let crashes: Vec<&EndpointFailure> = evidence.crashes().collect();
        let mut presence: BTreeMap<CrashSuspect, BTreeSet<usize>> = BTreeMap::new();
        for (position, crash) in crashes.iter().enumerate() {
            for suspect in suspects_of(crash) {
                presence.entry(suspect).or_default().insert(position);
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
        let mut findings = CrashFindings {
            candidates: suspects
                .filter(|suspect| self.is_candidate(suspect))
                .collect(),
            ..Default::default()
        };
        while let Some(culprit) = self.top_candidate(&findings.candidates) {
            self.explain(culprit);
            findings.culprits.insert(culprit);
        }
        findings.open_parts = self.open_parts();
        findings
    }

    fn presence_of(&self, suspect: &CrashSuspect) -> impl Iterator<Item = &'a EndpointFailure> {
        let positions = self.presence.get(suspect).into_iter().flatten();
        positions.map(|position| self.crashes[*position])
    }

    fn count(&self, suspect: &CrashSuspect) -> usize {
        self.presence.get(suspect).map_or(0, BTreeSet::len)
    }

    /// Whether the unexplained crashes suffice to blame a suspect.
    fn is_candidate(&self, suspect: &CrashSuspect) -> bool {
        if self.count(suspect) < MIN_CULPRIT_CRASHES {
            return false;
        }
        match suspect {
            CrashSuspect::Request(_) => true,
            CrashSuspect::Part(part) => {
                self.count_requests(suspect) >= MIN_PART_REQUESTS && self.crashed_watched(*part)
            }
        }
    }

    /// Number of different requests with a suspect at its crashes.
    fn count_requests(&self, suspect: &CrashSuspect) -> usize {
        let CrashSuspect::Part(part) = suspect else {
            return 1;
        };
        let prompts = self.presence_of(suspect).flat_map(|crash| &crash.prompts);
        let digests = prompts
            .filter(|(_, prompt)| prompt.parts.contains(part))
            .map(|(digest, _)| *digest);
        digests.collect::<BTreeSet<RequestDigest>>().len()
    }

    /// Number of its crashes at which an answer to a request with a suspect had begun.
    fn count_begun(&self, suspect: &CrashSuspect) -> usize {
        let had_begun = |crash: &&EndpointFailure| match suspect {
            CrashSuspect::Request(digest) => {
                let prompt = crash.prompts.get(digest);
                prompt.is_some_and(|prompt| prompt.begun)
            }
            CrashSuspect::Part(part) => {
                let mut prompts = crash.prompts.values();
                prompts.any(|prompt| prompt.begun && prompt.parts.contains(part))
            }
        };
        self.presence_of(suspect).filter(had_begun).count()
    }

    /// Whether a request that was sent while the part was watched is among those at its crashes.
    fn crashed_watched(&self, part: PartId) -> bool {
        let Some(since) = self.watched.get(&part) else {
            return false;
        };
        let suspect = CrashSuspect::Part(part);
        let crashes = self.presence_of(&suspect);
        let mut prompts = crashes.flat_map(|crash| crash.prompts.values());
        prompts.any(|prompt| prompt.part_revision >= *since && prompt.parts.contains(&part))
    }

    /// The candidate that explains the most crashes, if they still suffice to blame it.
    fn top_candidate(&self, candidates: &BTreeSet<CrashSuspect>) -> Option<CrashSuspect> {
        let candidates = candidates.iter();
        let remaining = candidates.filter(|suspect| self.is_candidate(suspect));
        let top = remaining.max_by_key(|suspect| {
            (
                self.count(suspect),
                matches!(suspect, CrashSuspect::Request(_)),
                // A part that many requests have is more likely to be beside the cause.
                Reverse(self.count_requests(suspect)),
                (self.is_known)(suspect),
                self.count_begun(suspect),
                **suspect,
            )
        });
        top.copied()
    }

    /// Removes the crashes that a culprit explains from those of all suspects.
    fn explain(&mut self, culprit: CrashSuspect) {
        for position in self.presence.remove(&culprit).into_iter().flatten() {
            for suspect in suspects_of(self.crashes[position]) {
                if let Some(presence) = self.presence.get_mut(&suspect) {
                    presence.remove(&position);
                }
            }
        }
    }

    fn open_parts(&self) -> BTreeMap<PartId, usize> {
        let presence = self.presence.iter();
        let open = presence.filter_map(|(suspect, crashes)| match suspect {
            CrashSuspect::Part(part) if crashes.len() >= WATCH_CRASHES => {
                Some((*part, crashes.len()))
            }
            CrashSuspect::Part(_) | CrashSuspect::Request(_) => None,
        });
        open.collect()
    }
}

/// All requests at a crash, and the parts of their prompts.
fn suspects_of(crash: &EndpointFailure) -> impl Iterator<Item = CrashSuspect> {
    let requests = crash.suspects.iter().copied().map(CrashSuspect::Request);
    let parts = crash.prompts.values().flat_map(|prompt| &prompt.parts);
    requests.chain(parts.copied().map(CrashSuspect::Part))
}

#[cfg(test)]
#[path = "culprit_search_tests.rs"]
mod tests;
