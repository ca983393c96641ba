use super::*;
use crate::gateway::StageForecast;
use crate::prelude::*;

/// Stages of a chain: more than the stack has room for calls.
const LONG_CHAIN: usize = 100_000;

/// Stages each of which needs all before it: more chains than can be walked.
const DENSE_STAGES: usize = 64;

const CALL: Duration = Duration::from_millis(4);
const STEP: Duration = Duration::from_millis(5);

fn stage(after: Vec<usize>) -> StageRule {
    StageRule {
        pool: "p".into(),
        after,
        result_bytes: 1,
    }
}

/// Guards against documents whose stages take time that grows with the number of their chains.
#[test]
fn dense_stages_are_measured_in_linear_time() {
    let graph: StageGraph = (0..DENSE_STAGES)
        .map(|index| stage((0..index).collect()))
        .collect();
    assert_eq!(graph.chain_length(0), DENSE_STAGES);
    let forecast = StageForecast::new(&graph, &[CALL; DENSE_STAGES]);
    assert_eq!(forecast.total(), STEP * DENSE_STAGES as u32);
    let last = DENSE_STAGES - 1;
    assert_eq!(forecast.completion_time(last), forecast.total());
    assert_eq!(forecast.tail(last), Duration::ZERO);
}

/// Guards against documents whose stages overflow the stack of a gateway.
#[test]
fn a_long_chain_of_stages_needs_no_stack() {
    let after = |index: usize| index.checked_sub(1).into_iter().collect();
    let graph: StageGraph = (0..LONG_CHAIN).map(|index| stage(after(index))).collect();
    assert_eq!(graph.chain_length(0), LONG_CHAIN);
    let forecast = StageForecast::new(&graph, &vec![CALL; LONG_CHAIN]);
    assert_eq!(forecast.completion_time(LONG_CHAIN - 1), forecast.total());
}
