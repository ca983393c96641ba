//! Capacities beside the list of entries, among daemons of this and of earlier versions.

use prost::Message;

use super::{EntryCapacity, FollowerList};
use crate::prelude::*;
use crate::registry::{
    BootTime, DigestOutcome, FollowCall, FollowReply, FollowState, FollowUpdate,
};
use crate::transport::PeerName;

const MEMBER: &str = "10-2-0-1";

fn call(list: &mut FollowerList, now: Instant, name: &str, millicores: u32) {
    let name = PeerName::new(name).unwrap();
    list.record_own_call(now, &name, EntryCapacity(millicores), false);
}

fn list(entries: usize, millicores: u32) -> FollowerList {
    let mut list = FollowerList::new(1);
    for number in 0..entries {
        call(
            &mut list,
            Instant::now(),
            &format!("e-{number}"),
            millicores,
        );
    }
    list
}

/// Sends the pending changes of `first` and its digests; `is_lost` drops the changes.
fn report(first: &mut FollowerList, second: &mut FollowerList, is_lost: bool) -> DigestOutcome {
    let changes = first.take_pending();
    let capacities = first.capacities_of(&changes.joined);
    let joined: Vec<String> = changes.joined.iter().map(ToString::to_string).collect();
    if !is_lost {
        second.apply_changes(Instant::now(), MEMBER, &joined, &capacities, &[]);
    }
    second.compare(MEMBER, &first.own_digest(), first.own_capacities_digest())
}

/// What a daemon of an earlier version reads or writes: none of the newer fields.
fn as_earlier_call(call: FollowCall) -> FollowCall {
    FollowCall {
        capacity_millicores: 0,
        reads_capacities: false,
        capacities_digest: 0,
        ..call
    }
}

fn as_earlier_reply(reply: FollowReply) -> FollowReply {
    FollowReply {
        entry_capacities: Vec::new(),
        capacities_digest: 0,
        // Another daemon, and so another list.
        entries_epoch: 2,
        ..reply
    }
}

fn reply_to(call: &FollowCall, list: &FollowerList) -> FollowReply {
    let mut reply = FollowReply::default();
    reply.add_entries(call, list);
    reply
}

fn apply(state: &mut FollowState, reply: FollowReply) -> FollowUpdate {
    let at = BootTime::after(Duration::from_secs(1));
    state.apply(at, at, reply)
}

/// Capacities that an entry knows, in the order of the names.
fn known(state: &FollowState) -> Vec<u32> {
    let capacities = state.entry_capacities().iter();
    capacities.map(|capacity| capacity.0).collect()
}

#[test]
fn a_lost_change_of_a_capacity_is_detected_by_the_digest() {
    let (mut first, mut second) = (list(3, 90), FollowerList::new(2));
    assert_eq!(
        report(&mut first, &mut second, false),
        DigestOutcome::Listed
    );
    call(&mut first, Instant::now(), "e-1", 45);
    assert_eq!(
        report(&mut first, &mut second, true),
        DigestOutcome::Unsettled
    );
    assert_eq!(second.capacities(), [90, 90, 90]);
    assert_eq!(
        report(&mut first, &mut second, false),
        DigestOutcome::Unlisted
    );
    let (names, capacities) = (first.own_names(), first.own_capacities());
    second.apply_list(Instant::now(), MEMBER, &names, &capacities);
    assert_eq!(
        report(&mut first, &mut second, false),
        DigestOutcome::Listed
    );
    assert_eq!(second.capacities(), [90, 45, 90]);
    assert_eq!(second.digest(), first.digest());
    assert_eq!(second.capacities_digest(), first.capacities_digest());
}

/// A daemon is replaced by one of an earlier version, whose list must be requested only once.
#[test]
fn capacities_of_a_daemon_of_an_earlier_version_become_unknown() {
    let (mut first, mut second) = (list(3, 90), FollowerList::new(2));
    report(&mut first, &mut second, false);
    let digest = first.own_digest();
    assert_eq!(second.compare(MEMBER, &digest, 0), DigestOutcome::Unsettled);
    assert_eq!(second.compare(MEMBER, &digest, 0), DigestOutcome::Unlisted);
    second.apply_list(Instant::now(), MEMBER, &first.own_names(), &[]);
    for _ in 0..3 {
        assert_eq!(second.compare(MEMBER, &digest, 0), DigestOutcome::Listed);
    }
    assert_eq!(second.capacities(), Vec::<u32>::new());
    assert_eq!(second.names().len(), 3);
}

