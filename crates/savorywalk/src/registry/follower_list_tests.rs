use super::*;

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

#[test]
fn entries_are_known_wherever_they_follow() {
    let now = Instant::now();
    let mut list = FollowerList::default();
    list.take_own(now, &name("a"), false);
    list.take_others(now, vec!["b".into()]);
    assert_eq!(list.all(now).names, ["a", "b"]);
    assert_eq!(list.own(now), ["a"]);
}

#[test]
fn an_entry_that_stops_calling_or_leaves_is_gone() {
    let now = Instant::now();
    let mut list = FollowerList::default();
    list.take_own(now, &name("a"), false);
    list.take_own(now, &name("b"), false);
    let before = list.all(now).digest;
    list.take_own(now, &name("a"), true);
    let after = list.all(now);
    assert_eq!(after.names, ["b"]);
    assert_ne!(after.digest, before);
    assert!(list.all(now + FOLLOWER_TIME).names.is_empty());
}
