use super::super::connection_state::MIN_IDLE_TIME;
use super::*;
use crate::http_bodies::STALL_TIME;

const PLACES: usize = 3;

fn open(table: &Arc<ConnectionTable>, now: Instant) -> OpenConnection {
    table.open(table.take_place(now).expect("a place"), now)
}

/// Guards against silent connections that keep all places while others are refused.
#[test]
fn the_connection_that_is_silent_longest_yields() {
    let table = ConnectionTable::new(PLACES);
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let connections: Vec<_> = (0..3).map(|number| open(&table, after(number))).collect();
    let fourth = open(&table, after(4));
    assert!(connections[0].state.has_yielded());
    assert!(!connections[1].state.has_yielded());
    let call = connections[1].state.begin_call(false);
    let fifth = open(&table, after(5));
    assert!(connections[2].state.has_yielded());
    assert!(!connections[1].state.has_yielded());
    drop((call, fourth, fifth));
}

/// Guards against a head that never ends and keeps its place.
#[test]
fn an_unfinished_first_head_yields_before_a_connection_that_has_been_served() {
    let table = ConnectionTable::new(2);
    let start = Instant::now();
    let served = open(&table, start);
    drop(served.state.begin_call(false));
    let unfinished = open(&table, start);
    unfinished.state.record_received(200, start);
    let _third = open(&table, start + MIN_IDLE_TIME * 3);
    assert!(unfinished.state.has_yielded());
    assert!(!served.state.has_yielded());
}

/// Guards against a connection that is closed while its caller sends the next request.
#[test]
fn a_connection_that_has_just_been_served_keeps_its_place() {
    let table = ConnectionTable::new(1);
    let start = Instant::now();
    let served = open(&table, start);
    drop(served.state.begin_call(false));
    let since = Instant::now();
    assert!(table.take_place(since + MIN_IDLE_TIME / 2).is_none());
    assert!(table.take_place(since + MIN_IDLE_TIME * 2).is_some());
    assert!(served.state.has_yielded());
}

/// Guards against places that are lost when connections end, with or without having yielded.
#[test]
fn every_place_is_given_back() {
    let table = ConnectionTable::new(PLACES);
    let start = Instant::now();
    let connections: Vec<_> = (0..50).map(|_| open(&table, start)).collect();
    assert_eq!(table.places.available_permits(), 0);
    drop(connections);
    assert_eq!(table.places.available_permits(), PLACES);
    assert!(table.connections().is_empty());
}

/// Guards against the place of a connection that is to be refused, which is none of the listener's.
#[test]
fn a_refused_connection_has_no_place_to_yield() {
    let table = ConnectionTable::new(1);
    let now = Instant::now();
    let refusals = Arc::new(Semaphore::new(1));
    let permit = refusals.try_acquire_owned().expect("a place");
    let refused = table.open_apart(permit, now);
    let first = open(&table, now);
    let call = first.state.begin_call(false);
    assert!(table.take_place(now + MIN_IDLE_TIME * 2).is_none());
    assert!(!refused.state.has_yielded());
    drop(call);
}

/// Guards against bodies that stop midway and keep all places.
#[test]
fn a_connection_whose_body_has_stopped_yields_after_those_that_wait() {
    let table = ConnectionTable::new(2);
    let start = Instant::now();
    let stalled = open(&table, start);
    let _stalled_call = stalled.state.begin_call(false);
    let _body = stalled.state.begin_body(start);
    let waiting = open(&table, start);
    drop(waiting.state.begin_call(false));
    let now = Instant::now() + MIN_IDLE_TIME + STALL_TIME;
    let third = open(&table, now);
    assert!(waiting.state.has_yielded());
    assert!(!stalled.state.has_yielded());
    let _third_call = third.state.begin_call(false);
    let _fourth = open(&table, now);
    assert!(stalled.state.has_yielded());
}

/// Guards against a request that is cut though its body arrives, or has arrived.
#[test]
fn a_connection_whose_body_arrives_keeps_its_place() {
    let table = ConnectionTable::new(1);
    let start = Instant::now();
    let connection = open(&table, start);
    let _call = connection.state.begin_call(false);
    let body = connection.state.begin_body(start);
    let later = start + STALL_TIME * 2;
    body.record_progress(later);
    assert!(table.take_place(later + STALL_TIME / 2).is_none());
    drop(body);
    assert!(table.take_place(later + STALL_TIME * 2).is_none());
}

/// Guards against calls of a shared connection that are cut with a stalled one, and against clients
/// that share a connection between stalled bodies only.
#[test]
fn a_connection_that_calls_share_yields_once_all_their_bodies_have_stopped() {
    let table = ConnectionTable::new(1);
    let start = Instant::now();
    let connection = open(&table, start);
    let _first_call = connection.state.begin_call(true);
    let _first_body = connection.state.begin_body(start);
    let second_call = connection.state.begin_call(true);
    assert!(table.take_place(start + STALL_TIME * 2).is_none());
    drop(second_call);
    assert!(table.take_place(start + STALL_TIME * 2).is_some());
    assert!(connection.state.has_yielded());
}
