use super::*;

fn prefixes(letter: u8, blocks: usize) -> Vec<PrefixHash> {
    PrefixHash::of_blocks(&vec![letter; PREFIX_BLOCK_BYTES * blocks])
}

#[test]
fn the_least_recently_used_blocks_go_first_and_the_longest_prefix_before_its_start() {
    let (first, second) = (prefixes(b'a', 2), prefixes(b'b', 2));
    let mut cache = PrefixCache::new(3);
    cache.insert(&first);
    cache.insert(&second);
    assert_eq!(cache.held_blocks(&first), 1);
    assert_eq!(cache.held_blocks(&second), 2);
    cache.insert(&first);
    assert_eq!(cache.held_blocks(&first), 2);
    assert_eq!(cache.held_blocks(&second), 1);
}

#[test]
fn every_change_is_an_event_with_its_length_in_tokens() {
    let held = prefixes(b'a', 1);
    let mut cache = PrefixCache::new(1);
    cache.insert(&held);
    cache.insert(&held);
    cache.import(prefixes(b'b', 1)[0], 64);
    let events: Vec<(bool, u32)> = cache
        .take_events()
        .iter()
        .map(|event| (event.evicted, event.tokens))
        .collect();
    assert_eq!(events, [(false, 64), (false, 64), (true, 64)]);
    assert!(cache.take_events().is_empty());
}
