use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use super::*;
use crate::consensus::SeededMistake;

/// Number of seeds unless `SEEDS_VARIABLE` sets another one.
const DEFAULT_SEEDS: u64 = 2_000;
const SEEDS_VARIABLE: &str = "SAVORYWALK_CONSENSUS_SEEDS";
const MAX_THREADS: usize = 4;

/// Totals of a run over many seeds.
#[derive(Debug, Default)]
struct RunTotals {
    checks: AtomicU64,
    acknowledged: AtomicU64,
    disks_lost: AtomicU64,
}

fn run_seed(
    seed: u64,
    mistake: Option<SeededMistake>,
    totals: &RunTotals,
) -> Result<(), Violation> {
    let schedule = FaultSchedule::from_seed(seed, mistake);
    let mut simulation = ClusterSimulation::new(schedule);
    let result = simulation.run();
    let acknowledged = simulation.check.acknowledged_count() as u64;
    totals
        .checks
        .fetch_add(simulation.check.checks, Ordering::Relaxed);
    totals
        .acknowledged
        .fetch_add(acknowledged, Ordering::Relaxed);
    totals
        .disks_lost
        .fetch_add(simulation.disks_lost, Ordering::Relaxed);
    result
}

/// The seeds below `count` that violate a guarantee, in ascending order.
fn failing_seeds(count: u64, totals: &RunTotals) -> Vec<(u64, Violation)> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut failing = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return failing;
            }
            if let Err(violation) = run_seed(seed, None, totals) {
                failing.push((seed, violation));
            }
        }
    };
    let mut failing = thread::scope(|scope| {
        let workers: Vec<_> = (0..MAX_THREADS).map(|_| scope.spawn(work)).collect();
        let results = workers.into_iter().map(|worker| worker.join().unwrap());
        results.flatten().collect::<Vec<_>>()
    });
    failing.sort_by_key(|(seed, _)| *seed);
    failing
}

#[test]
fn every_guarantee_holds_under_seeded_faults() {
    let wanted = std::env::var(SEEDS_VARIABLE).ok();
    let count = wanted.map_or(DEFAULT_SEEDS, |count| count.parse().unwrap());
    let totals = RunTotals::default();
    let failing = failing_seeds(count, &totals);
    println!("seeds={count} {totals:?}");
    assert_eq!(failing, [], "seeds that violate a guarantee");
    assert!(totals.acknowledged.into_inner() > count);
}

/// Seeds that failed in longer runs, above `DEFAULT_SEEDS`.
#[rstest::rstest]
#[case::learner_whose_admission_was_replaced(7_926)]
#[case::learner_whose_admission_was_replaced_after_a_snapshot(8_392)]
#[case::candidate_that_wins_an_old_term_late(9_868)]
fn a_seed_that_failed_before_passes(#[case] seed: u64) {
    assert_eq!(run_seed(seed, None, &RunTotals::default()), Ok(()));
}

#[rstest::rstest]
#[case(SeededMistake::VoteNotSynced)]
#[case(SeededMistake::LeaseTooLong)]
#[case(SeededMistake::ReturningReplicaVotes)]
fn a_seeded_mistake_is_caught(#[case] mistake: SeededMistake) {
    let totals = RunTotals::default();
    let caught = (0..DEFAULT_SEEDS).find_map(|seed| {
        let violation = run_seed(seed, Some(mistake), &totals).err()?;
        Some((seed, violation))
    });
    println!("mistake={mistake:?} caught={caught:?}");
    assert!(caught.is_some(), "{mistake:?} was not caught");
}

/// Seeds of the test with power losses, each with several of them.
const POWER_LOSS_SEEDS: u64 = 500;

/// What the lost disk held must be on the synced part of a majority of the others.
#[test]
fn a_disk_lost_while_all_others_lose_power_loses_nothing() {
    let mut disks_lost = 0;
    for seed in 0..POWER_LOSS_SEEDS {
        let mut schedule = FaultSchedule::from_seed(seed, None);
        schedule.loses_disks = true;
        schedule.loses_all_power = true;
        let mut simulation = ClusterSimulation::new(schedule);
        let result = simulation.run();
        assert!(result.is_ok(), "seed {seed}: {result:?}");
        disks_lost += simulation.disks_lost;
    }
    assert!(disks_lost >= POWER_LOSS_SEEDS / 2, "only {disks_lost}");
}
