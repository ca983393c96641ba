use super::PrefixHash;
use crate::prelude::*;

/// A change of a model engine's prefix cache, as the engine announces it.
///
/// Engines publish these late and with gaps, so an event is a hint that
/// expires, never a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The prefix that came or went.
    pub prefix: PrefixHash,
    /// Length of the prefix, in tokens.
    pub tokens: u32,
    /// True when the engine dropped the prefix.
    #[serde(default)]
    pub evicted: bool,
}
