use super::{MemberIdentity, MemberState};
use crate::generated::membership::MemberRecord;
use crate::prelude::*;

/// Number of buckets whose digests two tables compare to find their differences. With 350
/// members, one differing record costs the exchange of about eleven.
pub(super) const BUCKETS: usize = 32;

/// Longest name of a member, region or data centre in a record, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Largest number of members in a table, so that no peer can grow it without bound; ten times
/// the target size.
const MAX_MEMBERS: usize = 4096;

/// A member as another daemon sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, address, location and role.
    pub identity: Arc<MemberIdentity>,
    /// Number that increases with each start and each refutation.
    pub incarnation: u64,
    /// State by the newest record.
    pub state: MemberState,
    /// When the state or the incarnation changed last.
    pub since: Instant,
}

impl Member {
    fn digest(&self) -> u32 {
        let digest_state = match self.state {
            MemberState::Alive | MemberState::Suspect => MemberState::Alive,
            MemberState::Dead => MemberState::Dead,
            MemberState::Left => MemberState::Left,
        };
        let name = crc32c::crc32c(self.identity.name.as_bytes());
        let incarnation = crc32c::crc32c_append(name, &self.incarnation.to_le_bytes());
        crc32c::crc32c_append(incarnation, &[digest_state as u8])
    }

    pub(super) fn to_record(&self) -> MemberRecord {
        MemberRecord {
            name: self.identity.name.to_string(),
            address: self.identity.address.to_string(),
            region: self.identity.region.to_string(),
            data_center: self.identity.data_center.to_string(),
            entry: self.identity.entry,
            incarnation: self.incarnation,
            state: self.state.to_message().into(),
        }
    }
}

/// All members that a daemon knows, including itself.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<Arc<str>, Member>,
    /// Digest of the members of each region.
    digests: BTreeMap<Arc<str>, u32>,
}

/// Members that two daemons compare.
#[derive(Clone, Copy, Debug)]
pub(super) enum CompareScope<'a> {
    /// All members. Used between two members of the same region.
    Everyone,
    /// Members of one region. Used between regions, which report only their own members to each
    /// other.
    Region(&'a str),
}

impl CompareScope<'_> {
    pub(super) fn covers(&self, identity: &MemberIdentity) -> bool {
        match self {
            Self::Everyone => true,
            Self::Region(region) => &*identity.region == *region,
        }
    }
}

impl MemberTable {
    /// Looks up a member by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of known members, including dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Digest of the records in scope. It treats suspects as alive, because suspicion is
    /// temporary.
    pub(super) fn digest(&self, scope: CompareScope<'_>) -> u32 {
        match scope {
            CompareScope::Everyone => self.digests.values().fold(0, |all, digest| all ^ digest),
            CompareScope::Region(region) => self.digests.get(region).copied().unwrap_or(0),
        }
    }

    /// Digests of the buckets, by index.
    pub(super) fn bucket_digests(&self, scope: CompareScope<'_>) -> Vec<u32> {
        let mut digests = vec![0; BUCKETS];
        for member in self
            .members
            .values()
            .filter(|member| scope.covers(&member.identity))
        {
            digests[bucket(&member.identity.name)] ^= member.digest();
        }
        digests
    }

    /// Members of the buckets whose digest differs from the one in `theirs`.
    pub(super) fn differing(&self, scope: CompareScope<'_>, theirs: &[u32]) -> Vec<&Member> {
        let ours = self.bucket_digests(scope);
        let differs = |name: &str| ours.get(bucket(name)) != theirs.get(bucket(name));
        let members = self.members.values();
        members
            .filter(|member| scope.covers(&member.identity) && differs(&member.identity.name))
            .collect()
    }

    /// Merges a record that supersedes the known one, by a higher incarnation or by a later
    /// state of the same incarnation. Returns the member if the record was merged.
    pub(super) fn merge(&mut self, now: Instant, record: &MemberRecord) -> Option<&Member> {
        let state = MemberState::from_message(record.state())?;
        let known = self.members.get(record.name.as_str());
        let newer = known
            .is_none_or(|known| (record.incarnation, state) > (known.incarnation, known.state));
        if !newer || record.name.is_empty() || record.name.len() > MAX_NAME_BYTES {
            return None;
        }
        if known.is_none() && self.members.len() >= MAX_MEMBERS {
            return None;
        }
        let identity = match parse_identity(record) {
            Some(identity) => Arc::new(identity),
            None => Arc::clone(&known?.identity),
        };
        let member = Member {
            identity,
            incarnation: record.incarnation,
            state,
            since: now,
        };
        let name = Arc::clone(&member.identity.name);
        self.insert(member);
        self.members.get(&name)
    }

    pub(super) fn insert(&mut self, member: Member) {
        self.toggle_digest(&member);
        let name = Arc::clone(&member.identity.name);
        if let Some(before) = self.members.insert(name, member) {
            self.toggle_digest(&before);
        }
    }

    /// Adds a member to its region's digest, or removes it if it is included.
    fn toggle_digest(&mut self, member: &Member) {
        let region = Arc::clone(&member.identity.region);
        *self.digests.entry(region).or_default() ^= member.digest();
    }

    /// Removes members that died or left at least `retention` ago.
    pub(super) fn remove_expired(&mut self, now: Instant, retention: Duration) {
        let is_expired =
            |member: &Member| !member.state.is_live() && now >= member.since + retention;
        let expired: Vec<Member> = self
            .members
            .extract_if(.., |_, member| is_expired(member))
            .map(|(_, member)| member)
            .collect();
        for member in expired {
            self.toggle_digest(&member);
        }
    }
}

fn bucket(name: &str) -> usize {
    crc32c::crc32c(name.as_bytes()) as usize % BUCKETS
}

fn parse_identity(record: &MemberRecord) -> Option<MemberIdentity> {
    if record.region.len() > MAX_NAME_BYTES || record.data_center.len() > MAX_NAME_BYTES {
        return None;
    }
    Some(MemberIdentity {
        name: record.name.as_str().into(),
        address: record.address.parse().ok()?,
        region: record.region.as_str().into(),
        data_center: record.data_center.as_str().into(),
        entry: record.entry,
    })
}
