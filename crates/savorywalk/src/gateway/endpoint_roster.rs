use super::VersionHistory;
use crate::directory::{EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState};
use crate::hashing::stable_hash;
use crate::prelude::*;
use crate::registry::{EndpointReport, FollowState, FollowedEndpoint, IncarnationToken};

/// Nominal lease of a record: endpoints leave the roster when control removes them, not when a
/// lease expires.
const RECORD_LEASE: Duration = Duration::from_secs(3_600);

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// Name, which it keeps when it restarts.
    pub name: String,
    /// Record of its last report.
    pub record: Arc<EndpointRecord>,
    /// Whether control has received no recent announcement from it: it may have failed or
    /// only be cut off from control.
    pub is_silent: bool,
    /// Whether its last report says that it is still slow after its start.
    pub reports_cold: bool,
    /// Until when it counts as cold whatever its last report says.
    pub assumed_cold_until: Option<Instant>,
    /// Version of its software; `None` if unknown.
    pub version: Option<Arc<str>>,
    /// Cancellation token that ends with this incarnation.
    pub incarnation_token: IncarnationToken,
    /// Hash that assigns the endpoint to one of its data centre's shards.
    pub(super) shard_hash: u64,
}

impl PoolMember {
    /// Identity of its incarnation.
    pub fn endpoint(&self) -> &str {
        &self.record.announcement.endpoint
    }

    /// Whether it is, or has to be assumed to be, still slow after its start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.reports_cold || self.assumed_cold_until.is_some_and(|until| now < until)
    }

    /// Address for its requests.
    pub fn address(&self) -> SocketAddr {
        self.record.announcement.address
    }

    /// Its data centre.
    pub fn data_center(&self) -> &str {
        &self.record.announcement.data_center
    }
}

/// The endpoints that may get new work, by pool; an immutable view for the request path.
///
/// Views share unchanged pools. An update copies only the pointers of the pools that it changes,
/// so its cost does not grow with the size of the others.
#[derive(Clone, Debug, Default)]
pub struct EndpointRoster {
    pools: BTreeMap<String, Arc<PoolRoster>>,
    /// Endpoints in evacuated data centres, by name. They get no new work and finish their
    /// requests in progress.
    evacuated: BTreeMap<String, Arc<PoolMember>>,
}

/// The endpoints of one pool; both lists are sorted by identity.
#[derive(Clone, Debug, Default)]
struct PoolRoster {
    members: Vec<Arc<PoolMember>>,
    records: Vec<Arc<EndpointRecord>>,
    /// Members that are not silent, by data centre.
    counts: BTreeMap<String, usize>,
    versions: VersionHistory,
}

impl PoolRoster {
    fn index_of(&self, endpoint: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.endpoint().cmp(endpoint))
    }

    fn insert(&mut self, now: Instant, member: Arc<PoolMember>) {
        if let Ok(index) = self.index_of(member.endpoint()) {
            self.remove(now, index);
        }
        self.versions.add(now, member.version.as_ref());
        let (Ok(index) | Err(index)) = self.index_of(member.endpoint());
        if !member.is_silent {
            let data_center = member.data_center().to_string();
            *self.counts.entry(data_center).or_default() += 1;
        }
        self.records.insert(index, Arc::clone(&member.record));
        self.members.insert(index, member);
    }

    /// Index of the endpoint with a name.
    fn index_of_name(&self, name: &str) -> Option<usize> {
        let first = self
            .members
            .partition_point(|member| member.endpoint() < name);
        let members = self.members.iter().enumerate().skip(first);
        let mut members = members.take_while(|(_, member)| member.endpoint().starts_with(name));
        let found = members.find(|(_, member)| member.name == name);
        found.map(|(index, _)| index)
    }

    fn remove(&mut self, now: Instant, index: usize) {
        let member = self.members.remove(index);
        self.versions.remove(now, member.version.as_ref());
        self.records.remove(index);
        if member.is_silent {
            return;
        }
        if let Some(count) = self.counts.get_mut(member.data_center()) {
            *count -= 1;
        }
        self.counts.retain(|_, count| *count > 0);
    }
}

impl EndpointRoster {
    /// The roster of the endpoints that control has reported.
    ///
    /// After the evacuation of a data centre ends, its endpoints count as cold for
    /// `report_time`, as they may have become cold since their last reports.
    pub fn from_state(state: &FollowState, report_time: Duration) -> Self {
        let mut roster = Self::default();
        let now = Instant::now();
        for known in state.endpoints() {
            roster.insert(now, state, known, report_time);
        }
        roster
    }

    /// This roster with the endpoints named in `changed` updated, added or removed.
    pub fn updated(
        &self,
        state: &FollowState,
        changed: &BTreeSet<String>,
        report_time: Duration,
    ) -> Self {
        let mut roster = self.clone();
        let now = Instant::now();
        for name in changed {
            roster.remove(now, name);
            if let Some(known) = state.endpoint(name) {
                roster.insert(now, state, known, report_time);
            }
        }
        roster
    }

