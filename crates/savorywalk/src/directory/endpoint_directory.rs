use super::{
    AnnouncementError, EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState, Result,
};
use crate::prelude::*;

const MAX_NAME_BYTES: usize = 128;

/// Most endpoints that are listed, and most that are remembered as gone;
/// several times the target's 1,100.
const MAX_ENDPOINTS: usize = 8_192;

/// How long a leaving notice and the last announcement of an endpoint that is
/// gone are remembered; far longer than any message is on its way.
pub const TOMBSTONE: Duration = Duration::from_secs(60);

/// How long a leaving notice is told to entries that seem not to have it;
/// leases of those who missed it have long run out by then.
const TOLD_LEAVING: Duration = Duration::from_secs(15);

/// All endpoints known to this process, as a state machine without I/O.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    records: FastMap<String, Arc<EndpointRecord>>,
    floors: FastMap<String, AnnouncementFloor>,
}

/// What an endpoint that is no longer listed must exceed to be listed again.
#[derive(Clone, Copy, Debug)]
struct AnnouncementFloor {
    incarnation: u64,
    sequence: u64,
    left: bool,
    until: Instant,
}

/// One renewal of a lease, as another entry passes it on.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRenewal {
    /// When the endpoint announced itself, by this process's clock.
    pub(super) renewed_at: Instant,
    /// Sequence of the announcement.
    pub(super) sequence: u64,
    /// Load with it, when it was sent.
    pub(super) load: Option<EndpointLoad>,
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
        self.announce_since(now, now, announcement, max_lease)
    }

    /// As [`Self::announce`], for an announcement made at `announced_at`.
    pub(super) fn announce_since(
        &mut self,
        now: Instant,
        announced_at: Instant,
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
        let floor = self.floors.get(&announcement.endpoint);
        if floor.is_some_and(|floor| !floor.is_exceeded(now, &announcement)) {
            return Ok(AnnouncementOutcome::Superseded);
        }
        let same = known.filter(|known| known.announcement.incarnation == announcement.incarnation);
        let joined = same.map_or(now, |known| known.joined);
        let lease = Duration::from_millis(announcement.lease_ms.into()).min(max_lease);
        let record = EndpointRecord {
            expires: announced_at + lease,
            load_at: announced_at,
            joined,
            announcement,
        };
        if record.announcement.state == EndpointState::Serving && now >= record.expires {
            return Ok(AnnouncementOutcome::Superseded);
        }
        if self.records.len() >= MAX_ENDPOINTS && known.is_none() {
            return Err(AnnouncementError::Full);
        }
        let name = record.announcement.endpoint.clone();
        if record.announcement.state == EndpointState::Leaving {
            let floor = AnnouncementFloor::of(now, &record.announcement, TOMBSTONE);
            self.remember(&name, floor);
        }
        self.records.insert(name, Arc::new(record));
        Ok(AnnouncementOutcome::Applied)
    }

    /// Renews the lease of an endpoint if the renewal is newer; never of a
    /// leaver. Tells whether it did.
    pub(super) fn renew(&mut self, now: Instant, endpoint: &str, renewal: LeaseRenewal) -> bool {
        let Some(record) = self.records.get_mut(endpoint) else {
            return false;
        };
        let announcement = &record.announcement;
        let lease = Duration::from_millis(announcement.lease_ms.into());
        let expires = renewal.renewed_at + lease;
        let serving = announcement.state == EndpointState::Serving;
        if !serving || renewal.sequence <= announcement.sequence || expires <= now {
            return false;
        }
        let record = Arc::make_mut(record);
        record.expires = expires.max(record.expires);
        record.announcement.sequence = renewal.sequence;
        if let Some(load) = renewal.load {
            record.announcement.load = load;
            record.load_at = renewal.renewed_at;
        }
        true
    }

    /// Takes a leaving notice, also of an endpoint that is not listed. Tells
    /// whether it was new.
    pub(super) fn leave(
        &mut self,
        now: Instant,
        endpoint: &str,
        incarnation: u64,
        sequence: u64,
    ) -> bool {
        let floor = AnnouncementFloor {
            incarnation,
            sequence,
            left: true,
            until: now + TOMBSTONE,
        };
        if let Some(record) = self.records.get_mut(endpoint) {
            let known = &record.announcement;
            let newer = incarnation >= known.incarnation;
            if !newer || (known.incarnation == incarnation && known.state == EndpointState::Leaving)
            {
                return false;
            }
            let record = Arc::make_mut(record);
            record.announcement.state = EndpointState::Leaving;
            record.announcement.incarnation = incarnation;
            record.announcement.sequence = record.announcement.sequence.max(sequence);
            self.remember(endpoint, floor);
            return true;
        }
        let known = self.floors.get(endpoint);
        let is_new = known.is_none_or(|known| {
            incarnation > known.incarnation || (incarnation == known.incarnation && !known.left)
        });
        if is_new {
            self.remember(endpoint, floor);
        }
        is_new
    }

    /// Recent leaving notices: endpoint, incarnation, sequence.
    ///
    /// They are told to others only while they are much younger than a
    /// tombstone, so that nobody takes for new what he has just forgotten.
    pub(super) fn leavers(&self, now: Instant) -> impl Iterator<Item = (&str, u64, u64)> {
        let oldest = now + TOMBSTONE - TOLD_LEAVING;
        let recent = move |floor: &AnnouncementFloor| floor.left && floor.until > oldest;
        let floors = self.floors.iter().filter(move |(_, floor)| recent(floor));
        floors.map(|(name, floor)| (name.as_str(), floor.incarnation, floor.sequence))
    }

    /// The record of an endpoint.
    pub fn get(&self, endpoint: &str) -> Option<&Arc<EndpointRecord>> {
        self.records.get(endpoint)
    }

    /// All records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<EndpointRecord>> {
        self.records.values()
    }

    fn remember(&mut self, endpoint: &str, floor: AnnouncementFloor) {
        if self.floors.len() < MAX_ENDPOINTS || self.floors.contains_key(endpoint) {
            self.floors.insert(endpoint.to_string(), floor);
        }
    }

    /// Forgets endpoints whose lease has run out; tells how many.
    ///
    /// A leaver is kept for `tombstone` longer, so that a late announcement of
    /// the same incarnation does not bring it back.
    pub fn expire(&mut self, now: Instant, tombstone: Duration) -> usize {
        let gone: Vec<Arc<EndpointRecord>> = self
            .records
            .extract_if(|_, record| match record.announcement.state {
                EndpointState::Serving => now >= record.expires,
                EndpointState::Leaving => now >= record.expires + tombstone,
            })
            .map(|(_, record)| record)
            .collect();
        for record in &gone {
            let announcement = &record.announcement;
            if announcement.state == EndpointState::Serving {
                let floor = AnnouncementFloor::of(now, announcement, tombstone);
                self.remember(&announcement.endpoint, floor);
            }
        }
        self.floors.retain(|_, floor| now < floor.until);
        gone.len()
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

impl AnnouncementFloor {
    fn of(now: Instant, announcement: &EndpointAnnouncement, tombstone: Duration) -> Self {
        Self {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            left: announcement.state == EndpointState::Leaving,
            until: now + tombstone,
        }
    }

    fn is_exceeded(&self, now: Instant, offered: &EndpointAnnouncement) -> bool {
        if now >= self.until || offered.incarnation > self.incarnation {
            return true;
        }
        offered.incarnation == self.incarnation
            && !(self.left && offered.state == EndpointState::Serving)
            && offered.sequence > self.sequence
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
