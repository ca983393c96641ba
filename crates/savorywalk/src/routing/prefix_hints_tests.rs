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
    let digest = prefix.digests()[0];
    let mut hints = PrefixHints::default();
    hints.stored(now, digest, "engine-1");
    hints.stored(now, digest, "engine-2");
    assert_eq!(names(&hints, now, &prefix), ["engine-2", "engine-1"]);
    hints.evicted(digest, "engine-2");
    assert_eq!(names(&hints, now, &prefix), ["engine-1"]);
    assert!(names(&hints, now + HINT_TIME, &prefix).is_empty());
}

#[test]
fn a_longer_match_goes_first() {
    let now = Instant::now();
    let prefix = prefix("a");
    let mut hints = PrefixHints::default();
    hints.stored(now, prefix.digests()[2], "whole");
    hints.stored(now, prefix.digests()[0], "part");
    assert_eq!(names(&hints, now, &prefix), ["whole", "part"]);
}

#[test]
fn the_memory_is_bounded() {
    let now = Instant::now();
    let mut hints = PrefixHints::default();
    for digest in 0..3 * MAX_PREFIXES as u64 {
        for endpoint in 0..2 * MAX_HOLDERS {
            hints.stored(now, digest, &format!("engine-{endpoint}"));
        }
    }
    assert_eq!(hints.len(), MAX_PREFIXES);
    assert_eq!(hints.order.len(), MAX_PREFIXES);
    assert!(
        hints
            .holders
            .values()
            .all(|holders| holders.len() <= MAX_HOLDERS)
    );
}

#[test]
fn prompts_that_differ_after_a_step_share_the_digests_before_it() {
    let common = "x".repeat(3_000);
    let first = PromptPrefix::new(&format!("{common}{}", "a".repeat(9_000)));
    let second = PromptPrefix::new(&format!("{common}{}", "b".repeat(9_000)));
    assert_eq!(first.digests()[..2], second.digests()[..2]);
    assert_ne!(first.digests()[2], second.digests()[2]);
    assert!(PromptPrefix::new("short").digests().is_empty());
}
