//! Size of the answers with tables and lists that grow with the fleet.

use prost::Message;
use rstest::rstest;

use crate::prelude::*;
use crate::registry::entry_list::FollowerList;
use crate::registry::{
    BootTime, EndpointReport, EntryCapacity, FollowReply, FollowState, RegistryTable,
};
use crate::transport::PeerName;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// Bytes that a link of 10 Mbit/s carries in a tenth of a second. An answer that takes longer
/// than its timeout is sent again and again and never arrives.
const MAX_ANSWER_BYTES: usize = 125_000;

fn report(number: usize) -> EndpointReport {
    EndpointReport {
        id: format!("i-{number:010x}"),
        pool: format!("pool-{}", number % 5),
        address: format!(
            "10.{}.{}.{}:8080",
            number / 62_500,
            number / 250 % 250,
            number % 250
        ),
        data_center: format!("center-{}", number % 5),
        slots: 64,
        born_ms: 1_700_000_000_000,
        ..Default::default()
    }
}

fn table(epoch: u64, endpoints: usize) -> RegistryTable {
    let now = Instant::now();
    let mut table = RegistryTable::new(epoch, ANNOUNCE_INTERVAL);
    for number in 0..endpoints {
        table.record(now, report(number));
    }
    table.publish(now);
    table
}

/// Calls and answers until an entry has the whole table, with their sizes in bytes.
struct Exchange {
    calls: usize,
    bytes: usize,
    largest: usize,
}

fn follow(state: &mut FollowState, table: &RegistryTable) -> Exchange {
    let at = BootTime::after(Duration::from_secs(1));
    let mut exchange = Exchange {
        calls: 0,
        bytes: 0,
        largest: 0,
    };
    loop {
        let call = state.next_call(Duration::ZERO);
        let is_synced =
            call.table_epoch == table.epoch() && call.table_revision == table.revision();
        if is_synced {
            return exchange;
        }
        let mut reply = FollowReply::default();
        reply.add_endpoints(&call, table);
        let size = call.encoded_len() + reply.encoded_len();
        exchange.calls += 1;
        exchange.bytes += size;
        exchange.largest = exchange.largest.max(size);
        state.apply(at, at, reply);
        assert!(exchange.calls < 1_000, "never synced");
    }
}

fn known(state: &FollowState) -> Vec<&str> {
    state
        .endpoints()
        .map(|known| known.report.id.as_str())
        .collect()
}

#[rstest]
fn a_new_entry_is_sent_the_table_in_answers_of_bounded_size(
    #[values(1_100, 10_001, 20_000)] endpoints: usize,
) {
    let mut state = FollowState::default();
    let exchange = follow(&mut state, &table(1, endpoints));
    assert_eq!(state.endpoints().count(), endpoints);
    println!(
        "{endpoints}: {} calls, {} B",
        exchange.calls, exchange.bytes
    );
    assert!(
        exchange.largest < MAX_ANSWER_BYTES,
        "{} B",
        exchange.largest
    );
}

/// Tables differ by the endpoints that start and end within the announcement interval.
#[rstest]
fn traffic_of_an_entry_that_changes_registries_depends_on_the_differences(
    #[values(1_100, 10_001, 20_000)] endpoints: usize,
) {
    let mut state = FollowState::default();
    follow(&mut state, &table(1, endpoints));
    let mut other = table(2, endpoints);
    let now = Instant::now();
    let removed = report(3);
    other.remove(&removed.incarnation());
    other.record(now, report(endpoints + 1));
    let silent = EndpointReport {
        silent: true,
        sequence: 9,
        ..report(5)
    };
    other.record_from(now, "10-2-0-1", silent);
    let exchange = follow(&mut state, &other);
    println!(
        "{endpoints}: {} calls, {} B",
        exchange.calls, exchange.bytes
    );
    assert!(exchange.bytes < 12_000, "{} B", exchange.bytes);
    let new = report(endpoints + 1).id;
    assert!(state.endpoint(&new).is_some());
    assert!(state.endpoint("i-0000000005").unwrap().report.silent);
    // An endpoint that only the previous registry listed is kept for a while.
    assert!(
        state
            .endpoint(&removed.id)
            .unwrap()
            .unlisted_since
            .is_some()
    );
    let others = state
        .endpoints()
        .filter(|known| known.unlisted_since.is_some());
    assert_eq!(others.count(), 1);
}

