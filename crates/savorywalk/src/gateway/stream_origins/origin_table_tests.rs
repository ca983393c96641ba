use super::*;

const LIFETIME: Duration = Duration::from_secs(15);

fn key(number: usize) -> StreamKey {
    StreamKey::new("w", "h", &number.to_string())
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "p".into(),
        version: Some(version.into()),
    }
}

#[test]
fn an_origin_is_known_until_its_caller_stops_waiting() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    assert!(table.insert(now, key(1), origin("v1"), LIFETIME));
    let almost = now + LIFETIME - Duration::from_millis(1);
    assert_eq!(table.find(almost, &key(1)), Some(&origin("v1")));
    assert_eq!(table.find(now + LIFETIME, &key(1)), None);
}

/// A delayed or repeated notice must not turn a stream over to another version.
#[test]
fn an_origin_never_changes_while_it_is_kept() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.insert(now, key(1), origin("v1"), LIFETIME);
    table.insert(now, key(1), origin("v2"), LIFETIME * 2);
    assert_eq!(table.find(now + LIFETIME, &key(1)), Some(&origin("v1")));
}

/// Callers of one entry must not take the memory of others.
#[test]
fn a_full_table_drops_new_origins_until_others_expire() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    for number in 0..MAX_ORIGINS {
        assert!(table.insert(now, key(number), origin("v1"), LIFETIME));
    }
    assert!(!table.insert(now, key(MAX_ORIGINS), origin("v1"), LIFETIME));
    let later = now + LIFETIME;
    assert!(table.insert(later, key(MAX_ORIGINS), origin("v1"), LIFETIME));
    assert_eq!(table.len(), 1);
}

#[test]
fn no_origin_is_kept_longer_than_the_longest_lifetime() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    table.insert(now, key(1), origin("v1"), Duration::from_secs(3_600));
    assert_eq!(table.find(now + MAX_LIFETIME, &key(1)), None);
}
