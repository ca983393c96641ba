use super::*;
use crate::audit::{AuditEvent, AuditTrail};

fn trail(count: u64) -> Vec<AuditRecord> {
    let mut trail = AuditTrail::default();
    for index in 1..=count {
        trail.append(AuditEvent {
            stamp_ms: index * 1_000,
            index,
            author: "lead",
            kind: "patch",
            subject: "version",
            outcome: "accepted",
            detail: "",
        });
    }
    trail.read(0, 1_000).records
}

#[test]
fn an_untouched_trail_verifies() {
    let records = trail(5);
    let last = verify_chain(0, GENESIS_HASH, &records).unwrap();
    assert_eq!(last, records[4].hash);
}

#[test]
fn the_first_changed_record_is_named() {
    let mut records = trail(5);
    records[2].author = "nobody".into();
    let gap = verify_chain(0, GENESIS_HASH, &records).unwrap_err();
    assert_eq!(gap, AuditGap::Changed { sequence: 3 });
}

#[test]
fn a_changed_record_that_was_sealed_again_breaks_the_link_after_it() {
    let mut records = trail(5);
    records[2].author = "nobody".into();
    records[2].hash = record_hash(&records[2]);
    let gap = verify_chain(0, GENESIS_HASH, &records).unwrap_err();
    assert_eq!(gap, AuditGap::Unlinked { sequence: 4 });
}

#[test]
fn a_removed_record_is_named() {
    let mut records = trail(5);
    records.remove(1);
    let gap = verify_chain(0, GENESIS_HASH, &records).unwrap_err();
    let missing = AuditGap::Missing {
        expected: 2,
        found: 3,
    };
    assert_eq!(gap, missing);
}
