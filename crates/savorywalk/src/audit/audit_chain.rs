//! The chain of hashes, recomputed by whoever reads the trail.

use prost::Message;
use sha2::{Digest, Sha256};

use super::{AuditGap, AuditRecord, Result};

/// Stands for the hash of the record before the first.
pub const GENESIS_HASH: &str = "";

/// SHA-256 over a record without its own hash, in hexadecimal.
pub fn record_hash(record: &AuditRecord) -> String {
    let unsealed = AuditRecord {
        hash: String::new(),
        ..record.clone()
    };
    let digest = Sha256::digest(unsealed.encode_to_vec());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Checks that `records` follow each other and the record numbered `base`,
/// whose hash is `base_hash`; gives the last hash or names the first gap.
pub fn verify_chain(base: u64, base_hash: &str, records: &[AuditRecord]) -> Result<String> {
    let mut previous = base_hash.to_string();
    for (expected, record) in (base + 1..).zip(records) {
        let sequence = record.sequence;
        if sequence != expected {
            return Err(AuditGap::Missing {
                expected,
                found: sequence,
            });
        }
        if record.previous_hash != previous {
            return Err(AuditGap::Unlinked { sequence });
        }
        if record_hash(record) != record.hash {
            return Err(AuditGap::Changed { sequence });
        }
        previous.clone_from(&record.hash);
    }
    Ok(previous)
}

#[cfg(test)]
#[path = "audit_chain_tests.rs"]
mod tests;
