use super::{EndpointDigest, EndpointIncarnation};
use crate::hashing::stable_hash;
use crate::prelude::*;

/// The control daemon at which an endpoint announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum ReportSource {
    /// This daemon.
    Own,
    /// Another control daemon, by its name.
    Member(Arc<str>),
    /// No known daemon.
    Unknown,
}

/// Digests of the live endpoints of each control daemon, as far as known here.
///
/// A daemon sends the others one digest of the endpoints that announce themselves at it
/// instead of a heartbeat for each of them, so that the traffic does not grow with their
/// number.
#[derive(Debug, Default)]
pub(super) struct SourceDigests {
    own_digest: EndpointDigest,
    members: FastMap<Arc<str>, MemberSource>,
}

/// Result of comparing a reported digest with what is listed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOutcome {
    /// It matches what is listed here.
    Listed,
    /// It differs, which is expected for a moment after a change.
    Unsettled,
    /// It differs repeatedly, or nothing of the member is listed yet: its list must be
    /// requested.
    Unlisted,
}

/// Differing digests in a row after which the list is requested: an endpoint that has just
/// joined or left is known to daemons at different times.
const MISMATCHES_UNTIL_UNLISTED: u32 = 2;

#[derive(Debug, Default)]
struct MemberSource {
    listed: EndpointDigest,
    /// When its digest or list last matched what is listed here.
    confirmed_at: Option<Instant>,
    /// Whether its endpoints were marked silent since then.
    is_lost: bool,
    /// Number of differing digests in a row.
    mismatches: u32,
}

impl EndpointDigest {
    fn add(&mut self, incarnation: u64) {
        self.count += 1;
        self.digest ^= incarnation;
    }

    fn remove(&mut self, incarnation: u64) {
        self.count = self.count.saturating_sub(1);
        self.digest ^= incarnation;
    }
}

/// The value that an incarnation contributes to a digest.
pub(super) fn digest_part(incarnation: &EndpointIncarnation) -> u64 {
    let name = incarnation.endpoint.as_bytes();
    stable_hash(&[name, &incarnation.born_ms.to_le_bytes()])
}

impl SourceDigests {
    /// Digest of the live endpoints that announce themselves at this daemon.
    pub(super) fn own_digest(&self) -> EndpointDigest {
        self.own_digest
    }

    /// Adds an incarnation to the digest of a source.
    pub(super) fn add(&mut self, source: &ReportSource, incarnation: u64) {
        if let Some(digest) = self.digest_of(source) {
            digest.add(incarnation);
        }
    }

    /// Removes an incarnation from the digest of a source.
    pub(super) fn remove(&mut self, source: &ReportSource, incarnation: u64) {
        if let Some(digest) = self.digest_of(source) {
            digest.remove(incarnation);
        }
    }

    fn digest_of(&mut self, source: &ReportSource) -> Option<&mut EndpointDigest> {
        match source {
            ReportSource::Own => Some(&mut self.own_digest),
            ReportSource::Member(name) => {
                let member = self.members.entry(Arc::clone(name)).or_default();
                Some(&mut member.listed)
            }
            ReportSource::Unknown => None,
        }
    }

    /// When the endpoints of a member were last confirmed by a matching digest or by its
    /// list; `None` if never, and for sources that are not members.
    pub(super) fn confirmed_at(&self, source: &ReportSource) -> Option<Instant> {
        let ReportSource::Member(name) = source else {
            return None;
        };
        self.members.get(name)?.confirmed_at
    }

    /// Compares the digest that a member reported with what is listed here.
    pub(super) fn apply_digest(
        &mut self,
        now: Instant,
        member: &str,
        digest: EndpointDigest,
    ) -> DigestOutcome {
        let known = self.members.entry(member.into()).or_default();
        if known.listed == digest {
            known.confirmed_at = Some(now);
            known.mismatches = 0;
            return DigestOutcome::Listed;
        }
        known.mismatches += 1;
        match known.listed.count == 0 || known.mismatches >= MISMATCHES_UNTIL_UNLISTED {
            true => DigestOutcome::Unlisted,
            false => DigestOutcome::Unsettled,
        }
    }

    /// Records that a member has just sent the list of all its endpoints.
    pub(super) fn record_list(&mut self, now: Instant, member: &str) {
        let known = self.members.entry(member.into()).or_default();
        known.confirmed_at = Some(now);
        known.mismatches = 0;
    }

    /// Records that endpoints of a member were marked silent because no digest confirmed
    /// them.
    pub(super) fn mark_lost(&mut self, source: &ReportSource) {
        if let ReportSource::Member(name) = source
            && let Some(member) = self.members.get_mut(name)
        {
            member.is_lost = true;
        }
    }

    /// Returns whether a member had been marked as lost, and clears the mark.
    pub(super) fn clear_lost(&mut self, member: &str) -> bool {
        let member = self.members.get_mut(member);
        member.is_some_and(|member| std::mem::take(&mut member.is_lost))
    }
}