/// A registry that has just started lists few endpoints at first.
#[test]
fn endpoints_that_a_restarted_registry_does_not_list_are_kept_at_first() {
    let mut state = FollowState::default();
    follow(&mut state, &table(1, 2_000));
    follow(&mut state, &table(2, 10));
    assert_eq!(state.endpoints().count(), 2_000);
    follow(&mut state, &table(3, 2_000));
    let unlisted = state
        .endpoints()
        .filter(|known| known.unlisted_since.is_some());
    assert_eq!(unlisted.count(), 0);
}

/// An update must not be lost while a comparison is in progress.
#[test]
fn a_change_during_a_comparison_is_sent_after_it() {
    let mut state = FollowState::default();
    follow(&mut state, &table(1, 1_000));
    let mut other = table(2, 900);
    let at = BootTime::after(Duration::from_secs(1));
    for _ in 0..2 {
        let mut reply = FollowReply::default();
        reply.add_endpoints(&state.next_call(Duration::ZERO), &other);
        state.apply(at, at, reply);
        other.record(Instant::now(), report(5_000));
    }
    follow(&mut state, &other);
    assert!(known(&state).contains(&report(5_000).id.as_str()));
}

#[test]
fn a_full_table_refuses_new_endpoints_and_keeps_live_ones() {
    let now = Instant::now();
    let mut table = RegistryTable::with_limit(1, ANNOUNCE_INTERVAL, 100);
    for round in 0..3_u32 {
        for number in 0..150 {
            let sequence = u64::from(round) + 1;
            let announced = EndpointReport {
                sequence,
                ..report(number)
            };
            table.record(now + ANNOUNCE_INTERVAL * round, announced);
        }
    }
    assert_eq!(table.len(), 100);
    let settled = table.revision();
    for number in 0..150 {
        let announced = EndpointReport {
            sequence: 9,
            ..report(number)
        };
        table.record(now + ANNOUNCE_INTERVAL * 3, announced);
    }
    assert_eq!(table.revision(), settled, "no endpoint is dropped any more");
    assert!(table.refused() > 0);
}

/// An entry restarts, and hundreds of others are sent the change.
#[rstest]
fn traffic_of_entry_changes_does_not_grow_with_the_fleet(
    #[values(335, 984, 2_000)] entries: usize,
) {
    let now = Instant::now();
    let name = |number: usize| PeerName::new(&format!("10-1-{number}")).unwrap();
    let mut list = FollowerList::new(1);
    for number in 0..entries {
        list.record_own_call(now, &name(number), EntryCapacity::default(), false);
    }
    let at = BootTime::after(Duration::from_secs(1));
    let mut state = FollowState::default();
    let mut send_entries = |list: &FollowerList| {
        let mut reply = FollowReply::default();
        reply.add_entries(&state.next_call(Duration::ZERO), list);
        let size = reply.encoded_len();
        state.apply(at, at, reply);
        assert_eq!(state.entries().len(), list.names().len());
        size
    };
    send_entries(&list);
    list.record_own_call(now, &name(7), EntryCapacity::default(), true);
    let left = send_entries(&list);
    list.record_own_call(now, &name(7), EntryCapacity::default(), false);
    let joined = send_entries(&list);
    assert!(left + joined < 150, "{left} and {joined} B");
}

/// A thousand starting entries look for a majority at one registry after the other.
#[test]
fn no_table_is_sent_to_new_entries_while_no_majority_confirms() {
    let table = table(1, 10_001);
    let at = BootTime::after(Duration::from_secs(1));
    let mut state = FollowState::default();
    let mut reply = FollowReply::default();
    reply.add_endpoints_if_allowed(&state.next_call(Duration::ZERO), false, &table);
    assert!(reply.encoded_len() < 100, "{} B", reply.encoded_len());
    state.apply(at, at, reply);
    assert_eq!(state.endpoints().count(), 0);

    // A follower of the table gets its changes even without a confirmation.
    follow(&mut state, &table);
    let mut changed = table;
    changed.record(Instant::now(), report(20_000));
    let mut reply = FollowReply::default();
    reply.add_endpoints_if_allowed(&state.next_call(Duration::ZERO), false, &changed);
    state.apply(at, at, reply);
    assert!(state.endpoint(&report(20_000).id).is_some());
}
