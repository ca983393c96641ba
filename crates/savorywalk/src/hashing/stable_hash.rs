use std::hash::Hasher;

/// A hash that is the same at every entry, so that all of them make the same
/// choice without talking.
pub(crate) fn stable_hash(words: &[&[u8]]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for word in words {
        hasher.write(word);
        hasher.write_u8(0);
    }
    mix(hasher.finish())
}

/// Spreads every bit over all others, which the fast hasher does not do: names
/// that differ in one letter would otherwise rank alike.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
