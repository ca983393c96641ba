use super::{CrashSuspect, PartId, PartQuarantine, RequestDigest, RequestIdentity};
use crate::prelude::*;

/// What an entry knows of the quarantine: the requests and the prompt parts that it sends to no
/// endpoint, and the parts that are watched. The two have revisions of their own, since control
/// daemons of earlier versions know no parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineList {
    revision: u64,
    requests: BTreeSet<RequestDigest>,
    part_revision: u64,
    watched: BTreeSet<PartId>,
    parts: BTreeMap<PartId, BTreeSet<PartId>>,
}

impl QuarantineList {
    /// Replaces the requests, unless `revision` is older than the known one. Returns whether it did.
    pub fn apply_requests(&mut self, revision: u64, digests: &[Bytes]) -> bool {
        let is_newer = revision > self.revision;
        if is_newer {
            self.revision = revision;
            self.requests = RequestDigest::read_all(digests).collect();
        }
        is_newer
    }

    /// Replaces the parts, unless `revision` is older than the known one. Returns whether it did.
    pub fn apply_parts(
        &mut self,
        revision: u64,
        watched: &[u64],
        quarantines: &[PartQuarantine],
    ) -> bool {
        let is_newer = revision > self.part_revision;
        if is_newer {
            self.part_revision = revision;
            self.watched = watched.iter().copied().map(PartId).collect();
            let parts = quarantines.iter().map(|quarantine| {
                let companions = quarantine.companions.iter().copied();
                (PartId(quarantine.part), companions.map(PartId).collect())
            });
            self.parts = parts.collect();
        }
        is_newer
    }

    /// Revision of the requests; 0 for none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the parts; 0 for none.
    pub fn part_revision(&self) -> u64 {
        self.part_revision
    }

    /// Why a request is sent to no endpoint; `None` if it may be sent.
    pub fn find(&self, identity: &RequestIdentity) -> Option<CrashSuspect> {
        if self.requests.contains(&identity.digest) {
            return Some(CrashSuspect::Request(identity.digest));
        }
        let mut parts = identity.parts.iter();
        let quarantined = parts.find(|part| {
            let companions = self.parts.get(part);
            companions.is_some_and(|companions| companions.is_subset(&identity.parts))
        });
        quarantined.copied().map(CrashSuspect::Part)
    }

    /// The parts of a request that are watched.
    pub fn watched_parts(&self, identity: &RequestIdentity) -> BTreeSet<PartId> {
        &self.watched & identity.parts.as_ref()
    }

    /// The requests and the parts in quarantine.
    pub fn suspects(&self) -> BTreeSet<CrashSuspect> {
        let requests = self.requests.iter().copied().map(CrashSuspect::Request);
        let parts = self.parts.keys().copied().map(CrashSuspect::Part);
        requests.chain(parts).collect()
    }

    /// Number of requests in quarantine.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Number of watched parts.
    pub fn watched_count(&self) -> usize {
        self.watched.len()
    }

    /// Number of parts in quarantine.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }
}

#[cfg(test)]
#[path = "quarantine_list_tests.rs"]
mod tests;
