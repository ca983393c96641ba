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
        born_ms: 0,
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
        born_ms: 0,
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

/// A report of an incarnation that says when it started.
fn born(id: &str, born_ms: u64, sequence: u64) -> EndpointReport {
    EndpointReport {
        born_ms,
        ..report(id, sequence)
    }
}

fn listed(table: &RegistryTable) -> Vec<(u64, u64)> {
    let reports = table.changed_after(0);
    reports
        .iter()
        .map(|report| (report.born_ms, report.sequence))
        .collect()
}

#[test]
fn an_endpoint_that_starts_again_counts_from_its_first_announcement() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, born("a", 1_000, 57));
    let seen = table.revision();
    assert_eq!(table.hear(now, born("a", 2_000, 1)), HearOutcome::Changed);
    assert_eq!(listed(&table), [(2_000, 1)]);
    assert_eq!(table.changed_after(seen).len(), 1, "entries learn of it");
}

#[test]
fn a_delayed_report_of_a_dead_incarnation_changes_nothing() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, born("a", 2_000, 1));
    assert_eq!(table.hear(now, born("a", 1_000, 58)), HearOutcome::Stale);
    let refresh = EndpointRefresh {
        id: "a".into(),
        sequence: 59,
        born_ms: 1_000,
    };
    assert_eq!(table.refresh(now, &refresh), HearOutcome::Stale);
    assert_eq!(listed(&table), [(2_000, 1)]);
}

#[test]
fn a_sign_of_life_of_a_later_incarnation_asks_for_its_report() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, born("a", 1_000, 58));
    let refresh = EndpointRefresh {
        id: "a".into(),
        sequence: 1,
        born_ms: 2_000,
    };
    assert_eq!(table.refresh(now, &refresh), HearOutcome::Unknown);
}

#[test]
fn the_last_word_of_a_dead_incarnation_does_not_remove_the_next_one() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, born("a", 2_000, 1));
    table.remove(&born("a", 1_000, 0).incarnation());
    assert_eq!(table.len(), 1);
    table.remove(&born("a", 2_000, 0).incarnation());
    assert!(table.is_empty());
}

#[test]
fn a_report_under_a_known_name_from_another_place_is_foreign() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let now = Instant::now();
    table.hear(now, born("a", 1_000, 1));
    for change in [
        |report: &mut EndpointReport| report.address = "10.0.0.9:80".into(),
        |report: &mut EndpointReport| report.pool = "others".into(),
        |report: &mut EndpointReport| report.data_center = "elsewhere".into(),
    ] {
        let mut foreign = born("a", 1_000, 900);
        change(&mut foreign);
        assert!(table.is_elsewhere(&foreign));
        assert_eq!(table.hear(now, foreign), HearOutcome::Foreign);
    }
    let next = table.hear(now, born("a", 1_000, 2));
    assert_eq!(next, HearOutcome::Refreshed, "the endpoint's own counts");
}

#[test]
fn names_that_nobody_uses_crowd_no_living_endpoint_out() {
    let mut table = RegistryTable::new(7, INTERVAL);
    let start = Instant::now();
    for number in 0..MAX_ENDPOINTS {
        table.hear(start, report(&format!("foreign-{number}"), 1));
    }
    let later = start + Duration::from_millis(1);
    table.hear(later, report("own", 1));
    for number in 0..64 {
        table.hear(later, report(&format!("more-{number}"), 1));
    }
    assert_eq!(table.len(), MAX_ENDPOINTS);
    assert!(table.incarnation_of("own").is_some());
}
