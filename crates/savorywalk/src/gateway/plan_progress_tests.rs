use super::*;
use crate::gateway::StageRule;
use crate::gateway::stage_graph::LARGE_RESULT_BYTES;

/// A chain of three stages, and one independent stage.
fn progress() -> PlanProgress {
    let stage = |after: &[usize]| StageRule {
        pool: "pool".into(),
        after: after.to_vec(),
        result_bytes: 1,
    };
    let rules = [stage(&[]), stage(&[0]), stage(&[1]), stage(&[])];
    PlanProgress::new(Arc::new(rules.into_iter().collect()))
}

/// Results of 3 MB were stored for the second that the chain beside them took, and filled the
/// result capacity of their pool.
#[test]
fn stages_with_large_results_start_just_in_time() {
    let mut rules = progress().graph.rules().to_vec();
    rules[3].result_bytes = LARGE_RESULT_BYTES;
    let mut progress = PlanProgress::new(Arc::new(rules.into_iter().collect()));
    assert_eq!(started(&mut progress), [0]);
    progress.finish(0, handles(&["a"]));
    assert_eq!(started(&mut progress), [1]);
    progress.finish(1, handles(&["b"]));
    assert_eq!(started(&mut progress), [2, 3]);
}

fn handles(names: &[&str]) -> Arc<[ResultHandle]> {
    names
        .iter()
        .map(|name| ResultHandle((*name).into()))
        .collect()
}

fn started(progress: &mut PlanProgress) -> Vec<usize> {
    let starts = progress.start_ready().into_iter();
    starts.map(|start| start.stage).collect()
}

#[test]
fn a_stage_starts_once_its_inputs_are_complete() {
    let mut progress = progress();
    assert_eq!(started(&mut progress), [0, 3]);
    assert!(started(&mut progress).is_empty());
    progress.finish(0, handles(&["a", "b"]));
    let starts = progress.start_ready();
    assert_eq!(starts[0].inputs, Some(handles(&["a", "b"])));
}

#[test]
fn results_are_released_once_no_stage_needs_them() {
    let mut progress = progress();
    started(&mut progress);
    assert!(progress.finish(0, handles(&["a"])).is_empty());
    started(&mut progress);
    assert_eq!(
        progress.finish(1, handles(&["b"])),
        handles(&["a"]).to_vec()
    );
    started(&mut progress);
    progress.finish(2, handles(&["c"]));
    progress.finish(3, handles(&["d"]));
    assert!(progress.is_complete());
    assert_eq!(progress.take_final_results(), handles(&["c", "d"]).to_vec());
}

/// An endpoint crashed: the results of stage 1 were lost when stage 2 asked for them, those of
/// stage 0 had been released long before, and stage 1 was started again without inputs.
#[test]
fn lost_inputs_are_recomputed_with_the_released_results_they_depend_on() {
    let mut progress = progress();
    started(&mut progress);
    progress.finish(0, handles(&["a"]));
    started(&mut progress);
    progress.finish(1, handles(&["b"]));
    started(&mut progress);
    let left = progress.recompute_inputs(2).unwrap();
    assert_eq!(left, handles(&["b"]).to_vec());
    assert_eq!(started(&mut progress), [0]);
    progress.finish(0, handles(&["a2"]));
    let starts = progress.start_ready();
    assert_eq!(starts[0].stage, 1);
    assert_eq!(starts[0].inputs, Some(handles(&["a2"])));
}

#[test]
fn lost_results_are_recomputed_a_limited_number_of_times() {
    let mut progress = progress();
    for _ in 0..MAX_RECOMPUTATIONS {
        progress.recompute_inputs(2).unwrap();
    }
    assert_eq!(progress.recompute_inputs(2), Err(RecomputationLimit));
}

#[test]
fn releasing_all_returns_every_result() {
    let mut progress = progress();
    started(&mut progress);
    progress.finish(0, handles(&["a"]));
    progress.finish(3, handles(&["d"]));
    assert_eq!(progress.release_all().len(), 2);
}

/// Guards against pieces of a stage that is executed again and count as sent for the first time.
#[test]
fn a_stage_that_is_executed_again_is_a_rerun() {
    let stage = |after: &[usize]| crate::gateway::StageRule {
        pool: "pool".into(),
        after: after.to_vec(),
        result_bytes: 1_000,
    };
    let graph: StageGraph = [stage(&[]), stage(&[0])].into_iter().collect();
    let mut progress = PlanProgress::new(Arc::new(graph));
    assert!(progress.start_ready().iter().all(|start| !start.is_rerun));
    progress.finish(0, Arc::default());
    assert!(progress.start_ready().iter().all(|start| !start.is_rerun));
    progress.recompute_inputs(1).unwrap();
    let starts = progress.start_ready();
    assert!(!starts.is_empty() && starts.iter().all(|start| start.is_rerun));
}

/// Guards against a stack that grows with the stages whose results have to be made again.
#[test]
fn released_results_of_a_long_chain_are_recomputed_without_stack() {
    const STAGES: usize = 100_000;
    let rules = (0..STAGES).map(|index| StageRule {
        pool: "pool".into(),
        after: index.checked_sub(1).into_iter().collect(),
        result_bytes: 1,
    });
    let mut progress = PlanProgress::new(Arc::new(rules.collect()));
    progress.states.fill(StageState::Released);
    assert_eq!(progress.recompute_inputs(STAGES - 1), Ok(Vec::new()));
    assert!(
        progress
            .states
            .iter()
            .all(|state| *state == StageState::Waiting)
    );
}
