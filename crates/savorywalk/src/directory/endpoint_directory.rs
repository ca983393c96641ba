use super::{AnnouncementError, EndpointAnnouncement, EndpointRecord, EndpointState, Result};
use crate::prelude::*;

const MAX_NAME_BYTES: usize = 128;

/// All endpoints known to this process, as a state machine without I/O.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    records: FastMap<String, Arc<EndpointRecord>>,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It was newer and was taken.
    Applied,
    /// A newer one is known.
    Superseded,
}

/// An immutable view of the directory, by pool, for the request path.
#[derive(Clone, Debug, Default)]
pub struct DirectorySnapshot {
    pools: FastMap<String, Arc<[Arc<EndpointRecord>]>>,
}

impl DirectorySnapshot {
    /// Endpoints of a pool; check [`EndpointRecord::takes_work`] before use.
    pub fn pool(&self, name: &str) -> &[Arc<EndpointRecord>] {
        self.pools.get(name).map_or(&[], |records| records)
    }

    /// All endpoints, in no order.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<EndpointRecord>> {
        self.pools.values().flat_map(|records| records.iter())
    }
}

impl EndpointDirectory {
    /// Takes an announcement if it is newer than the one that is known.
    ///
    /// Within one incarnation a leaving notice is final: no announcement of
    /// that incarnation, whatever its sequence, brings the endpoint back.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: EndpointAnnouncement,
        max_lease: Duration,
    ) -> Result<AnnouncementOutcome> {
        check_name("endpoint", &announcement.endpoint)?;
        check_name("pool", &announcement.pool)?;
        check_name("data_center", &announcement.data_center)?;
        if announcement.lease_ms == 0 {
            return Err(AnnouncementError::EmptyLease);
        }
        let known = self.records.get(&announcement.endpoint);
        if known.is_some_and(|known| !is_newer(&announcement, &known.announcement)) {
            return Ok(AnnouncementOutcome::Superseded);
        }
        let same = known.filter(|known| known.announcement.incarnation == announcement.incarnation);
        let joined = same.map_or(now, |known| known.joined);
        let lease = Duration::from_millis(announcement.lease_ms.into()).min(max_lease);
        let record = EndpointRecord {
            expires: now + lease,
            load_at: now,
            joined,
            announcement,
        };
        let name = record.announcement.endpoint.clone();
        self.records.insert(name, Arc::new(record));
        Ok(AnnouncementOutcome::Applied)
    }

    /// Forgets endpoints whose lease has run out; tells how many.
    ///
    /// A leaver is kept for `tombstone` longer, so that a late announcement of
    /// the same incarnation does not bring it back.
    pub fn expire(&mut self, now: Instant, tombstone: Duration) -> usize {
        let before = self.records.len();
        self.records
            .retain(|_, record| match record.announcement.state {
                EndpointState::Serving => now < record.expires,
                EndpointState::Leaving => now < record.expires + tombstone,
            });
        before - self.records.len()
    }

    /// The view that the request path reads.
    pub fn snapshot(&self) -> DirectorySnapshot {
        let mut pools: FastMap<String, Vec<Arc<EndpointRecord>>> = FastMap::default();
        for record in self.records.values() {
            let pool = pools.entry(record.announcement.pool.clone()).or_default();
            pool.push(Arc::clone(record));
        }
        let sorted = pools.into_iter().map(|(name, mut records)| {
            records.sort_by(|a, b| a.announcement.endpoint.cmp(&b.announcement.endpoint));
            (name, Arc::from(records))
        });
        DirectorySnapshot {
            pools: sorted.collect(),
        }
    }
}

fn check_name(field: &'static str, name: &str) -> Result<()> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(AnnouncementError::BadName(field));
    }
    Ok(())
}

fn is_newer(offered: &EndpointAnnouncement, known: &EndpointAnnouncement) -> bool {
    if offered.incarnation != known.incarnation {
        return offered.incarnation > known.incarnation;
    }
    let undoes_leaving =
        known.state == EndpointState::Leaving && offered.state == EndpointState::Serving;
    offered.sequence > known.sequence && !undoes_leaving
}

#[cfg(test)]
#[path = "endpoint_directory_tests.rs"]
mod tests;
