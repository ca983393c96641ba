use super::*;
use crate::storage::LogStorage;

#[test]
fn a_folder_keeps_its_identity() {
    let place = tempfile::tempdir().unwrap();
    let first = DataFolder::open(place.path(), "control-1", 11).unwrap().id;
    let second = DataFolder::open(place.path(), "control-1", 12).unwrap().id;
    assert_eq!(first, second);
    assert_eq!(first.incarnation(), 11);
    assert_eq!(first.node(), NodeNumber::from_name("control-1"));
}

#[test]
fn a_lost_folder_comes_back_under_another_identity() {
    let place = tempfile::tempdir().unwrap();
    let first = DataFolder::open(place.path(), "control-1", 11).unwrap().id;
    std::fs::remove_dir_all(place.path()).unwrap();
    let second = DataFolder::open(place.path(), "control-1", 12).unwrap().id;
    assert_ne!(first, second);
    assert_eq!(first.node(), second.node());
}

#[test]
fn a_folder_is_used_by_one_process_at_a_time() {
    let place = tempfile::tempdir().unwrap();
    let _first = DataFolder::open(place.path(), "control-1", 11).unwrap();
    let error = DataFolder::open(place.path(), "control-1", 11).unwrap_err();
    assert!(matches!(error, StorageError::InUse), "{error}");
}

#[test]
fn a_folder_of_another_node_is_refused() {
    let place = tempfile::tempdir().unwrap();
    drop(DataFolder::open(place.path(), "control-1", 11).unwrap());
    let error = DataFolder::open(place.path(), "control-2", 11).unwrap_err();
    assert!(matches!(error, StorageError::OtherNode { .. }), "{error}");
}

#[test]
fn an_identity_without_its_log_is_refused() {
    let place = tempfile::tempdir().unwrap();
    drop(DataFolder::open(place.path(), "control-1", 11).unwrap());
    std::fs::remove_file(place.path().join("log-0000000000000001.seg")).unwrap();
    let error = DataFolder::open(place.path(), "control-1", 12).unwrap_err();
    assert!(matches!(error, StorageError::Missing { .. }), "{error}");
}

#[test]
fn a_log_without_its_identity_is_refused_once_it_was_used() {
    let place = tempfile::tempdir().unwrap();
    let mut folder = DataFolder::open(place.path(), "control-1", 11).unwrap();
    folder.log.recover().unwrap();
    let vote = crate::consensus::HardState {
        term: 3,
        ..Default::default()
    };
    let batch = crate::consensus::PersistBatch {
        hard_state: Some(vote),
        ..Default::default()
    };
    folder.log.persist(&[batch]).unwrap();
    drop(folder);
    std::fs::remove_file(place.path().join("identity")).unwrap();
    let error = DataFolder::open(place.path(), "control-1", 12).unwrap_err();
    assert!(matches!(error, StorageError::Missing { .. }), "{error}");
}
