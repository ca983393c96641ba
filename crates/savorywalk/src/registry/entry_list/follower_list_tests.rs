use super::*;

const MEMBER: &str = "10-2-0-1";
const UNKNOWN: EntryCapacity = EntryCapacity(0);

fn name(name: &str) -> PeerName {
    PeerName::new(name).unwrap()
}

/// Lists of two control daemons. The first reports its followers to the second.
struct Pair {
    first: FollowerList,
    second: FollowerList,
}

impl Pair {
    fn new() -> Self {
        Self {
            first: FollowerList::new(1),
            second: FollowerList::new(2),
        }
    }

    /// Sends the pending changes and the digest to the second daemon; returns the outcome of
    /// the digest.
    fn report(&mut self, now: Instant) -> DigestOutcome {
        let changes = self.first.take_pending();
        let texts = |names: BTreeSet<Arc<str>>| -> Vec<String> {
            names.iter().map(ToString::to_string).collect()
        };
        let capacities = self.first.capacities_of(&changes.joined);
        let (joined, left) = (texts(changes.joined), texts(changes.left));
        self.second
            .apply_changes(now, MEMBER, &joined, &capacities, &left);
        let capacities_digest = self.first.own_capacities_digest();
        self.second
            .compare(MEMBER, &self.first.own_digest(), capacities_digest)
    }
}

#[test]
fn names_include_followers_of_all_daemons() {
    let now = Instant::now();
    let mut pair = Pair::new();
    pair.first.record_own_call(now, &name("b"), UNKNOWN, false);
    pair.second.record_own_call(now, &name("a"), UNKNOWN, false);
    assert_eq!(pair.report(now), DigestOutcome::Listed);
    assert_eq!(pair.second.names(), ["a", "b"]);
    assert_eq!(pair.second.own_names(), ["a"]);
}

#[test]
fn an_entry_that_stops_calling_or_leaves_is_removed() {
    let now = Instant::now();
    let mut list = FollowerList::new(1);
    list.record_own_call(now, &name("a"), UNKNOWN, false);
    list.record_own_call(now, &name("b"), UNKNOWN, false);
    let before = list.digest();
    list.record_own_call(now, &name("a"), UNKNOWN, true);
    assert_eq!(list.names(), ["b"]);
    assert_ne!(list.digest(), before);
    list.expire(now + FOLLOWER_TIMEOUT);
    assert!(list.names().is_empty());
    assert_eq!(list.digest(), 0);
}

/// The restart of one of a thousand entries must not cause all names to be sent again.
#[test]
fn changes_contain_only_joined_and_left_entries() {
    let now = Instant::now();
    let mut list = FollowerList::new(1);
    for number in 0..1_000 {
        list.record_own_call(now, &name(&format!("e-{number}")), UNKNOWN, false);
    }
    let known = list.revision();
    list.record_own_call(now, &name("e-7"), UNKNOWN, true);
    list.record_own_call(now, &name("new"), UNKNOWN, false);
    let changes = list.changes_after(known).unwrap();
    assert_eq!(changes.joined, ["new"]);
    assert_eq!(changes.left, ["e-7"]);
    assert_eq!(
        list.changes_after(list.revision()).unwrap(),
        EntryChanges::default()
    );
}

/// After two mismatching digests the list is requested, which restores the lost change.
#[test]
fn a_lost_change_is_detected_by_the_digest() {
    let now = Instant::now();
    let mut pair = Pair::new();
    pair.first.record_own_call(now, &name("a"), UNKNOWN, false);
    pair.first.take_pending();
    assert_eq!(pair.report(now), DigestOutcome::Unsettled);
    assert_eq!(pair.report(now), DigestOutcome::Unlisted);
    let (names, capacities) = (pair.first.own_names(), pair.first.own_capacities());
    pair.second.apply_list(now, MEMBER, &names, &capacities);
    assert_eq!(pair.report(now), DigestOutcome::Listed);
    assert_eq!(pair.second.names(), ["a"]);
}

#[test]
fn followers_of_a_lost_daemon_are_removed_unless_another_daemon_has_them() {
    let now = Instant::now();
    let mut pair = Pair::new();
    pair.first.record_own_call(now, &name("a"), UNKNOWN, false);
    pair.first.record_own_call(now, &name("b"), UNKNOWN, false);
    pair.report(now);
    let later = now + FOLLOWER_TIMEOUT;
    pair.second
        .record_own_call(later, &name("b"), UNKNOWN, false);
    pair.second.expire(later);
    assert_eq!(pair.second.names(), ["b"]);
}

/// A follower at a very old revision must be sent all entries.
#[test]
fn a_bounded_number_of_removals_is_kept() {
    let now = Instant::now();
    let mut list = FollowerList::new(1);
    list.record_own_call(now, &name("stays"), UNKNOWN, false);
    let known = list.revision();
    for number in 0..5_000 {
        let entry = name(&format!("e-{number}"));
        list.record_own_call(now, &entry, UNKNOWN, false);
        list.record_own_call(now, &entry, UNKNOWN, true);
    }
    assert!(list.changes_after(known).is_none());
    assert!(list.changes_after(list.revision()).is_some());
    assert_eq!(list.names(), ["stays"]);
}
