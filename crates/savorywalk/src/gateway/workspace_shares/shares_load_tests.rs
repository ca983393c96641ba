use super::ShareRule;
use super::shares_simulation::{CALL, SharesSimulation, WorkspaceLoad, capacity};

const ENDPOINTS: f64 = 8.0;

fn name(index: usize) -> String {
    format!("w{index}")
}

fn load(index: usize, per_second: f64, seconds: std::ops::Range<f64>) -> WorkspaceLoad {
    WorkspaceLoad {
        workspace: name(index),
        per_second,
        seconds,
    }
}

fn loads(rates: &[f64]) -> Vec<WorkspaceLoad> {
    let rates = rates.iter().enumerate();
    rates
        .map(|(index, rate)| load(index, *rate, 0.0..20.0))
        .collect()
}

/// Rates of 16 workspaces, the largest of which sends a fifth, at `load` times the capacity.
fn skewed(load: f64) -> Vec<f64> {
    let parts: Vec<f64> = (1..=16).map(|rank| 1.0 / f64::from(rank).sqrt()).collect();
    let sum: f64 = parts.iter().sum();
    let scale = capacity(ENDPOINTS) * load / sum;
    parts.iter().map(|part| part * scale).collect()
}

/// Max-min fair rates: nobody gets more than it sends, and what is left is shared.
fn fair_rates(sent: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..sent.len()).collect();
    order.sort_by(|left, right| sent[*left].total_cmp(&sent[*right]));
    let mut fair = vec![0.0; sent.len()];
    let mut left = total;
    for (position, index) in order.iter().enumerate() {
        fair[*index] = sent[*index].min(left / (sent.len() - position) as f64);
        left -= fair[*index];
    }
    fair
}

#[test]
fn sixteen_workspaces_at_twice_the_capacity_get_fair_shares() {
    let sent = skewed(2.0);
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&sent))
        .with_shares(&[])
        .run(20.0);
    let begun: Vec<f64> = (0..16)
        .map(|index| simulation.begun_rate(&name(index), 8.0..18.0))
        .collect();
    let total: f64 = begun.iter().sum();
    for (index, fair) in fair_rates(&sent, total).into_iter().enumerate() {
        let error = (begun[index] - fair).abs() / fair;
        assert!(error < 0.05, "w{index}: {begun:?}, fair {fair:.2}");
    }
    assert!(total > 0.95 * capacity(ENDPOINTS), "{total}");
}

/// Without shares, who sends more gets more: the measure above can fail.
#[test]
fn without_shares_the_largest_workspace_gets_most() {
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&skewed(2.0))).run(20.0);
    let largest = simulation.begun_rate("w0", 8.0..18.0);
    let smallest = simulation.begun_rate("w15", 8.0..18.0);
    assert!(largest > 2.5 * smallest, "{largest} and {smallest}");
}

#[test]
fn a_flood_delays_others_by_a_few_calls_at_most() {
    let mut rates = vec![0.8 * capacity(ENDPOINTS) / 16.0; 16];
    rates[0] *= 10.0;
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&rates))
        .with_shares(&[])
        .run(20.0);
    for index in 1..16 {
        let wait = simulation.longest_wait(&name(index));
        let part = simulation.begun_part(&name(index));
        assert!(wait < 2.0 * CALL.as_secs_f64(), "w{index} waits {wait} s");
        assert!(part > 0.98, "w{index} begins {part}");
    }
}

#[test]
fn a_decision_is_bounded_with_333_workspaces_and_2000_plans_a_second() {
    let rates = vec![2_000.0 / 333.0; 333];
    let mut simulation = SharesSimulation::new(1, 50.0, &loads(&rates))
        .with_shares(&[])
        .run(8.0);
    let begun = (0..333).map(|index| simulation.begun_rate(&name(index), 3.0..8.0) * 5.0);
    let begun: Vec<f64> = begun.collect();
    let mean = begun.iter().sum::<f64>() / 333.0;
    let least = begun.iter().copied().fold(f64::MAX, f64::min);
    assert!(least > 0.5 * mean, "{least} of {mean}: {begun:?}");
    let decisions = simulation.decisions;
    let steps = simulation.steps() as f64 / decisions as f64;
    assert!(
        steps < 8.0,
        "{steps} steps in each of {decisions} decisions"
    );
}

