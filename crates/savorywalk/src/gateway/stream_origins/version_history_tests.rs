use super::*;

const TIME: Duration = Duration::from_secs(30);

fn version(name: &str) -> Option<Arc<str>> {
    Some(name.into())
}

fn only_version(history: &VersionHistory, now: Instant) -> Option<(&str, Duration)> {
    let only = history.only_version(now);
    only.map(|(version, time)| (&**version, time))
}

/// A stream may have begun at a version that was replaced a moment ago.
#[test]
fn a_version_is_the_only_one_from_the_moment_when_the_last_other_left() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    let (v1, v2) = (version("v1"), version("v2"));
    history.add(start, v1.as_ref());
    assert_eq!(only_version(&history, start + TIME), Some(("v1", TIME)));
    let release = start + TIME;
    history.add(release, v2.as_ref());
    assert_eq!(only_version(&history, release), None);
    history.remove(release + TIME, v1.as_ref());
    let later = release + TIME * 3;
    assert_eq!(only_version(&history, later), Some(("v2", TIME * 2)));
}

/// Endpoints of the only version may all crash and start again.
#[test]
fn an_empty_pool_keeps_its_history() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    let (v1, v2) = (version("v1"), version("v2"));
    history.add(start, v1.as_ref());
    history.remove(start + TIME, v1.as_ref());
    history.add(start + TIME, v1.as_ref());
    assert_eq!(only_version(&history, start + TIME), Some(("v1", TIME)));
    history.remove(start + TIME, v1.as_ref());
    history.add(start + TIME, v2.as_ref());
    let only = only_version(&history, start + TIME);
    assert_eq!(only, Some(("v2", Duration::ZERO)));
}

/// Control daemons of an earlier version report none, which says nothing about equality.
#[test]
fn an_unknown_version_is_never_the_only_one() {
    let (mut history, start) = (VersionHistory::default(), Instant::now());
    history.add(start, None);
    assert_eq!(only_version(&history, start + TIME), None);
    history.add(start, version("v1").as_ref());
    assert_eq!(only_version(&history, start + TIME), None);
}

/// An evacuation builds the roster anew.
#[test]
fn a_history_continues_only_with_the_same_version() {
    let start = Instant::now();
    let mut before = VersionHistory::default();
    before.add(start, version("v1").as_ref());
    for (name, time) in [("v1", TIME), ("v2", Duration::ZERO)] {
        let mut history = VersionHistory::default();
        history.add(start + TIME, version(name).as_ref());
        history.continue_from(&before);
        assert_eq!(only_version(&history, start + TIME), Some((name, time)));
    }
}
