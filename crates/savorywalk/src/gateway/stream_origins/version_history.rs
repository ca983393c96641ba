use crate::prelude::*;

/// Since when all endpoints of a pool have had the same software version.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Number of endpoints by version; `None` for those whose version is unknown.
    counts: BTreeMap<Option<Arc<str>>, usize>,
    /// The only version, and since when; also kept while no endpoint is left.
    only: Option<(Arc<str>, Instant)>,
}

impl VersionHistory {
    /// Adds an endpoint.
    pub fn add(&mut self, now: Instant, version: Option<&Arc<str>>) {
        *self.counts.entry(version.cloned()).or_default() += 1;
        self.update(now);
    }

    /// Removes an endpoint that was added.
    pub fn remove(&mut self, now: Instant, version: Option<&Arc<str>>) {
        if let Some(count) = self.counts.get_mut(&version.cloned()) {
            *count -= 1;
        }
        self.counts.retain(|_, count| *count > 0);
        self.update(now);
    }

    /// Takes the time over from an earlier history, if the only version is the same.
    pub fn continue_from(&mut self, before: &Self) {
        if let (Some((version, since)), Some((known, earlier))) = (&mut self.only, &before.only)
            && version == known
        {
            *since = *earlier;
        }
    }

    fn update(&mut self, now: Instant) {
        let mut versions = self.counts.keys();
        let version = match (versions.next(), versions.next()) {
            (None, _) => return,
            (Some(Some(version)), None) => version,
            (Some(None), None) | (Some(_), Some(_)) => {
                self.only = None;
                return;
            }
        };
        let is_known = matches!(&self.only, Some((known, _)) if known == version);
        if !is_known {
            self.only = Some((Arc::clone(version), now));
        }
    }

    /// The version of all endpoints, and for how long they have had no other one.
    pub fn only_version(&self, now: Instant) -> Option<(&Arc<str>, Duration)> {
        let (version, since) = self.only.as_ref()?;
        Some((version, now.saturating_duration_since(*since)))
    }
}

#[cfg(test)]
#[path = "version_history_tests.rs"]
mod tests;