#[test]
fn a_workspace_that_returns_has_neither_a_burst_nor_a_penalty() {
    let rate = 2.0 * capacity(ENDPOINTS) / 16.0;
    let mut loads = loads(&[rate; 16]);
    loads[0].seconds = 0.0..5.0;
    loads.push(load(0, rate, 10.0..20.0));
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads)
        .with_shares(&[])
        .run(20.0);
    let share = capacity(ENDPOINTS) / 16.0;
    let returning = simulation.begun_rate("w0", 10.0..13.0);
    assert!(
        (returning / share - 1.0).abs() < 0.15,
        "{returning} of {share}"
    );
    let later = simulation.begun_rate("w0", 13.0..18.0);
    assert!((later / share - 1.0).abs() < 0.07, "{later} of {share}");
}

#[test]
fn unused_share_is_lent() {
    let heavy = ShareRule {
        weight: 50.0,
        floor: 0.5,
    };
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&[4.0, 400.0]))
        .with_shares(&[("w0", heavy)])
        .run(20.0);
    let [small, flood] = ["w0", "w1"].map(|name| simulation.begun_rate(name, 5.0..15.0));
    assert!(
        small + flood > 0.97 * capacity(ENDPOINTS),
        "{small} {flood}"
    );
    assert!(simulation.begun_part("w0") > 0.98);
}

#[test]
fn weights_and_floors_hold_while_workspaces_wait() {
    let heavy = ShareRule {
        weight: 3.0,
        ..ShareRule::default()
    };
    let floored = ShareRule {
        floor: 0.4,
        ..ShareRule::default()
    };
    let rates = [2.0 * capacity(ENDPOINTS); 4];
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&rates))
        .with_shares(&[("w0", heavy), ("w1", floored)])
        .run(20.0);
    let begun = [0, 1, 2, 3].map(|index| simulation.begun_rate(&name(index), 5.0..18.0));
    let total: f64 = begun.iter().sum();
    let shares = begun.map(|rate| rate / total);
    // The floor takes 0.4; the rest is shared by weight.
    for (share, expected) in shares.iter().zip([0.36, 0.4, 0.12, 0.12]) {
        assert!((share / expected - 1.0).abs() < 0.05, "{shares:?}");
    }
}

#[test]
fn nobody_is_under_half_of_its_share_when_a_coordinator_is_lost() {
    let rate = 2.0 * capacity(ENDPOINTS) / 16.0;
    let simulation = SharesSimulation::new(1, ENDPOINTS, &loads(&[rate; 16]))
        .with_shares(&[])
        .restarted_at(8.0)
        .run(20.0);
    assert_half(&simulation, capacity(ENDPOINTS) / 16.0);
}

/// Two coordinators of one shard have half of the endpoints each.
#[test]
fn nobody_is_under_half_of_its_share_with_two_coordinators() {
    let mut rates = [2.0 * capacity(ENDPOINTS) / 16.0; 16];
    rates[0] *= 10.0;
    let simulation = SharesSimulation::new(2, ENDPOINTS / 2.0, &loads(&rates))
        .with_shares(&[])
        .run(20.0);
    assert_half(&simulation, capacity(ENDPOINTS) / 16.0);
}

fn assert_half(simulation: &SharesSimulation, share: f64) {
    for index in 0..16 {
        for second in [8.0, 10.0, 12.0, 14.0, 16.0] {
            let begun = simulation.begun_rate(&name(index), second..second + 2.0);
            assert!(
                begun > share / 2.0,
                "w{index} at {second} s: {begun} of {share}"
            );
        }
    }
}