/// An entry changes daemons, and the previous one has not noticed yet.
#[test]
fn of_different_capacities_the_lowest_counts_at_every_daemon() {
    let now = Instant::now();
    let (mut first, mut second) = (list(1, 90), list(1, 45));
    report(&mut first, &mut second, false);
    report(&mut second, &mut first, false);
    assert_eq!(
        (first.capacities(), second.capacities()),
        (vec![45], vec![45])
    );
    assert_eq!(first.capacities_digest(), second.capacities_digest());
    call(&mut first, now, "e-0", 0);
    report(&mut first, &mut second, false);
    assert!(
        second.capacities().is_empty(),
        "unknown at an earlier version"
    );
    let known = second.revision();
    call(&mut first, now, "e-0", 180);
    report(&mut first, &mut second, false);
    assert_eq!(second.changes_after(known).unwrap().capacities, [45]);
}

#[test]
fn an_entry_is_sent_only_the_capacities_that_changed() {
    let mut list = list(984, 90);
    let mut state = FollowState::default();
    let reply = reply_to(&state.next_call(Duration::ZERO), &list);
    apply(&mut state, reply);
    let names = Arc::clone(state.entries());
    assert_eq!(known(&state), vec![90; 984]);
    call(&mut list, Instant::now(), "e-7", 300);
    let reply = reply_to(&state.next_call(Duration::ZERO), &list);
    let size = reply.encoded_len();
    assert!(size < 60, "{size} B");
    assert!(apply(&mut state, reply).entries);
    let index = names
        .iter()
        .position(|name| name.as_str() == "e-7")
        .unwrap();
    assert_eq!(known(&state)[index], 300);
    assert!(Arc::ptr_eq(&names, state.entries()));
    let settled = reply_to(&state.next_call(Duration::ZERO), &list);
    assert!(settled.entries.is_empty());
}

/// A change is missing from the answer, so that the digests differ.
#[test]
fn an_entry_with_a_capacity_other_than_reported_requests_the_whole_list() {
    let mut list = list(3, 90);
    let mut state = FollowState::default();
    let reply = reply_to(&state.next_call(Duration::ZERO), &list);
    apply(&mut state, reply);
    call(&mut list, Instant::now(), "e-1", 45);
    let mut reply = reply_to(&state.next_call(Duration::ZERO), &list);
    reply.entry_capacities = vec![46];
    apply(&mut state, reply);
    let whole = reply_to(&state.next_call(Duration::ZERO), &list);
    assert!(!whole.entries_since);
    apply(&mut state, whole);
    assert_eq!(known(&state), [90, 45, 90]);
}

/// Neither is sent the list again with each call.
#[test]
fn entries_and_daemons_of_different_versions_settle() {
    let mut list = list(100, 90);
    let mut earlier = FollowState::default();
    let first = reply_to(&as_earlier_call(earlier.next_call(Duration::ZERO)), &list);
    assert!(first.entry_capacities.is_empty());
    apply(&mut earlier, as_earlier_reply(first));
    call(&mut list, Instant::now(), "e-1", 45);
    let next = reply_to(&as_earlier_call(earlier.next_call(Duration::ZERO)), &list);
    assert!(next.entries.is_empty());

    // An entry of this version follows a daemon of this version, then an earlier one.
    let mut state = FollowState::default();
    let reply = reply_to(&state.next_call(Duration::ZERO), &list);
    apply(&mut state, reply);
    assert!(known(&state).contains(&45));
    for round in 0..3 {
        let call = as_earlier_call(state.next_call(Duration::ZERO));
        let reply = as_earlier_reply(reply_to(&call, &list));
        assert!(reply.entries.is_empty());
        assert_eq!(apply(&mut state, reply).entries, round == 0);
        assert_eq!(state.entries().len(), 100);
        assert!(known(&state).is_empty());
    }
    let reply = reply_to(&state.next_call(Duration::ZERO), &list);
    apply(&mut state, reply);
    assert!(known(&state).contains(&45));
}

/// Without capacities, calls and answers have to stay as small as before.
#[test]
fn unknown_capacities_add_three_bytes_to_a_call_and_none_to_an_answer() {
    let list = list(984, 0);
    let call = FollowState::default().next_call(Duration::ZERO);
    let earlier = as_earlier_call(call.clone());
    assert_eq!(call.encoded_len(), earlier.encoded_len() + 3);
    let reply = reply_to(&call, &list);
    assert_eq!(reply.encoded_len(), reply_to(&earlier, &list).encoded_len());
}
