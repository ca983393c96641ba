use sha2::{Digest, Sha256};

/// Lengths at which a prompt's opening is digested, in bytes, shortest first.
///
/// Engines cache whole blocks of some tens of tokens; coarse steps keep the
/// hints few, and reading at most 8 KiB bounds the time for a long prompt.
const STEPS: [usize; 3] = [512, 2_048, 8_192];

/// Digests of a prompt's opening at growing lengths.
///
/// Equal digests mean equal openings, so an engine that worked on one prompt
/// probably holds the start of the other in its prefix cache. The digests are
/// the same at every daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    digests: Vec<u64>,
}

impl PromptPrefix {
    /// The digests of `prompt`; none when it is shorter than the first step.
    pub fn new(prompt: &str) -> Self {
        let bytes = prompt.as_bytes();
        let mut hasher = Sha256::new();
        let mut read = 0;
        let mut digests = Vec::new();
        for step in STEPS {
            if bytes.len() < step {
                break;
            }
            hasher.update(&bytes[read..step]);
            read = step;
            digests.push(truncated(hasher.clone()));
        }
        Self { digests }
    }

    /// Digests, of the shortest opening first.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Share of this prefix that a match on its `index`-th digest covers.
    pub fn share(&self, index: usize) -> f64 {
        (index + 1) as f64 / self.digests.len().max(1) as f64
    }
}

fn truncated(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    digest
        .iter()
        .take(size_of::<u64>())
        .fold(0, |number, byte| (number << u8::BITS) | u64::from(*byte))
}
