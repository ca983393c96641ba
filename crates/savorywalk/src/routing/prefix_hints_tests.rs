use super::*;

fn prefix(text: &str) -> PromptPrefix {
    PromptPrefix::new(&text.repeat(8_192))
}

fn names(hints: &PrefixHints, now: Instant, prefix: &PromptPrefix) -> Vec<String> {
    let holders = hints.holders(now, prefix);
    holders.map(|(endpoint, _)| endpoint.to_string()).collect()
}

#[test]
fn a_hint_expires_and_an_eviction_ends_it() {
    let now = Instant::now();
    let prefix = prefix("a");
    let hash = prefix.hashes()[0];
    let mut hints = PrefixHints::default();
    hints.stored(now, hash, "engine-1");
    hints.stored(now, hash, "engine-2");
    assert_eq!(names(&hints, now, &prefix), ["engine-2", "engine-1"]);
    hints.evicted(hash, "engine-2");
    assert_eq!(names(&hints, now, &prefix), ["engine-1"]);
    assert!(names(&hints, now + HINT_TIME, &prefix).is_empty());
}

#[test]
fn a_longer_match_goes_first() {
    let now = Instant::now();
    let prefix = prefix("a");
    let mut hints = PrefixHints::default();
    hints.stored(now, prefix.hashes()[2], "whole");
    hints.stored(now, prefix.hashes()[0], "part");
    assert_eq!(names(&hints, now, &prefix), ["whole", "part"]);
}

#[test]
fn an_engine_s_own_events_make_and_end_hints() {
    let now = Instant::now();
    let prefix = prefix("a");
    let mut event = CacheEvent {
        prefix: prefix.hashes()[3],
        tokens: 256,
        evicted: false,
    };
    let mut hints = PrefixHints::default();
    hints.take_event(now, "engine-1", event);
    let shares: Vec<f64> = hints
        .holders(now, &prefix)
        .map(|(_, share)| share)
        .collect();
    assert_eq!(shares, [0.25]);
    event.evicted = true;
    hints.take_event(now, "engine-1", event);
    assert!(names(&hints, now, &prefix).is_empty());
}

#[test]
fn the_memory_is_bounded() {
    let now = Instant::now();
    let mut hints = PrefixHints::default();
    for number in 0..2 * MAX_PREFIXES {
        let hash = PrefixHash::try_from(format!("{number:016x}")).unwrap();
        for endpoint in 0..2 * MAX_HOLDERS {
            hints.stored(now, hash, &format!("engine-{endpoint}"));
        }
    }
    assert_eq!(hints.len(), MAX_PREFIXES);
    assert_eq!(hints.order.len(), MAX_PREFIXES);
    let mut holders = hints.holders.values();
    assert!(holders.all(|holders| holders.len() <= MAX_HOLDERS));
}
