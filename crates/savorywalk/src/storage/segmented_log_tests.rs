use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::consensus::{EntryKind, LogEntry};
use crate::storage::simulated_folder::SimulatedFolder;

const SMALL: SegmentOptions = SegmentOptions { segment_bytes: 300 };
const FIRST_SEGMENT: &str = "log-0000000000000001.seg";

fn open(folder: &SimulatedFolder) -> SegmentedLog<SimulatedFolder> {
    SegmentedLog::new(folder.clone(), SMALL)
}

fn new_log() -> (SimulatedFolder, SegmentedLog<SimulatedFolder>) {
    let folder = SimulatedFolder::default();
    let mut log = open(&folder);
    assert_eq!(log.recover().unwrap(), RecoveredState::default());
    (folder, log)
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        kind: EntryKind::Command.into(),
        payload: format!("command {index} of term {term}").into(),
    }
}

fn entries(first: u64, last: u64, term: u64) -> PersistBatch {
    PersistBatch {
        entries: (first..=last).map(|index| entry(index, term)).collect(),
        ..PersistBatch::default()
    }
}

fn snapshot(index: u64, term: u64, replaces_log: bool) -> PersistBatch {
    PersistBatch {
        snapshot: Some(SnapshotRecord {
            index,
            term,
            membership: None,
            state: "state".into(),
        }),
        replaces_log,
        ..PersistBatch::default()
    }
}

fn vote(term: u64) -> PersistBatch {
    PersistBatch {
        hard_state: Some(HardState {
            term,
            vote: 7,
            cluster: 9,
        }),
        ..PersistBatch::default()
    }
}

fn places(state: &RecoveredState) -> Vec<(u64, u64)> {
    let entries = state.entries.iter();
    entries.map(|entry| (entry.index, entry.term)).collect()
}

fn recovered(folder: &SimulatedFolder) -> RecoveredState {
    open(folder).recover().unwrap()
}

#[test]
fn what_was_persisted_is_recovered_over_many_segments() {
    let (folder, mut log) = new_log();
    for index in 1..=40 {
        log.persist(&[entries(index, index, 2), vote(index)])
            .unwrap();
    }
    assert!(folder.list().unwrap().len() > 5);
    let state = recovered(&folder);
    assert_eq!(state.entries.len(), 40);
    assert_eq!(state.hard_state.term, 40);
}

#[test]
fn a_replaced_index_drops_all_after_it() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 5, 1), entries(3, 4, 2)]).unwrap();
    let state = recovered(&folder);
    assert_eq!(places(&state), [(1, 1), (2, 1), (3, 2), (4, 2)]);
}

#[test]
fn a_snapshot_keeps_the_entries_after_it_and_frees_the_segments_before() {
    let (folder, mut log) = new_log();
    for index in 1..=30 {
        log.persist(&[entries(index, index, 1), vote(3)]).unwrap();
    }
    log.persist(&[snapshot(28, 1, false)]).unwrap();
    let held = log
        .segments
        .iter()
        .filter(|segment| segment.max_index <= 28);
    assert!(held.count() <= 1, "{:?}", log.segments);
    assert!(!folder.list().unwrap().contains(&FIRST_SEGMENT.to_string()));
    let state = recovered(&folder);
    assert_eq!(places(&state), [(29, 1), (30, 1)]);
    assert_eq!(state.hard_state.term, 3);
}

#[test]
fn a_snapshot_in_place_of_the_log_leaves_nothing_of_it() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 20, 1)]).unwrap();
    log.persist(&[snapshot(10, 2, true), entries(11, 11, 2)])
        .unwrap();
    assert_eq!(places(&recovered(&folder)), [(11, 2)]);
    let mut log = open(&folder);
    log.recover().unwrap();
    log.persist(&[snapshot(11, 2, false), entries(12, 12, 3)])
        .unwrap();
    assert_eq!(places(&recovered(&folder)), [(12, 3)]);
}

#[test]
fn entries_that_do_not_join_a_newer_snapshot_are_left_out() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 20, 1)]).unwrap();
    let record = snapshot(10, 2, true).snapshot.unwrap();
    sealed_file::write(&mut folder.clone(), &snapshot_name(10), &record).unwrap();
    let state = recovered(&folder);
    assert_eq!(state.snapshot.as_ref().map(|held| held.index), Some(10));
    assert_eq!(places(&state), []);
}

