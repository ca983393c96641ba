use super::*;

fn names(names: &[&str]) -> Vec<PeerName> {
    names
        .iter()
        .map(|name| PeerName::new(name).unwrap())
        .collect()
}

/// Followers of each daemon, by its name.
fn loads(rings: &[MemberRing]) -> FastMap<&str, usize> {
    let mut loads = FastMap::default();
    for name in rings.iter().filter_map(MemberRing::current) {
        *loads.entry(name.as_str()).or_default() += 1;
    }
    loads
}

/// The rings of 191 followers that were told of nine daemons by one of three.
fn settled() -> Vec<MemberRing> {
    let all: Vec<String> = (1..=9).map(|number| format!("10-0-0-{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    let rings = (0..191).map(|place| {
        let mut ring = MemberRing::new(names(&all[..3]), place);
        ring.learn(names(&all));
        ring.settle();
        ring
    });
    rings.collect()
}

/// A daemon with half as much again as its part is still no hot spot.
fn is_even(loads: &FastMap<&str, usize>, daemons: usize) -> bool {
    let mean = 191.0 / daemons as f64;
    loads.values().all(|load| (*load as f64) < 1.5 * mean)
}

#[test]
fn followers_begin_evenly_at_the_seeds() {
    let seeds = names(&["10-0-0-1", "10-0-0-2", "10-0-0-3"]);
    let rings = (0..191).map(|place| MemberRing::new(seeds.clone(), place));
    let rings: Vec<MemberRing> = rings.collect();
    assert!(is_even(&loads(&rings), 3), "{:?}", loads(&rings));
}

/// On one ring for all followers those of the seeds stayed there: three of nine
/// daemons had all of them.
#[test]
fn followers_settle_evenly_at_all_daemons() {
    let rings = settled();
    assert!(is_even(&loads(&rings), 9), "{:?}", loads(&rings));
}

/// On one ring for all followers they all went to the same next daemon, and after a
/// restart of one daemon after the other a single one had all of them.
#[test]
fn the_followers_of_lost_daemons_spread_over_the_others() {
    let mut rings = settled();
    for number in 1..=9 {
        let lost = PeerName::new(&format!("10-0-0-{number}")).unwrap();
        for ring in rings
            .iter_mut()
            .filter(|ring| ring.current() == Some(&lost))
        {
            ring.advance();
        }
        let most = loads(&rings).values().copied().max();
        assert!(
            most < Some(64),
            "after the loss of {lost}: {:?}",
            loads(&rings)
        );
    }
}

#[test]
fn a_follower_settles_once() {
    let mut ring = settled().remove(0);
    let home = ring.current().cloned();
    ring.advance();
    ring.settle();
    assert_ne!(ring.current().cloned(), home);
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

/// Daemons of a cluster that is founded become members one after the other.
#[test]
fn followers_move_when_daemons_join() {
    let all: Vec<String> = (1..=14).map(|number| format!("10-0-0-{number}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    let mut rings: Vec<MemberRing> = (0..984)
        .map(|place| MemberRing::new(names(&all[..3]), place))
        .collect();
    for members in 3..=14 {
        for ring in &mut rings {
            ring.learn(names(&all[..members]));
            ring.settle();
        }
    }
    let loads = loads(&rings);
    let most = loads.values().max();
    assert!(most < Some(&105), "{loads:?}");
}
