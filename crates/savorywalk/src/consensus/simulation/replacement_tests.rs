use super::*;
use crate::prelude::*;

/// Time of a run in which replicas are replaced.
const REPLACING_TIME: Duration = Duration::from_secs(16);
/// Most events of a run.
const MAX_EVENTS: u64 = 2_000_000;
/// Sets another number of seeds for each size.
const SEEDS_VARIABLE: &str = "SAVORYWALK_REPLACEMENT_SEEDS";

fn replacing_schedule(seed: u64, nodes: u32) -> FaultSchedule {
    let mut schedule = FaultSchedule::from_seed(seed, None);
    schedule.nodes = nodes;
    schedule.replaces = true;
    schedule.faulty_time = REPLACING_TIME;
    schedule.max_events = MAX_EVENTS;
    schedule.fault_gap = schedule.time(Duration::from_secs(3)) + Duration::from_millis(500);
    schedule.loss_probability /= 5.0;
    schedule.max_delay /= 5;
    schedule.proposal_gap *= 4;
    schedule
}

/// Guards against lost voters that outlive their successors, under elections, pauses, splits,
/// crashes and lost disks between the replacements.
#[rstest::rstest]
#[case(3, 60)]
#[case(5, 60)]
#[case(15, 15)]
fn replacements_under_seeded_faults_keep_a_majority_and_every_entry(
    #[case] nodes: u32,
    #[case] default_seeds: u64,
) {
    let wanted = std::env::var(SEEDS_VARIABLE).ok();
    let count = wanted.map_or(default_seeds, |count| count.parse().unwrap());
    let mut replaced = 0;
    for seed in 0..count {
        let schedule = replacing_schedule(seed, nodes);
        let mut simulation = ClusterSimulation::new(schedule);
        let result = simulation.run_with_replacements();
        assert_eq!(result, Ok(()), "seed {seed}");
        replaced += simulation.replacements.removed.len() as u64;
    }
    println!("nodes={nodes} seeds={count} replaced={replaced}");
    assert!(replaced >= count * 2, "only {replaced} replacements");
}
