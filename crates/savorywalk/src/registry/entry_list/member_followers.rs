use super::named_entries::{NamedEntries, name_digest};
use crate::prelude::*;
use crate::registry::{EndpointDigest, VouchOutcome};

/// Digests in a row that differ from what is known before the list is asked for: an entry
/// that has just come or gone is told beside them.
const MISMATCHES: u32 = 2;

/// The entries that follow another control daemon, as far as it has told.
#[derive(Debug, Default)]
pub(super) struct MemberFollowers {
    names: BTreeSet<Arc<str>>,
    digest: u64,
    /// When it told last that it lives.
    heard: Option<Instant>,
    mismatches: u32,
}

impl MemberFollowers {
    /// Notes that the daemon lives.
    pub(super) fn touch(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// Whether nothing was heard of the daemon for `time`.
    pub(super) fn is_lost(&self, now: Instant, time: Duration) -> bool {
        self.heard.is_none_or(|heard| now >= heard + time)
    }

    pub(super) fn add(&mut self, name: &str, entries: &mut NamedEntries) {
        if self.names.insert(name.into()) {
            self.digest ^= name_digest(name);
            entries.add(name);
        }
    }

    pub(super) fn remove(&mut self, name: &str, entries: &mut NamedEntries) {
        if self.names.remove(name) {
            self.digest ^= name_digest(name);
            entries.remove(name);
        }
    }

    /// Takes the whole list in place of what was known.
    pub(super) fn replace(&mut self, names: &[String], entries: &mut NamedEntries) {
        let listed: BTreeSet<&str> = names.iter().map(String::as_str).collect();
        let gone = self.names.iter().filter(|name| !listed.contains(&***name));
        let gone: Vec<Arc<str>> = gone.cloned().collect();
        for name in gone {
            self.remove(&name, entries);
        }
        for name in listed {
            self.add(name, entries);
        }
        self.mismatches = 0;
    }

    /// Forgets all of them.
    pub(super) fn clear(&mut self, entries: &mut NamedEntries) {
        self.replace(&[], entries);
    }

    /// Compares what is known with the daemon's own digest.
    pub(super) fn compare(&mut self, told: &EndpointDigest) -> VouchOutcome {
        let is_same = told.count as usize == self.names.len() && told.digest == self.digest;
        if is_same {
            self.mismatches = 0;
            return VouchOutcome::Listed;
        }
        self.mismatches += 1;
        match self.mismatches >= MISMATCHES {
            true => VouchOutcome::Unlisted,
            false => VouchOutcome::Unsettled,
        }
    }
}
