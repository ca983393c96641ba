use super::*;
use crate::configuration::Configuration;

fn snapshot(version: u64) -> ConfigurationSnapshot {
    ConfigurationSnapshot::build(version, Configuration::default()).unwrap()
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let cell = ConfigurationCell::new(snapshot(5));
    assert!(!cell.advance(snapshot(4)));
    assert!(!cell.advance(snapshot(5)));
    assert_eq!(cell.load().version, 5);
    assert!(cell.advance(snapshot(6)));
    assert_eq!(cell.load().version, 6);
}
