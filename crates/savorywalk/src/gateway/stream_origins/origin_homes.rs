use super::StreamKey;
use crate::hashing::stable_hash;
use crate::transport::PeerName;

/// Entries that hold a copy of a stream's origin, besides the one that relays the stream.
const HOME_COUNT: usize = 3;

/// The entries that hold the origin of a stream, from a list of all entries. Lists that differ in
/// one entry give homes that differ in one entry at most.
pub(in crate::gateway) fn origin_homes<'a>(
    key: &StreamKey,
    entries: &'a [PeerName],
) -> Vec<&'a PeerName> {
    let ranks = entries.iter().map(|entry| {
        let rank = stable_hash(&[key.as_bytes(), entry.as_str().as_bytes()]);
        (rank, entry)
    });
    let mut ranked: Vec<_> = ranks.collect();
    ranked.sort_unstable();
    ranked.truncate(HOME_COUNT);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

#[cfg(test)]
#[path = "origin_homes_tests.rs"]
mod tests;
