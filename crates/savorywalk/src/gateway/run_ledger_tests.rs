use super::*;

#[test]
fn a_request_that_was_sent_may_have_run_until_that_is_denied() {
    let mut ledger = RunLedger::default();
    assert!(ledger.not_run().is_some());
    ledger.send("a");
    assert!(ledger.not_run().is_none());
    ledger.deny();
    assert!(ledger.not_run().is_some());
}

#[test]
fn one_denial_does_not_speak_for_another_endpoint() {
    let mut ledger = RunLedger::default();
    ledger.send("a");
    ledger.send("b");
    ledger.deny();
    assert!(ledger.not_run().is_none());
    assert_eq!((ledger.sends(), ledger.runs()), (2, 1));
}
