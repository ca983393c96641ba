use super::*;
use crate::cost::WasteReason;

fn key(workspace: usize) -> CostKey {
    CostKey {
        workspace: format!("w{workspace}"),
        pipeline: "p".into(),
        stage: "s".into(),
    }
}

fn entry(millis: u64) -> CostEntry {
    let mut entry = CostEntry {
        results: 1,
        endpoint_seconds: 0.5,
        tokens: 7,
        ..CostEntry::default()
    };
    entry.add_waste(WasteReason::LostHedge, Duration::from_millis(millis));
    entry
}

#[test]
fn waste_is_summed_by_reason_and_in_all() {
    let ledger = CostLedger::default();
    ledger.add(key(1), &entry(250));
    let mut late = CostEntry::default();
    late.add_waste(WasteReason::Late, Duration::from_millis(500));
    ledger.add(key(1), &late);
    let lines = ledger.report();
    assert_eq!(lines.len(), 1);
    let entry = lines[0].entry;
    assert_eq!(entry.wasted_seconds, 0.75);
    assert_eq!(entry.waste.of(WasteReason::LostHedge), 0.25);
    assert_eq!(entry.waste.of(WasteReason::Late), 0.5);
    assert_eq!(entry.waste.of(WasteReason::Cancelled), 0.0);
}

#[test]
fn more_workspaces_than_lines_are_added_up_without_loss() {
    let ledger = CostLedger::default();
    let count = SHARDS * MAX_LINES_PER_SHARD * 2;
    for workspace in 0..count {
        ledger.add(key(workspace), &entry(0));
    }
    let lines = ledger.report();
    assert!(lines.len() <= SHARDS * MAX_LINES_PER_SHARD + 1);
    let results: u64 = lines.iter().map(|line| line.entry.results).sum();
    assert_eq!(results, count as u64);
    let other = lines
        .iter()
        .filter(|line| line.key.workspace == OTHER_WORKSPACES);
    assert_eq!(other.count(), 1);
}