    /// This roster with the version histories of an earlier one.
    pub(super) fn continuing(mut self, before: &Self) -> Self {
        for (name, pool) in &mut self.pools {
            if let Some(before) = before.pools.get(name) {
                Arc::make_mut(pool).versions.continue_from(&before.versions);
            }
        }
        self
    }

    /// The version of all endpoints of a pool, and for how long they have had no other one.
    pub(super) fn only_version(&self, now: Instant, pool: &str) -> Option<(&Arc<str>, Duration)> {
        self.pools.get(pool)?.versions.only_version(now)
    }

    fn insert(
        &mut self,
        now: Instant,
        state: &FollowState,
        known: &FollowedEndpoint,
        report_time: Duration,
    ) {
        let Some(mut member) = member_of(known) else {
            return;
        };
        let ended = state.evacuations().ended_at(member.data_center());
        member.assumed_cold_until = ended.map(|ended| ended + report_time);
        let member = Arc::new(member);
        if state.evacuations().is_evacuated(member.data_center()) {
            self.evacuated.insert(member.name.clone(), member);
            return;
        }
        let pool = self.pools.entry(known.report.pool.clone()).or_default();
        Arc::make_mut(pool).insert(now, member);
    }

    fn remove(&mut self, now: Instant, name: &str) {
        self.evacuated.remove(name);
        for pool in self.pools.values_mut() {
            if let Some(index) = pool.index_of_name(name) {
                Arc::make_mut(pool).remove(now, index);
            }
        }
    }

    /// Members of a pool, sorted by identity.
    pub fn pool(&self, name: &str) -> &[Arc<PoolMember>] {
        self.pools.get(name).map_or(&[], |pool| &pool.members)
    }

    /// Records of a pool, sorted by identity.
    pub fn records(&self, name: &str) -> &[Arc<EndpointRecord>] {
        self.pools.get(name).map_or(&[], |pool| &pool.records)
    }

    /// Number of members of a pool that are not silent, by data centre.
    pub(super) fn counts(&self, pool: &str) -> impl Iterator<Item = (&str, usize)> {
        let pool = self.pools.get(pool).into_iter();
        let counts = pool.flat_map(|pool| &pool.counts);
        counts.map(|(data_center, count)| (data_center.as_str(), *count))
    }

    /// The member of a pool with the identity `endpoint`.
    pub fn member(&self, pool: &str, endpoint: &str) -> Option<&Arc<PoolMember>> {
        let pool = self.pools.get(pool)?;
        let index = pool.index_of(endpoint).ok()?;
        pool.members.get(index)
    }

    /// Address of an endpoint of a pool, also if its data centre is evacuated.
    pub(super) fn address_of(&self, pool: &str, endpoint: &str) -> Option<SocketAddr> {
        let mut evacuated = self.evacuated.values();
        let member = self
            .member(pool, endpoint)
            .or_else(|| evacuated.find(|member| member.endpoint() == endpoint));
        member.map(|member| member.address())
    }

    /// Whether an endpoint is in the pool and may get new work.
    pub fn has(&self, pool: &str, endpoint: &str) -> bool {
        self.member(pool, endpoint).is_some()
    }
}

/// The member for a reported endpoint; `None` if its address can't be parsed.
fn member_of(known: &FollowedEndpoint) -> Option<PoolMember> {
    let report = &known.report;
    let Ok(address) = report.address.parse() else {
        log_event!(
            warn,
            "endpoint_address_unreadable",
            endpoint = report.id,
            address = report.address
        );
        return None;
    };
    Some(PoolMember {
        name: report.id.clone(),
        record: Arc::new(EndpointRecord {
            announcement: announcement_of(report, address),
            expires: known.first_reported_at + RECORD_LEASE,
            load_at: known.first_reported_at,
            joined: known.first_reported_at,
        }),
        is_silent: report.silent,
        reports_cold: report.cold_ms > 0,
        assumed_cold_until: None,
        version: (!report.version.is_empty()).then(|| report.version.as_str().into()),
        incarnation_token: known.incarnation_token.clone(),
        shard_hash: stable_hash(&[report.id.as_bytes()]),
    })
}

fn announcement_of(report: &EndpointReport, address: SocketAddr) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: report.incarnation().to_string(),
        address,
        pool: report.pool.clone(),
        data_center: report.data_center.clone(),
        incarnation: 1,
        sequence: report.sequence,
        state: EndpointState::Serving,
        lease_ms: RECORD_LEASE.as_millis() as u32,
        models: Vec::new(),
        load: EndpointLoad::default(),
        slots: report.slots,
        cache_events: Vec::new(),
    }
}

#[cfg(test)]
#[path = "endpoint_roster_tests.rs"]
mod tests;
