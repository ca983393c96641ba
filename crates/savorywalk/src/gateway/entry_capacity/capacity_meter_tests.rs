use super::*;

/// Runs a meter whose timer is as late as `lateness` says for the steps reported. Returns the time
/// of each change in seconds, with the steps that are reported from then on.
fn run(seconds: u64, lateness: impl Fn(f64, u32) -> f64) -> Vec<(f64, u32)> {
    let start = Instant::now();
    let mut meter = CapacityMeter::default();
    let mut changes = Vec::new();
    let mut steps = 0;
    for tick in 1..=seconds * 4 {
        let at = METER_INTERVAL * tick as u32;
        let late = Duration::from_secs_f64(lateness(at.as_secs_f64(), steps));
        if let Some(changed) = meter.record(start + at, late) {
            steps = changed;
            changes.push((at.as_secs_f64(), steps));
        }
    }
    changes
}

/// An entry that is five times slower than it reports to be keeps up only with an eighth of its
/// shards. It hands over within seconds and tries again less and less often.
#[test]
fn an_entry_that_is_much_slower_hands_over_and_does_not_swing() {
    let changes = run(600, |_, steps| match steps {
        0..=2 => 0.5,
        _ => 0.01,
    });
    let steps: Vec<u32> = changes.iter().take(3).map(|(_, steps)| *steps).collect();
    assert_eq!(steps, [1, 2, 3]);
    assert!(changes[0].0 < 4.0 && changes[2].0 < 16.0);
    let pauses = changes.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(pauses.clone().all(|pause| pause >= 5.0), "{changes:?}");
    // Each attempt to report more is one change up and one down.
    assert!(changes.len() <= 3 + 2 * 5, "{changes:?}");
}

/// Bursts of a second and the pauses of a limited process are no reason to move work.
#[test]
fn an_entry_that_is_late_for_a_moment_keeps_its_shards() {
    assert!(run(120, |at, _| if at % 10.0 < 1.0 { 0.2 } else { 0.03 }).is_empty());
    assert!(run(120, |_, _| 0.1).is_empty());
}

#[test]
fn an_entry_that_keeps_up_again_reports_all_after_a_while() {
    let changes = run(200, |at, _| if at < 30.0 { 0.5 } else { 0.0 });
    assert_eq!(
        changes.iter().map(|(_, steps)| *steps).max(),
        Some(MAX_STEPS)
    );
    assert_eq!(changes.last().map(|(_, steps)| *steps), Some(0));
}

/// An entry that has just received the shards of another one must not pass them on at once.
#[test]
fn work_that_has_just_moved_stays_for_five_seconds() {
    let start = Instant::now();
    let mut meter = CapacityMeter::default();
    let late = Duration::from_secs(1);
    for tick in 1..=6 {
        assert_eq!(meter.record(start + METER_INTERVAL * tick, late), None);
    }
    meter.record_gain(start + METER_INTERVAL * 6);
    let first = (7..200).find(|tick| meter.record(start + METER_INTERVAL * *tick, late).is_some());
    assert_eq!(first, Some(26));
}
