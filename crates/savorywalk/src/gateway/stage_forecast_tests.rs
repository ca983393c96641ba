use super::*;
use crate::gateway::StageRule;
use crate::gateway::stage_graph::LARGE_RESULT_BYTES;

const CALL: Duration = Duration::from_millis(200);

/// A call, and a quarter of its duration for the wait.
const STEP: Duration = Duration::from_millis(250);

/// An independent stage, and a chain of three.
fn graph(first_bytes: u64) -> Arc<StageGraph> {
    let stage = |after: &[usize], result_bytes| StageRule {
        pool: "p".into(),
        after: after.to_vec(),
        result_bytes,
    };
    let rules = [
        stage(&[], first_bytes),
        stage(&[], 1),
        stage(&[1], 1),
        stage(&[2], 1),
    ];
    Arc::new(rules.into_iter().collect())
}

#[test]
fn the_tail_of_a_stage_is_its_longest_chain_of_later_stages() {
    let forecast = StageForecast::new(&graph(1), &[CALL; 4]);
    assert_eq!(forecast.tail(3), Duration::ZERO);
    assert_eq!(forecast.tail(2), STEP);
    assert_eq!(forecast.tail(1), STEP * 2);
    assert_eq!(forecast.tail(0), Duration::ZERO);
    assert_eq!(forecast.total(), STEP * 3);
}

#[test]
fn stages_that_are_left_out_take_no_time() {
    let calls = [CALL, CALL, Duration::ZERO, CALL];
    let forecast = StageForecast::new(&graph(1), &calls);
    assert_eq!(forecast.tail(1), STEP);
    assert_eq!(forecast.completion_time(3), STEP * 2);
}

#[test]
fn stages_with_large_results_end_with_the_others() {
    let forecast = StageForecast::new(&graph(LARGE_RESULT_BYTES), &[CALL; 4]);
    assert_eq!(forecast.completion_time(0), STEP * 3);
    assert_eq!(forecast.completion_time(1), STEP);
}