/// Crashes at every possible sync, with many ways of tearing what was unsynced.
#[test]
fn a_crash_at_any_sync_loses_nothing_that_was_synced() {
    for seed in 0..400 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (folder, mut log) = new_log();
        folder.fail_sync_after(random.random_range(0..40));
        let mut synced = 0;
        let mut snapshot_index = 0;
        for index in 1..=60 {
            let mut batches = vec![entries(index, index, 1)];
            if index % 7 == 0 {
                snapshot_index = index - 2;
                batches.insert(0, snapshot(snapshot_index, 1, false));
            }
            if log.persist(&batches).is_err() {
                break;
            }
            synced = index;
        }
        folder.crash(&mut random);
        let state = open(&folder).recover();
        let state = state.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let base = state.snapshot.as_ref().map_or(0, |held| held.index);
        let last = base + state.entries.len() as u64;
        assert!(last >= synced, "seed {seed}: {last} of {synced}");
        assert!(base <= snapshot_index, "seed {seed}");
        let again = recovered(&folder);
        assert_eq!(again, state, "seed {seed}");
    }
}

#[test]
fn damage_of_any_synced_byte_is_refused() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..300 {
        let (folder, mut log) = new_log();
        log.persist(&[entries(1, 2, 1)]).unwrap();
        log.persist(&[entries(3, 4, 1)]).unwrap();
        let synced = log.segments[0].bytes;
        let offset = random.random_range(0..synced);
        folder.flip_bit(FIRST_SEGMENT, offset);
        let error = open(&folder).recover().unwrap_err();
        assert!(
            matches!(error, StorageError::Damaged { .. }),
            "byte {offset}: {error}"
        );
    }
}

#[test]
fn damage_names_the_file_and_the_remedy() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 2, 1)]).unwrap();
    folder.flip_bit(FIRST_SEGMENT, 70);
    let error = open(&folder).recover().unwrap_err().to_string();
    insta::assert_snapshot!(error, @"log-0000000000000001.seg is damaged at byte 44; move the data folder away and restart, so that the replica comes back under a new identity and catches up from the others");
}

#[test]
fn damage_of_a_snapshot_is_refused() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 5, 1), snapshot(4, 1, false)])
        .unwrap();
    folder.flip_bit(&snapshot_name(4), 20);
    let error = open(&folder).recover().unwrap_err();
    assert!(matches!(error, StorageError::Damaged { .. }), "{error}");
}

#[test]
fn a_missing_segment_is_refused() {
    let (folder, mut log) = new_log();
    for index in 1..=30 {
        log.persist(&[entries(index, index, 1)]).unwrap();
    }
    for number in [1, 2] {
        let name = segment_name(number);
        let mut copy = folder.copy();
        copy.remove(&name).unwrap();
        let error = open(&copy).recover().unwrap_err();
        assert!(matches!(error, StorageError::Missing { .. }), "{error}");
    }
}

#[test]
fn an_unknown_format_is_refused() {
    let (folder, _log) = new_log();
    let mut header = segment_scan::encode_header(1);
    header[4] = 9;
    let checksum = crc32c::crc32c(&header[..16]);
    header[16..].copy_from_slice(&checksum.to_le_bytes());
    folder.clone().write_at(FIRST_SEGMENT, 0, &header).unwrap();
    let error = open(&folder).recover().unwrap_err();
    assert!(
        matches!(
            error,
            StorageError::UnsupportedFormat {
                found: 9,
                known: 1,
                ..
            }
        ),
        "{error}"
    );
}

#[test]
fn a_failed_sync_is_never_tried_again() {
    let (folder, mut log) = new_log();
    folder.fail_sync_after(0);
    let error = log.persist(&[entries(1, 1, 1)]).unwrap_err();
    assert!(
        matches!(error, StorageError::Io { action: "sync", .. }),
        "{error}"
    );
    folder.heal();
    let error = log.persist(&[entries(1, 1, 1)]).unwrap_err();
    assert!(matches!(error, StorageError::Stopped), "{error}");
    let error = log.recover().unwrap_err();
    assert!(matches!(error, StorageError::Stopped), "{error}");
}

#[test]
fn a_full_disk_stops_the_log_and_loses_nothing() {
    let (folder, mut log) = new_log();
    log.persist(&[entries(1, 1, 1)]).unwrap();
    folder.set_free_bytes(Some(10));
    let error = log.persist(&[entries(2, 2, 1)]).unwrap_err();
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error}");
    folder.set_free_bytes(None);
    assert_eq!(places(&recovered(&folder)), [(1, 1)]);
}
