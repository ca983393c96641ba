use super::*;
use savorywalk::cost::{CostEntry, CostKey};

const DEADLINE: Duration = Duration::from_secs(1);

fn record(at_ms: u64, workspace: &str, outcome: CallOutcome, elapsed_ms: u64) -> RequestRecord {
    RequestRecord {
        at: Duration::from_millis(at_ms),
        workspace: workspace.into(),
        outcome,
        elapsed: Duration::from_millis(elapsed_ms),
    }
}

#[test]
fn only_whole_answers_in_time_after_the_warm_up_attain() {
    let refused = CallOutcome::Refused("not_run".into());
    let records = [
        record(100, "a", CallOutcome::Answered, 10),
        record(600, "a", CallOutcome::Answered, 20),
        record(700, "a", CallOutcome::Answered, 1_001),
        record(800, "b", refused, 1),
        record(900, "b", CallOutcome::Lost("broken".into()), 1),
    ];
    let warm_up = Duration::from_millis(500);
    let span = Duration::from_millis(500);
    let report = LoadReport::new(&records, warm_up, span, DEADLINE, &[]);
    assert_eq!((report.requests, report.late), (4, 1));
    assert_eq!((report.attainment, report.goodput), (25.0, 2.0));
    assert_eq!(report.errors["not_run"], 1);
    assert_eq!(report.errors["lost"], 1);
    assert_eq!(
        (report.workspaces["a"], report.workspaces["b"]),
        (50.0, 0.0)
    );
    assert_eq!(report.attainment_without("a"), 0.0);
}

#[test]
fn waste_is_a_share_of_all_endpoint_time() {
    let line = CostLine {
        key: CostKey {
            workspace: "a".into(),
            pipeline: "draft".into(),
            stage: "generate".into(),
        },
        entry: CostEntry {
            endpoint_seconds: 3.0,
            wasted_seconds: 1.0,
            ..CostEntry::default()
        },
    };
    let report = LoadReport::new(&[], Duration::ZERO, DEADLINE, DEADLINE, &[line]);
    assert_eq!(report.wasted, 25.0);
    assert_eq!(report.stage_seconds["generate"], 3.0);
}
