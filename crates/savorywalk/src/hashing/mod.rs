//! Hashes by which daemons make the same choice, or each its own lasting one,
//! without talking.

mod stable_hash;

pub(crate) use stable_hash::stable_hash;
