use super::ReportKey;

/// Maximum number of parts, and the number of digests that are kept.
const MAX_PARTS: u32 = 4_096;

/// Average number of endpoints in a part. A comparison costs 4 bytes per part, and a difference
/// some 100 bytes for each endpoint of the part.
const PART_ENDPOINTS: usize = 16;

/// Digests of a set of endpoints, for each part and for the whole set. The digest of an empty
/// part or set is 0.
#[derive(Clone, Debug, Default)]
pub(in crate::registry) struct PartDigests {
    /// Digests by part of the finest division; empty until the first endpoint is added.
    leaves: Vec<u64>,
    root: u64,
}

/// Number of parts into which a number of endpoints is divided for a comparison; a power of two.
pub(in crate::registry) fn parts_for(endpoints: usize) -> u32 {
    let parts = (endpoints / PART_ENDPOINTS).max(1).next_power_of_two();
    parts.min(MAX_PARTS as usize) as u32
}

impl PartDigests {
    /// Adds an endpoint, or removes one that was added before. Both are the same XOR.
    pub(in crate::registry) fn toggle(&mut self, key: &ReportKey) {
        if self.leaves.is_empty() {
            self.leaves = vec![0; MAX_PARTS as usize];
        }
        self.leaves[key.part(MAX_PARTS) as usize] ^= key.content_hash;
        self.root ^= key.content_hash;
    }

    /// Digest of all endpoints.
    pub(in crate::registry) fn root(&self) -> u64 {
        self.root
    }

    /// Digest of one of `parts` parts; `parts` is a power of two.
    pub(in crate::registry) fn part(&self, part: u32, parts: u32) -> u32 {
        let width = (MAX_PARTS / parts.clamp(1, MAX_PARTS)) as usize;
        let first = part as usize * width;
        let leaves = self.leaves.iter().skip(first).take(width);
        let digest = leaves.fold(0, |digest, leaf| digest ^ leaf);
        (digest ^ (digest >> u32::BITS)) as u32
    }
}
