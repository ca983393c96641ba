use crate::directory::{EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointState};
use crate::prelude::*;
use crate::registry::{EndpointLife, EndpointReport, FollowState, KnownEndpoint};

/// Lease of a record: endpoints leave the roster by control's word, not by time.
const RECORD_TIME: Duration = Duration::from_secs(3_600);

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// Name that it goes by, also when it starts again.
    pub name: String,
    /// What is known of it.
    pub record: Arc<EndpointRecord>,
    /// Whether control has not heard from it lately; then it may be dead, or
    /// only cut off from control.
    pub is_silent: bool,
    /// Whether it says that it is still slow after its start.
    pub says_cold: bool,
    /// Until when it may be cold though its last report says otherwise.
    pub unproven_until: Option<Instant>,
    /// Ends when the endpoint has started again.
    pub life: EndpointLife,
}

impl PoolMember {
    /// Identity of its incarnation.
    pub fn endpoint(&self) -> &str {
        &self.record.announcement.endpoint
    }

    /// Whether it is still slow after its start, or may be.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.says_cold || self.unproven_until.is_some_and(|until| now < until)
    }

    /// Where it takes work.
    pub fn address(&self) -> SocketAddr {
        self.record.announcement.address
    }

    /// Where it stands.
    pub fn data_center(&self) -> &str {
        &self.record.announcement.data_center
    }
}

/// The endpoints that may get new work, by pool; an immutable view for the
/// request path.
#[derive(Clone, Debug, Default)]
pub struct EndpointRoster {
    pools: BTreeMap<String, PoolRoster>,
    /// Addresses of the endpoints in evacuated data centres, by identity: they get no new
    /// work, and finish what they have.
    evacuated: FastMap<String, SocketAddr>,
}

/// One pool of a roster; both lists are sorted by name.
#[derive(Clone, Debug, Default)]
struct PoolRoster {
    members: Vec<PoolMember>,
    records: Vec<Arc<EndpointRecord>>,
}

impl EndpointRoster {
    /// The roster of what is known from control. The endpoints of a data centre whose
    /// evacuation has ended may have become cold since their last reports, until they have
    /// had `report_time` to say so.
    pub fn of(state: &FollowState, report_time: Duration) -> Self {
        let mut roster = Self::default();
        for known in state.endpoints() {
            let Some(mut member) = member_of(known) else {
                continue;
            };
            let ended = state.evacuations().ended_at(member.data_center());
            member.unproven_until = ended.map(|ended| ended + report_time);
            if state.evacuations().is_evacuated(member.data_center()) {
                let endpoint = member.endpoint().to_string();
                roster.evacuated.insert(endpoint, member.address());
                continue;
            }
            let pool = roster.pools.entry(known.report.pool.clone()).or_default();
            pool.records.push(Arc::clone(&member.record));
            pool.members.push(member);
        }
        roster
    }

    /// Members of a pool, sorted by name.
    pub fn pool(&self, name: &str) -> &[PoolMember] {
        self.pools.get(name).map_or(&[], |pool| &pool.members)
    }

    /// Records of a pool, sorted by name.
    pub fn records(&self, name: &str) -> &[Arc<EndpointRecord>] {
        self.pools.get(name).map_or(&[], |pool| &pool.records)
    }

    /// Where an endpoint of a pool takes work, or finishes it.
    pub(super) fn address_of(&self, pool: &str, endpoint: &str) -> Option<SocketAddr> {
        let mut members = self.pool(pool).iter();
        let member = members.find(|member| member.endpoint() == endpoint);
        let evacuated = || self.evacuated.get(endpoint).copied();
        member.map(PoolMember::address).or_else(evacuated)
    }

    /// Whether an endpoint may get new work.
    pub fn has(&self, pool: &str, endpoint: &str) -> bool {
        let members = self.pool(pool);
        members.iter().any(|member| member.endpoint() == endpoint)
    }
}

fn member_of(known: &KnownEndpoint) -> Option<PoolMember> {
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
            expires: known.joined + RECORD_TIME,
            load_at: known.joined,
            joined: known.joined,
        }),
        is_silent: report.silent,
        says_cold: report.cold_ms > 0,
        unproven_until: None,
        life: known.life.clone(),
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
        lease_ms: RECORD_TIME.as_millis() as u32,
        models: Vec::new(),
        load: EndpointLoad::default(),
        slots: report.slots,
        cache_events: Vec::new(),
    }
}

#[cfg(test)]
#[path = "endpoint_roster_tests.rs"]
mod tests;
