use crate::directory::PrefixHash;

/// Hashes of a prompt's prefixes, of increasing length.
///
/// Equal hashes mean equal prefixes, so an engine that processed one prompt
/// probably has the start of the other in its prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    hashes: Vec<PrefixHash>,
}

impl PromptPrefix {
    /// Hashes the prefixes of `prompt`; none if it is shorter than a block.
    pub fn new(prompt: &str) -> Self {
        Self {
            hashes: PrefixHash::of_blocks(prompt.as_bytes()),
        }
    }

    /// The hashes, that of the shortest prefix first.
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes
    }

    /// Share of this prefix, 0 to 1, that a match on the hash at `index` covers.
    pub fn share(&self, index: usize) -> f64 {
        (index + 1) as f64 / self.hashes.len().max(1) as f64
    }

    /// The hashes to store as hints: those of one, two, four blocks and so on,
    /// and of the whole prefix.
    pub fn landmarks(&self) -> impl Iterator<Item = PrefixHash> {
        let last = self.hashes.len();
        let numbered = self.hashes.iter().enumerate();
        let landmarks = numbered.filter(move |(index, _)| {
            let length = index + 1;
            length.is_power_of_two() || length == last
        });
        landmarks.map(|(_, hash)| *hash)
    }
}
