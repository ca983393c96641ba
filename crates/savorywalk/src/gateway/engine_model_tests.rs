use super::*;

const ENGINES: [&str; 4] = ["a", "b", "c", "d"];

fn targets() -> Vec<EngineTarget<'static>> {
    let target = |endpoint| EngineTarget {
        endpoint,
        slowness: 1.0,
        memory_tokens: 480_000,
    };
    ENGINES.map(target).to_vec()
}

/// A long prompt: a part that others share and the request's own.
fn prompt(shared: u64, own: u64) -> [PromptPart; 2] {
    let part = |id, tokens| PromptPart { id, tokens };
    [part(shared, 13_300), part(1_000_000 + own, 3_720)]
}

fn place(model: &mut EngineModel, now: Instant, parts: &[PromptPart]) -> (&'static str, Duration) {
    let query = PromptQuery {
        parts,
        answer_tokens: 120,
    };
    let place = model.place(now, query, &targets()).unwrap();
    (place.endpoint, place.expected)
}

#[test]
fn a_prompt_goes_where_its_shared_part_was_read() {
    let start = Instant::now();
    let mut model = EngineModel::default();
    let (first, unread) = place(&mut model, start, &prompt(1, 1));
    let later = start + Duration::from_secs(2);
    for other in 2..4 {
        assert_ne!(place(&mut model, later, &prompt(other, other)).0, "");
    }
    let again = later + Duration::from_secs(2);
    let (second, read) = place(&mut model, again, &prompt(1, 9));
    assert_eq!(second, first);
    assert!(read + Duration::from_millis(200) < unread);
}

/// A calm day of 72 entries: engines had a sixth of their time to do, and a tenth
/// of the short prompts still waited for 0.4 s behind long ones, since each entry
/// saw only its own requests.
#[test]
fn prompts_that_come_together_go_to_engines_that_are_not_reading() {
    let now = Instant::now();
    let mut model = EngineModel::default();
    let used: BTreeSet<&str> = (0..4)
        .map(|thing| place(&mut model, now, &prompt(thing, thing)).0)
        .collect();
    assert_eq!(used.len(), ENGINES.len());
}

/// `hot_key`: a third of the requests ask for one thing.
#[test]
fn a_part_that_everybody_asks_for_is_read_by_several_engines() {
    let now = Instant::now();
    let mut model = EngineModel::default();
    let mut used: BTreeMap<&str, usize> = BTreeMap::new();
    for own in 0..40 {
        let later = now + Duration::from_millis(10) * own as u32;
        let (endpoint, _) = place(&mut model, later, &prompt(7, own));
        *used.entry(endpoint).or_default() += 1;
    }
    assert_eq!(used.len(), ENGINES.len());
    assert!(used.values().all(|count| *count <= 14), "{used:?}");
}

#[test]
fn a_slow_engine_gets_less() {
    let now = Instant::now();
    let mut model = EngineModel::default();
    let mut targets = targets();
    targets[0].slowness = 5.0;
    for thing in 0..12 {
        let parts = prompt(thing, thing);
        let query = PromptQuery {
            parts: &parts,
            answer_tokens: 120,
        };
        let place = model.place(now, query, &targets).unwrap();
        assert_ne!(place.endpoint, "a");
    }
}

#[test]
fn the_parts_used_least_lately_are_taken_to_be_gone() {
    let start = Instant::now();
    let mut model = EngineModel::default();
    let one = [EngineTarget {
        endpoint: "a",
        slowness: 1.0,
        memory_tokens: 50_000,
    }];
    let expected = |model: &mut EngineModel, second: u64, thing: u64| {
        let parts = prompt(thing, second);
        let query = PromptQuery {
            parts: &parts,
            answer_tokens: 120,
        };
        let now = start + Duration::from_secs(second);
        model.place(now, query, &one).unwrap().expected
    };
    let unread = expected(&mut model, 0, 1);
    expected(&mut model, 2, 2);
    assert!(expected(&mut model, 4, 1) < unread);
    expected(&mut model, 6, 3);
    expected(&mut model, 8, 4);
    assert_eq!(expected(&mut model, 10, 1), unread);
}

#[test]
fn engines_that_are_gone_are_forgotten() {
    let now = Instant::now();
    let mut model = EngineModel::default();
    for thing in 0..8 {
        place(&mut model, now, &prompt(thing, thing));
    }
    model.retain_engines(|endpoint| endpoint == "b");
    assert_eq!(model.len(), 1);
    let query = PromptQuery {
        parts: &[],
        answer_tokens: 0,
    };
    assert_eq!(model.place(now, query, &[]), None);
}

/// Engines that read 31 tokens a millisecond where 60 were thought: what is
/// expected of them follows within some seconds of a few requests each.
#[test]
fn the_pace_of_a_pool_is_learned() {
    let start = Instant::now();
    let mut model = EngineModel::default();
    for number in 0..200 {
        let now = start + Duration::from_secs(10) * number;
        let (_, expected) = place(&mut model, now, &prompt(1, u64::from(number)));
        let unscaled = Duration::from_millis(190).as_secs_f64();
        model.observe(unscaled * 2.0 / expected.as_secs_f64());
    }
    let (_, expected) = place(
        &mut model,
        start + Duration::from_secs(9_000),
        &prompt(1, 999),
    );
    let wanted = Duration::from_millis(380);
    let error = expected.as_secs_f64() / wanted.as_secs_f64();
    assert!((0.85..1.15).contains(&error), "{expected:?}");
}
