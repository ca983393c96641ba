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

/// Guards against a request that is called not run, although an endpoint from which it was withdrawn
/// may have run it, because that endpoint refused it later.
#[test]
fn a_withdrawn_send_may_have_run_whatever_follows() {
    let mut ledger = RunLedger::default();
    ledger.record_send("a");
    ledger.record_withdrawal("a");
    ledger.record_send("a");
    ledger.record_denial("a");
    ledger.forget_denials();
    assert_eq!(ledger.not_run(), None);
}

/// Guards against a request that runs at more endpoints than its route allows, and against one that
/// has no endpoint left because it was withdrawn from one.
#[test]
fn an_endpoint_counts_once_and_gets_a_withdrawn_request_again() {
    let mut ledger = RunLedger::default();
    ledger.record_send("a");
    ledger.record_send("b");
    assert!(!ledger.has_spare_endpoint(2));
    ledger.record_withdrawal("b");
    assert!(ledger.has_spare_endpoint(2));
    assert!(ledger.may_run_at("b", 2) && !ledger.may_run_at("c", 2));
    assert!(!ledger.was_sent_to("b"));
    ledger.record_send("b");
    assert!(!ledger.has_spare_endpoint(2));
    assert!(ledger.was_sent_to("b"));
    assert_eq!((ledger.runs(), ledger.sends()), (2, 3));
}
