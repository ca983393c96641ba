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
    /// Whether it is still slow after its start.
    pub is_cold: bool,
    /// Ends when the endpoint has started again.
    pub life: EndpointLife,
}

impl PoolMember {
    /// Identity of its incarnation.
    pub fn endpoint(&self) -> &str {
        &self.record.announcement.endpoint
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
}

/// One pool of a roster; both lists are sorted by name.
#[derive(Clone, Debug, Default)]
struct PoolRoster {
    members: Vec<PoolMember>,
    records: Vec<Arc<EndpointRecord>>,
}

impl EndpointRoster {
    /// The roster of what is known from control.
    pub fn of(state: &FollowState) -> Self {
        let mut roster = Self::default();
        for known in state.endpoints() {
            let Some(member) = member_of(known) else {
                continue;
            };
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
        is_cold: report.cold_ms > 0,
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
