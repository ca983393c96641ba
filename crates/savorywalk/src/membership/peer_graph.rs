use super::MemberIdentity;
use crate::prelude::*;

/// Knuth's multiplier (2^32 divided by the golden ratio). With the CRC alone, names that differ
/// in one digit would hash to a fixed pattern.
const HASH_MULTIPLIER: u32 = 2_654_435_769;

/// Directed graph that determines which members of a region send to which.
///
/// The members, ordered by a hash of their names, are the nodes of the graph of Imase and Itoh
/// (1981): node `i` of `n` sends to `-d*i - r mod n` for `r` in `1..=d`. Its diameter is at most
/// `ceil(log_d n)`, all nodes have the same load, and each node has only about `2d` connections,
/// whatever the number of members. See docs/design/membership.md.
#[derive(Debug)]
pub struct PeerGraph;

impl PeerGraph {
    /// Members that `name` sends to: `fan_out` of them, or all all_except if there are no more.
    pub fn neighbours<'a>(
        name: &str,
        region: impl Iterator<Item = &'a Arc<MemberIdentity>>,
        fan_out: usize,
    ) -> Vec<Arc<MemberIdentity>> {
        let mut members: Vec<(u32, &Arc<MemberIdentity>)> = region
            .map(|identity| (rank(&identity.name, ""), identity))
            .collect();
        members.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let count = members.len();
        let Some(own) = members
            .iter()
            .position(|(_, identity)| &*identity.name == name)
        else {
            return Vec::new();
        };
        if count <= fan_out + 1 {
            return all_except(name, members.iter().map(|(_, identity)| *identity));
        }
        let mut neighbours: Vec<Arc<MemberIdentity>> = Vec::with_capacity(fan_out);
        for step in 1..=fan_out {
            let forward = (fan_out * own + step) % count;
            let mut index = (count - forward) % count;
            // Replaces a self-loop or a duplicate edge by an edge to the next member.
            while index == own
                || neighbours
                    .iter()
                    .any(|identity| identity.name == members[index].1.name)
            {
                index = (index + 1) % count;
            }
            neighbours.push(Arc::clone(members[index].1));
        }
        neighbours
    }

    /// Members of a region, ranked for `purpose` by rendezvous hashing. The loss of a member
    /// leaves the order of the all_except unchanged, so only its own duties move.
    pub fn ranked<'a>(
        purpose: &str,
        region: impl Iterator<Item = &'a Arc<MemberIdentity>>,
    ) -> Vec<Arc<MemberIdentity>> {
        let mut ranked: Vec<_> = region
            .map(|identity| (rank(&identity.name, purpose), Arc::clone(identity)))
            .collect();
        ranked.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        ranked.into_iter().map(|(_, identity)| identity).collect()
    }
}

fn all_except<'a>(
    name: &str,
    members: impl Iterator<Item = &'a Arc<MemberIdentity>>,
) -> Vec<Arc<MemberIdentity>> {
    members
        .filter(|identity| &*identity.name != name)
        .cloned()
        .collect()
}

/// Hash that is the same on all machines and in all versions, unlike that of maps.
fn rank(name: &str, purpose: &str) -> u32 {
    let hash = crc32c::crc32c(name.as_bytes());
    crc32c::crc32c_append(hash, purpose.as_bytes()).wrapping_mul(HASH_MULTIPLIER)
}
