use super::*;
use crate::audit::verify_chain;

fn append(trail: &mut AuditTrail, index: u64) {
    trail.append(AuditEvent {
        stamp_ms: index,
        index,
        author: "lead",
        kind: "patch",
        subject: "version",
        outcome: "refused",
        detail: "é".repeat(1_000).as_str(),
    });
}

#[test]
fn a_trail_stays_bounded_and_still_verifies() {
    let mut trail = AuditTrail::default();
    let count = MAX_RECORDS as u64 + 10;
    for index in 1..=count {
        append(&mut trail, index);
    }
    let reply = trail.read(0, 100);
    assert_eq!(reply.base_sequence, 10);
    assert_eq!(reply.records[0].sequence, 11);
    assert_eq!(trail.last_sequence(), count);
    verify_chain(10, &reply.previous_hash, &reply.records).unwrap();
}

#[test]
fn pages_of_a_trail_verify_on_their_own() {
    let mut trail = AuditTrail::default();
    for index in 1..=7 {
        append(&mut trail, index);
    }
    let page = trail.read(3, 2);
    assert_eq!(page.records.len(), 2);
    verify_chain(3, &page.previous_hash, &page.records).unwrap();
    assert!(trail.read(99, 2).records.is_empty());
}
