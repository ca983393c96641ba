use super::*;

fn identity(parts: &[u64]) -> RequestIdentity {
    let digest = RequestDigest::from_bytes(&[7; 16]).unwrap();
    // The last part belongs to the request.
    let prompt = [parts, &[99]].concat();
    RequestIdentity::new(digest, prompt.into_iter())
}

fn quarantine(part: u64, companions: &[u64]) -> PartQuarantine {
    PartQuarantine {
        part,
        companions: companions.to_vec(),
    }
}

fn list(quarantines: &[PartQuarantine]) -> QuarantineList {
    let mut list = QuarantineList::default();
    list.apply_parts(1, &[1, 2], quarantines);
    list
}

#[test]
fn a_request_with_a_quarantined_part_is_found() {
    let list = list(&[quarantine(2, &[])]);
    assert_eq!(
        list.find(&identity(&[1, 2])),
        Some(CrashSuspect::Part(PartId(2)))
    );
    assert_eq!(list.find(&identity(&[1])), None);
    assert_eq!(list.find(&identity(&[])), None);
}

/// Sound requests share the other parts of the crashing ones.
#[test]
fn a_request_without_the_companions_is_not_found() {
    let list = list(&[quarantine(2, &[1])]);
    assert!(list.find(&identity(&[1, 2])).is_some());
    assert!(list.find(&identity(&[1, 2, 3])).is_some());
    assert_eq!(list.find(&identity(&[2, 3])), None);
    assert_eq!(list.find(&identity(&[1])), None);
}

/// The last part belongs to the request or its session.
#[test]
fn the_last_part_of_a_prompt_does_not_count() {
    let list = list(&[quarantine(99, &[])]);
    assert_eq!(list.find(&identity(&[1])), None);
}

/// A control daemon that lags, or one of an earlier version, must not release a part.
#[test]
fn an_older_revision_changes_nothing() {
    let mut list = list(&[quarantine(2, &[])]);
    assert!(!list.apply_parts(0, &[], &[]));
    assert!(!list.apply_parts(1, &[], &[]));
    assert!(list.find(&identity(&[2])).is_some());
    assert!(list.apply_requests(1, &[Bytes::from_static(&[7; 16])]));
    assert!(list.find(&identity(&[])).is_some());
    assert_eq!(list.part_revision(), 1);
}
