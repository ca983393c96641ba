use super::*;

fn options(seed: u64, burst: f64) -> ArrivalOptions {
    let name = |name: &str, weight| WeightedName {
        name: name.into(),
        weight,
    };
    ArrivalOptions {
        seed,
        rate: 1_000.0,
        span: Duration::from_secs(20),
        burst,
        entries: 6,
        workspaces: vec![name("a", 4.0), name("b", 1.0)],
        pipelines: vec![name("draft", 1.0)],
    }
}

#[test]
fn a_seed_gives_the_same_plan_again_and_another_seed_another() {
    let first = draw(&options(1, 1.0));
    assert_eq!(first, draw(&options(1, 1.0)));
    assert_ne!(first, draw(&options(2, 1.0)));
}

#[test]
fn the_average_rate_and_the_mix_are_as_asked_for_also_with_bursts() {
    for burst in [1.0, 4.0] {
        let plan = draw(&options(1, burst));
        let count = plan.len() as f64;
        assert!((19_000.0..21_000.0).contains(&count), "{count} requests");
        let first = plan.iter().filter(|request| request.workspace == "a");
        let share = first.count() as f64 / count;
        assert!((0.78..0.82).contains(&share), "share of a is {share}");
    }
}

#[test]
fn a_burst_takes_more_than_its_part_of_the_time() {
    let plan = draw(&options(1, 4.0));
    let in_burst = |request: &&PlannedRequest| request.at.as_secs_f64() % 1.0 < 0.2;
    let share = plan.iter().filter(in_burst).count() as f64 / plan.len() as f64;
    assert!((0.48..0.52).contains(&share), "share in bursts is {share}");
}

#[test]
fn sizes_have_a_heavy_tail() {
    let plan = draw(&options(1, 1.0));
    let mut sizes: Vec<usize> = plan
        .iter()
        .map(|request| request.input.split_whitespace().count())
        .collect();
    sizes.sort_unstable();
    let (median, high) = (sizes[sizes.len() / 2], sizes[sizes.len() * 99 / 100]);
    assert!(high >= median * 4, "median {median}, 99th of 100 {high}");
}
