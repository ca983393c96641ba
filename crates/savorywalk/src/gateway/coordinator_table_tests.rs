use super::*;

fn entry() -> PeerName {
    PeerName::new("entry-1").unwrap()
}

/// Guards against a coordinator that loses all of its work for one late answer.
#[test]
fn a_late_coordinator_is_avoided_only_without_an_answer_to_its_probe() {
    let now = Instant::now();
    let mut table = CoordinatorTable::default();
    let probe_delay = table.record_failure(now, &entry(), FailureEvidence::Late);
    assert_eq!(probe_delay, Some(Duration::ZERO));
    assert!(!table.is_avoided(now, &entry()));
    table.record_answer(&entry());
    assert!(!table.is_avoided(now, &entry()));
    table.record_failure(now, &entry(), FailureEvidence::Late);
    let verdict = table.record_unanswered(now, &entry());
    assert_eq!(verdict, ProbeVerdict::Lost);
    assert!(table.is_avoided(now, &entry()));
}

/// Guards against a lost coordinator that is used on while it is probed.
#[test]
fn a_coordinator_without_a_sign_of_life_is_avoided_at_once() {
    let now = Instant::now();
    for evidence in [FailureEvidence::Silent, FailureEvidence::Lost] {
        let mut table = CoordinatorTable::default();
        assert!(table.record_failure(now, &entry(), evidence).is_some());
        assert!(table.is_avoided(now, &entry()));
        let mut doubted = CoordinatorTable::default();
        doubted.record_failure(now, &entry(), FailureEvidence::Late);
        assert_eq!(doubted.record_failure(now, &entry(), evidence), None);
        assert!(doubted.is_avoided(now, &entry()), "while it is probed");
    }
}

/// Guards against a late answer that brings a lost coordinator back.
#[test]
fn an_avoided_coordinator_stays_so_until_it_answers_or_its_time_is_over() {
    let now = Instant::now();
    let mut table = CoordinatorTable::default();
    table.record_failure(now, &entry(), FailureEvidence::Lost);
    table.record_failure(now, &entry(), FailureEvidence::Late);
    assert!(table.is_avoided(now, &entry()));
    let verdict = table.record_unanswered(now, &entry());
    assert_eq!(verdict, ProbeVerdict::Avoided);
    let end = now + AVOID_TIME;
    assert!(!table.is_avoided(end, &entry()));
    let verdict = table.record_unanswered(end, &entry());
    assert_eq!(verdict, ProbeVerdict::Expired);
    let probe_delay = table.record_failure(end, &entry(), FailureEvidence::Lost);
    assert_eq!(probe_delay, Some(PROBE_INTERVAL), "it is probed again");
}
