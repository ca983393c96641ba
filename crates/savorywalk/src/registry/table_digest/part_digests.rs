use super::ReportKey;

/// Finest division of the endpoints.
const MAX_PARTS: u32 = 4_096;

/// Endpoints in a part, about: comparing costs 4 bytes a part, and a difference some 100
/// bytes for each endpoint of its part.
const PART_ENDPOINTS: usize = 16;

/// Digests of a set of endpoints, by part and of all of them; both are 0 without any.
#[derive(Clone, Debug, Default)]
pub(in crate::registry) struct PartDigests {
    /// By finest part; empty until something is added.
    leaves: Vec<u64>,
    root: u64,
}

/// Parts into which so many endpoints are divided for a comparison.
pub(in crate::registry) fn parts_for(endpoints: usize) -> u32 {
    let parts = (endpoints / PART_ENDPOINTS).max(1).next_power_of_two();
    parts.min(MAX_PARTS as usize) as u32
}

impl PartDigests {
    /// Adds an endpoint, or removes one that was added.
    pub(in crate::registry) fn toggle(&mut self, key: &ReportKey) {
        if self.leaves.is_empty() {
            self.leaves = vec![0; MAX_PARTS as usize];
        }
        self.leaves[key.part(MAX_PARTS) as usize] ^= key.content;
        self.root ^= key.content;
    }

    /// Digest of all endpoints.
    pub(in crate::registry) fn root(&self) -> u64 {
        self.root
    }

    /// Digest of one of `parts` parts, a power of two.
    pub(in crate::registry) fn part(&self, part: u32, parts: u32) -> u32 {
        let width = (MAX_PARTS / parts.clamp(1, MAX_PARTS)) as usize;
        let first = part as usize * width;
        let leaves = self.leaves.iter().skip(first).take(width);
        let digest = leaves.fold(0, |digest, leaf| digest ^ leaf);
        (digest ^ (digest >> u32::BITS)) as u32
    }
}
