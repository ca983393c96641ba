//! A part of prompts that crashes engines, in fleets of several sizes.

use rstest::rstest;

use super::crashing_prompts::ENGINES;
use super::{FleetPlan, SimulatedFleet};
use crate::prelude::*;

/// Pause between two sound requests with prompts.
const SOUND_PAUSE: Duration = Duration::from_millis(10);

fn smallest_fleet() -> FleetPlan {
    FleetPlan::without_faults(6, 5, 24)
}

fn fleet_of_200_vms() -> FleetPlan {
    FleetPlan::without_faults(191, 9, 169)
}

fn design_fleet() -> FleetPlan {
    FleetPlan {
        length: Duration::from_secs(14),
        ..FleetPlan::without_faults(335, 15, 1_100)
    }
}

/// Runs a plan and checks that few sound requests are refused: half as many may be served at the
/// first attempt as before, by the users' rule.
fn run(name: &str, plan: FleetPlan) -> SimulatedFleet {
    let fleet = SimulatedFleet::new(plan).run();
    let prompts = &fleet.prompts;
    println!(
        "{name}: {} crashes, {} late sends, {} of {} sound requests refused",
        prompts.crashes, prompts.late_sends, prompts.sound_refused, prompts.sound
    );
    assert_eq!(fleet.check.violations, Vec::<String>::new(), "{name}");
    assert!(prompts.sound_refused * 2 <= prompts.sound, "{name}");
    fleet
}

/// Requests with the crashing part come often, or so rarely that engines recover in between.
#[rstest]
fn a_crashing_part_is_quarantined_at_every_entry(
    #[values(smallest_fleet(), fleet_of_200_vms(), design_fleet())] plan: FleetPlan,
    #[values(40, 400)] pause_ms: u64,
) {
    let name = format!("{} entries, each {pause_ms} ms", plan.entries);
    let pause = Some(Duration::from_millis(pause_ms));
    run(&name, plan.with_prompts(1, SOUND_PAUSE, pause));
}

/// The same while entries restart, registries are lost and answers are cut.
#[rstest]
fn a_crashing_part_stays_quarantined_under_faults(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    for plan in [smallest_fleet(), fleet_of_200_vms()] {
        let name = format!("{} entries, seed {seed}", plan.entries);
        let plan = plan.with_random_faults(seed);
        let pause = Some(Duration::from_millis(100));
        run(&name, plan.with_prompts(seed, SOUND_PAUSE, pause));
    }
}

/// A data centre fails while no request crashes engines: nothing is to blame.
#[rstest]
fn engines_that_crash_at_once_put_no_part_into_quarantine(
    #[values(smallest_fleet(), fleet_of_200_vms(), design_fleet())] plan: FleetPlan,
) {
    let name = format!("{} entries, engines lost", plan.entries);
    let plan = FleetPlan {
        engine_failures: vec![(Duration::from_secs(8), ENGINES / 2)],
        ..plan.with_prompts(1, SOUND_PAUSE, None)
    };
    let fleet = run(&name, plan);
    assert_eq!(fleet.prompts.sound_refused, 0);
}

/// Engines also crash by themselves all the while, so that the part of all prompts is at more crashes
/// than the one at fault.
#[rstest]
fn a_crashing_part_is_found_among_other_crashes(
    #[values(1, 2, 3)] seed: u64,
    #[values(150, 600)] pause_ms: u64,
) {
    for plan in [smallest_fleet(), fleet_of_200_vms()] {
        let name = format!(
            "{} entries, seed {seed}, failures each {pause_ms} ms",
            plan.entries
        );
        let plan = plan.with_engine_failures(seed, Duration::from_millis(pause_ms));
        let pause = Some(Duration::from_millis(100));
        run(&name, plan.with_prompts(seed, SOUND_PAUSE, pause));
    }
}
