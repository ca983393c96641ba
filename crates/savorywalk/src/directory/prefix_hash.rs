use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Bytes of one block of a prompt; engines cache whole blocks from the start.
pub const PREFIX_BLOCK_BYTES: usize = 256;
/// Most blocks of a prompt that are hashed; longer prefixes share the last.
pub const MAX_PREFIX_BLOCKS: usize = 16;

const HASH_BYTES: usize = 8;

/// Names a prefix of a prompt: the first eight bytes of the SHA-256 of its
/// whole blocks, in hexadecimal on the wire, so that any program can make it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PrefixHash(u64);

/// Text that is no prefix hash.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is no prefix hash; send 16 hexadecimal digits")]
pub struct PrefixHashError(String);

impl PrefixHash {
    /// Hashes of every prefix of `prompt` that ends with a whole block,
    /// shortest first; at most [`MAX_PREFIX_BLOCKS`].
    pub fn of_blocks(prompt: &[u8]) -> Vec<Self> {
        let mut digest = Sha256::new();
        let blocks = prompt.chunks_exact(PREFIX_BLOCK_BYTES);
        let hashes = blocks.take(MAX_PREFIX_BLOCKS).map(|block| {
            digest.update(block);
            let mut first = [0; HASH_BYTES];
            first.copy_from_slice(&digest.clone().finalize()[..HASH_BYTES]);
            Self(u64::from_be_bytes(first))
        });
        hashes.collect()
    }
}

impl fmt::Display for PrefixHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl From<PrefixHash> for String {
    fn from(hash: PrefixHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for PrefixHash {
    type Error = PrefixHashError;

    fn try_from(text: String) -> std::result::Result<Self, PrefixHashError> {
        let digits = text.len() == HASH_BYTES * 2 && !text.starts_with('+');
        match u64::from_str_radix(&text, 16) {
            Ok(number) if digits => Ok(Self(number)),
            Ok(_) | Err(_) => Err(PrefixHashError(text)),
        }
    }
}

#[cfg(test)]
#[path = "prefix_hash_tests.rs"]
mod tests;
