use super::*;

fn names(names: &[&str]) -> Vec<PeerName> {
    names
        .iter()
        .map(|name| PeerName::new(name).unwrap())
        .collect()
}

#[test]
fn followers_begin_at_different_daemons_and_stay() {
    let seeds = names(&["10-0-0-1", "10-0-0-2", "10-0-0-3"]);
    let first = MemberRing::new(seeds.clone(), 0);
    let second = MemberRing::new(seeds, 1);
    assert_ne!(first.current(), second.current());
}

#[test]
fn learning_of_members_does_not_move_a_follower() {
    let mut ring = MemberRing::new(names(&["10-0-0-1", "10-0-0-2"]), 1);
    let before = ring.current().cloned();
    ring.learn(names(&["10-0-0-0", "10-0-0-2", "10-0-0-9"]));
    assert_eq!(ring.current().cloned(), before);
}

#[test]
fn every_daemon_is_asked_in_turn() {
    let mut ring = MemberRing::new(names(&["10-0-0-1", "10-0-0-2", "10-0-0-3"]), 2);
    let mut asked = BTreeSet::new();
    for _ in 0..3 {
        asked.extend(ring.current().cloned());
        ring.advance();
    }
    assert_eq!(asked.len(), 3);
}

#[test]
fn seeds_stay_on_the_ring_when_members_are_named() {
    let mut ring = MemberRing::new(names(&["10-0-0-1"]), 0);
    ring.learn(names(&["10-0-0-7"]));
    let mut asked = BTreeSet::new();
    for _ in 0..2 {
        asked.extend(ring.current().map(|name| name.as_str().to_string()));
        ring.advance();
    }
    assert_eq!(asked, ["10-0-0-1", "10-0-0-7"].map(String::from).into());
}
