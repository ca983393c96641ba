use crate::directory::PrefixHash;

/// Hashes of a prompt's opening at growing lengths.
///
/// Equal hashes mean equal openings, so an engine that worked on one prompt
/// probably holds the start of the other in its prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    hashes: Vec<PrefixHash>,
}

impl PromptPrefix {
    /// The hashes of `prompt`; none when it is shorter than a block.
    pub fn new(prompt: &str) -> Self {
        Self {
            hashes: PrefixHash::of_blocks(prompt.as_bytes()),
        }
    }

    /// Hashes, of the shortest opening first.
    pub fn hashes(&self) -> &[PrefixHash] {
        &self.hashes
    }

    /// Share of this prefix that a match on its `index`-th hash covers.
    pub fn share(&self, index: usize) -> f64 {
        (index + 1) as f64 / self.hashes.len().max(1) as f64
    }

    /// Hashes worth remembering: those of one, two, four blocks and so on, and
    /// of the whole prefix.
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
