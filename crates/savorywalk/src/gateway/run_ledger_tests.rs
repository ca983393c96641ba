use super::*;

#[test]
fn a_sent_request_may_have_run_until_the_endpoint_denies_it() {
    let mut ledger = RunLedger::default();
    assert!(ledger.not_run().is_some());
    ledger.record_send("a");
    assert!(ledger.not_run().is_none());
    ledger.record_denial("a");
    assert!(ledger.not_run().is_some());
}

#[test]
fn a_denial_counts_for_one_endpoint_only() {
    let mut ledger = RunLedger::default();
    ledger.record_send("a");
    ledger.record_send("b");
    ledger.record_denial("a");
    assert!(ledger.not_run().is_none());
    assert_eq!((ledger.sends(), ledger.runs()), (2, 1));
}

/// Guards against an endpoint that refused once and is never asked again by the same request.
#[test]
fn an_endpoint_whose_denial_is_forgotten_may_be_asked_again() {
    let mut ledger = RunLedger::default();
    ledger.record_send("a");
    ledger.record_send("b");
    ledger.record_denial("b");
    ledger.forget_denials();
    assert!(ledger.was_sent_to("a") && !ledger.was_sent_to("b"));
    assert!(ledger.not_run().is_none());
    assert_eq!((ledger.sends(), ledger.runs()), (1, 1));
}
