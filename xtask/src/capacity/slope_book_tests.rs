use super::*;
use crate::capacity::deployment_size::{TARGET, TODAY};

const SLOPES: &str = "
[entry_bytes]
role = entry
quantity = control traffic
unit = B/s
budget = 12288
base = 100
per_daemon = 2
per_region_endpoint = 10
mechanism = directory deltas
command = run me
";

#[test]
fn a_quantity_is_its_base_and_its_growth() {
    let book = SlopeBook::parse(SLOPES).unwrap();
    assert_eq!(book.slopes[0].at(&TODAY), 100.0 + 12.0 + 340.0);
    assert_eq!(book.slopes[0].at(&TARGET), 100.0 + 700.0 + 1_580.0);
    assert_eq!(
        book.slopes[0].formula(),
        "100 + 2.00 × daemons + 10.00 × endpoints of a region"
    );
}

#[test]
fn an_unknown_count_is_an_error() {
    let text = SLOPES.replace("per_daemon", "per_moon");
    let error = SlopeBook::parse(&text).unwrap_err();
    assert!(error.to_string().starts_with("[entry_bytes] per_moon"));
}

#[test]
fn a_slope_without_its_command_is_an_error() {
    let text = SLOPES.replace("command = run me", "");
    let error = SlopeBook::parse(&text).unwrap_err();
    assert!(error.to_string().starts_with("[entry_bytes] command"));
}
