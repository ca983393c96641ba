use super::*;

const INTERVAL: Duration = Duration::from_millis(1_200);

fn report(id: &str, sequence: u64) -> EndpointReport {
    EndpointReport {
        id: id.into(),
        pool: "engines".into(),
        address: "10.0.0.1:80".into(),
        sequence,
        ..Default::default()
    }
}

#[test]
fn only_what_entries_must_learn_is_a_change() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    assert_eq!(table.hear(now, report("a", 1)), HearOutcome::Changed);
    assert_eq!(table.hear(now, report("a", 2)), HearOutcome::Refreshed);
    let mut moved = report("a", 3);
    moved.slots = 9;
    assert_eq!(table.hear(now, moved), HearOutcome::Changed);
    assert_eq!(table.revision(), 2);
}

#[test]
fn an_announcement_that_was_overtaken_changes_nothing() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, report("a", 5));
    let mut late = report("a", 4);
    late.slots = 9;
    assert_eq!(table.hear(now, late), HearOutcome::Stale);
    assert_eq!(table.changed_after(0)[0].slots, 0);
}

#[test]
fn an_endpoint_falls_silent_and_is_heard_again() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, report("a", 1));
    assert!(!table.tick(now + INTERVAL * 2));
    assert!(table.tick(now + INTERVAL * 3));
    let seen = table.revision();
    assert!(table.changed_after(0)[0].silent);
    let refresh = EndpointRefresh {
        id: "a".into(),
        sequence: 2,
    };
    let later = now + INTERVAL * 4;
    assert_eq!(table.refresh(later, &refresh), HearOutcome::Changed);
    assert!(!table.changed_after(seen)[0].silent);
}

#[test]
fn a_sign_of_life_of_an_unknown_endpoint_asks_for_its_report() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let refresh = EndpointRefresh {
        id: "a".into(),
        sequence: 2,
    };
    let outcome = table.refresh(Instant::now(), &refresh);
    assert_eq!(outcome, HearOutcome::Unknown);
}

#[test]
fn a_follower_gets_just_what_changed_after_its_revision() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, report("a", 1));
    let seen = table.revision();
    table.hear(now, report("b", 1));
    let changed = table.changed_after(seen);
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].id, "b");
}

#[test]
fn an_endpoint_that_stays_silent_is_forgotten() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, report("a", 1));
    table.tick(now + INTERVAL * FORGOTTEN_ANNOUNCEMENTS);
    assert!(table.is_empty());
}
