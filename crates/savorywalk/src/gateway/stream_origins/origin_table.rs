use super::{StreamKey, StreamOrigin};
use crate::prelude::*;

/// Maximum number of origins; each takes some 120 bytes.
pub(super) const MAX_ORIGINS: usize = 32_768;

/// Longest time for which an origin is kept, whatever its caller asks for.
pub(super) const MAX_LIFETIME: Duration = Duration::from_secs(120);

/// Origins of streams that may be taken up at this or another entry. Bounded and without I/O.
#[derive(Debug, Default)]
pub(in crate::gateway) struct OriginTable {
    origins: FastMap<StreamKey, KeptOrigin>,
    /// When expired origins were last removed.
    cleaned_at: Option<Instant>,
}

#[derive(Debug)]
struct KeptOrigin {
    origin: StreamOrigin,
    expires: Instant,
}

/// Interval at which expired origins are removed.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);

impl OriginTable {
    /// Keeps the origin of a stream for `lifetime`; false if the table is full.
    ///
    /// An origin that is kept already only lives longer: a stream has one origin.
    pub(in crate::gateway) fn insert(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> bool {
        self.clean(now);
        let expires = now + lifetime.min(MAX_LIFETIME);
        if let Some(kept) = self.origins.get_mut(&key).filter(|kept| now < kept.expires) {
            kept.expires = kept.expires.max(expires);
            return true;
        }
        if self.origins.len() >= MAX_ORIGINS {
            return false;
        }
        self.origins.insert(key, KeptOrigin { origin, expires });
        true
    }

    /// The origin of a stream, if it is known.
    pub(in crate::gateway) fn find(&self, now: Instant, key: &StreamKey) -> Option<&StreamOrigin> {
        let kept = self.origins.get(key).filter(|kept| now < kept.expires);
        kept.map(|kept| &kept.origin)
    }

    /// Number of origins, including expired ones that are not removed yet.
    pub(in crate::gateway) fn len(&self) -> usize {
        self.origins.len()
    }

    fn clean(&mut self, now: Instant) {
        let cleaned_at = *self.cleaned_at.get_or_insert(now);
        if now.saturating_duration_since(cleaned_at) >= CLEAN_INTERVAL {
            self.cleaned_at = Some(now);
            self.origins.retain(|_, kept| now < kept.expires);
        }
    }
}

#[cfg(test)]
#[path = "origin_table_tests.rs"]
mod tests;
