use super::*;

#[test]
fn an_index_counts_once_its_batch_is_synced() {
    let mut ledger = PersistLedger::new(4);
    let first = ledger.issue(false, Some(6));
    let second = ledger.issue(true, Some(9));
    assert_eq!(ledger.persisted_index(), 4);
    ledger.confirm(first);
    assert_eq!(ledger.persisted_index(), 6);
    assert!(!ledger.is_synced(ledger.hard_state_sequence()));
    ledger.confirm(second);
    assert_eq!(ledger.persisted_index(), 9);
    assert!(ledger.is_synced(ledger.log_sequence()));
}

#[test]
fn a_sync_of_replaced_entries_does_not_count_for_their_successors() {
    let mut ledger = PersistLedger::new(4);
    let first = ledger.issue(false, Some(8));
    ledger.truncate_from(6);
    let second = ledger.issue(false, Some(7));
    ledger.confirm(first);
    assert_eq!(ledger.persisted_index(), 5);
    ledger.confirm(second);
    assert_eq!(ledger.persisted_index(), 7);
}

#[test]
fn a_sync_of_a_batch_never_issued_counts_for_nothing() {
    let mut ledger = PersistLedger::new(0);
    ledger.confirm(99);
    let sequence = ledger.issue(true, None);
    assert!(!ledger.is_synced(sequence));
}
