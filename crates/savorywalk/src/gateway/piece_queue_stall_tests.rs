//! Guards against pieces that are lost, doubled or late because an endpoint was silent. Each test
//! names the pattern of silence that it answers.

use super::tests::{profile, task};
use super::*;
use crate::gateway::{DataCenterFilter, PieceTask};

/// How long a call of these tests is silent before it counts as stalled.
const LIMIT: Duration = Duration::from_millis(760);

fn target(endpoint: &'static str) -> PieceTarget<'static> {
    PieceTarget {
        endpoint,
        data_center: "x",
        cost: 1.0,
    }
}

fn push(queue: &mut PieceQueue, now: Instant, task: &Arc<PieceTask>, pieces: u32) {
    for piece in 0..pieces {
        queue.push(QueuedPiece {
            task: Arc::clone(task),
            piece,
            queued: now,
            failures: 0,
            was_sent: false,
            needs_retry: false,
        });
    }
}

/// The next call to one of the endpoints, with its pieces as they are after the send.
fn next_call(queue: &mut PieceQueue, now: Instant, endpoints: &[&'static str]) -> PieceCall {
    let mut calls = send(queue, now, endpoints);
    assert_eq!(calls.len(), 1, "{calls:?}");
    calls.remove(0)
}

/// The next calls to the endpoints, with their pieces as they are after the send.
fn send(queue: &mut PieceQueue, now: Instant, endpoints: &[&'static str]) -> Vec<PieceCall> {
    let targets: Vec<PieceTarget<'_>> = endpoints.iter().map(|name| target(name)).collect();
    let mut calls = queue.next_calls(now, &profile(), &targets);
    for piece in calls.iter_mut().flat_map(|call| &mut call.pieces) {
        piece.was_sent = true;
        piece.needs_retry = false;
    }
    calls
}

/// Ends a call whose endpoint has made all its pieces; returns how many results are needed.
fn answer(queue: &mut PieceQueue, now: Instant, call: &PieceCall, has_stalled: bool) -> usize {
    queue.record_answer(&call.endpoint);
    match has_stalled {
        true => queue.finish_stalled(now, &profile(), call, None),
        false => queue.finish(now, &profile(), call, None),
    }
    let pieces = call.pieces.iter();
    pieces
        .filter(|piece| queue.complete(call.number, piece))
        .count()
}

fn close(queue: &mut PieceQueue, now: Instant, call: &PieceCall) {
    queue.finish_stalled(now, &profile(), call, None);
}

/// One endpoint silent for good. Nothing may wait longer than the limit after which the call used
/// to be dropped: another endpoint gets the pieces at once, and the silent one no more work.
#[test]
fn pieces_of_a_stalled_call_go_to_another_endpoint_at_once() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 2);
    let lost = next_call(&mut queue, now, &["a"]);
    let limit = now + LIMIT;
    assert!(queue.stall(limit, &lost));
    push(&mut queue, limit, &task(limit, "two", 1, 9_000), 6);
    let calls = send(&mut queue, limit, &["a", "b"]);
    assert_eq!(calls.len(), 1);
    assert_eq!(&*calls[0].endpoint, "b");
    let later = limit + DENIED_PAUSE;
    let others = send(&mut queue, later, &["a", "b"]);
    assert!(others.is_empty(), "the silent endpoint is passed over");
    assert_eq!(queue.len(), 4);
    assert_eq!(calls[0].pieces.len(), 4);
    assert!(lost.pieces.iter().all(|piece| {
        let copies = calls[0].pieces.iter();
        copies.filter(|copy| copy.is_same(piece)).count() == 1
    }));
    assert_eq!(answer(&mut queue, limit, &calls[0], false), 4);
    assert_eq!(
        queue.take_closed(),
        [(lost.number, CloseReason::Replaced)],
        "other calls have made all its pieces"
    );
    close(&mut queue, limit, &lost);
    let calls = send(&mut queue, limit, &["a"]);
    assert_eq!(calls.len(), 1, "its place and its room are free again");
}

/// A silence that ends before the budget grants a token: the answer counts, and nothing is sent
/// again.
#[test]
fn the_answer_of_a_stalled_call_counts_while_its_pieces_wait_for_a_token() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 3);
    let call = next_call(&mut queue, now, &["a"]);
    let limit = now + LIMIT;
    assert!(queue.stall(limit, &call));
    queue.allow_repeats(false);
    assert!(queue.holds_repeats());
    assert!(send(&mut queue, limit, &["a", "b"]).is_empty());
    assert_eq!(answer(&mut queue, limit + LIMIT, &call, true), 3);
    assert!(queue.is_empty());
    assert!(!queue.holds_repeats());
    assert!(queue.take_closed().is_empty());
}

/// A silence that ends while another endpoint works on the pieces: each has one result.
#[test]
fn a_piece_that_is_made_twice_has_one_result() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 3);
    let first = next_call(&mut queue, now, &["a"]);
    let limit = now + LIMIT;
    queue.stall(limit, &first);
    let second = next_call(&mut queue, limit, &["a", "b"]);
    assert_eq!(answer(&mut queue, limit, &first, true), 3);
    assert!(!queue.is_open(second.number, &second.pieces[0]));
    assert_eq!(answer(&mut queue, limit, &second, false), 0);
    assert!(queue.is_empty());
    assert!(queue.take_closed().is_empty());
}

/// The other endpoint answers first, for a part of the pieces: the stalled call stays open for the
/// rest, whose copies wait.
#[test]
fn a_stalled_call_stays_open_until_its_last_piece_is_made() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 4);
    let first = next_call(&mut queue, now, &["a"]);
    let limit = now + LIMIT;
    queue.stall(limit, &first);
    let mut second = next_call(&mut queue, limit, &["b"]);
    // The budget had a token for one piece.
    for held in second.pieces.split_off(1) {
        assert!(queue.return_piece(second.number, held, false).is_none());
    }
    assert_eq!(answer(&mut queue, limit, &second, false), 1);
    assert!(queue.take_closed().is_empty());
    assert_eq!(queue.len(), 3);
    assert_eq!(answer(&mut queue, limit, &first, true), 3);
    assert!(queue.is_empty());
}

/// All endpoints silent: the pieces go on when their endpoints do. As long as all are silent, each
/// may get one more call in each limit as before, since connections that go silent while new ones
/// work look the same.
#[test]
fn silent_endpoints_get_one_call_more_only_if_all_are_silent() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 8);
    let endpoints = ["a", "b"];
    let first = send(&mut queue, now, &endpoints);
    assert_eq!(first.len(), 2);
    let limit = now + LIMIT;
    queue.stall(limit, &first[0]);
    queue.stall(limit, &first[1]);
    assert!(send(&mut queue, limit, &endpoints).is_empty(), "pause");
    let later = limit + DENIED_PAUSE;
    let second = send(&mut queue, later, &endpoints);
    assert_eq!(second.len(), 2, "as before, after the pause");
    push(&mut queue, later, &task(later, "two", 1, 9_000), 8);
    let third = send(&mut queue, later, &endpoints);
    assert!(third.is_empty(), "no third call while the second runs");
    assert_eq!(answer(&mut queue, later, &first[0], true), 4);
    let fourth = send(&mut queue, later, &endpoints);
    assert!(
        fourth.iter().all(|call| &*call.endpoint != "b"),
        "one endpoint makes progress: {fourth:?}"
    );
    assert_eq!(answer(&mut queue, later, &first[1], true), 4);
    let repeated: usize = second
        .iter()
        .map(|call| answer(&mut queue, later, call, false))
        .sum();
    assert_eq!(repeated, 0);
}

/// All endpoints stay silent and no call comes back: the pieces end at their deadline, with their
/// calls, and not before.
#[test]
fn stalled_calls_end_at_the_deadline_of_their_pieces() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let late = task(now, "late", 1, 9_000);
    push(&mut queue, now, &late, 2);
    let call = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &call);
    queue.allow_repeats(false);
    let before = late.deadline - Duration::from_millis(1);
    assert!(queue.take_expired(before).is_empty());
    assert!(queue.take_closed().is_empty());
    assert_eq!(queue.next_due(before, &profile()), Some(late.deadline));
    assert_eq!(queue.take_expired(late.deadline).len(), 2);
    assert_eq!(queue.take_closed(), [(call.number, CloseReason::Late)]);
    close(&mut queue, late.deadline, &call);
    assert!(queue.is_empty());
    assert_eq!(queue.next_due(late.deadline, &profile()), None);
}

/// One endpoint after the other is silent for a piece: it is sent no more after the last try, but
/// fails only when none of the calls can still make it.
#[test]
fn a_piece_fails_only_when_no_call_can_make_it() {
    let endpoints = ["a", "b", "c", "d", "e"];
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 1);
    let mut stalled = Vec::new();
    for round in 0..MAX_FAILURES {
        let at = now + LIMIT * round;
        let call = next_call(&mut queue, at, &endpoints);
        queue.stall(at + LIMIT, &call);
        stalled.push(call);
    }
    let later = now + LIMIT * MAX_FAILURES;
    assert!(send(&mut queue, later, &endpoints).is_empty());
    let cut = stalled.remove(0);
    close(&mut queue, later, &cut);
    let failed = queue.return_piece(cut.number, cut.pieces[0].clone(), true);
    assert!(failed.is_none(), "others may still answer");
    let last = stalled.pop().unwrap();
    for call in &stalled {
        close(&mut queue, later, call);
        let failed = queue.return_piece(call.number, call.pieces[0].clone(), true);
        assert!(failed.is_none(), "others may still answer");
    }
    close(&mut queue, later, &last);
    let failed = queue.return_piece(last.number, last.pieces[0].clone(), true);
    assert!(failed.is_some(), "no call is left");
}

/// A stalled call is cut while a copy of its piece waits: the copy stays, and there is no second.
#[test]
fn a_stalled_call_that_is_cut_leaves_one_copy_of_each_piece() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 2);
    let call = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &call);
    close(&mut queue, now + LIMIT, &call);
    for piece in call.pieces.clone() {
        assert!(queue.return_piece(call.number, piece, true).is_none());
    }
    assert_eq!(queue.len(), 2);
    assert_eq!(
        next_call(&mut queue, now + LIMIT, &["b"]).pieces.len(),
        2,
        "each once"
    );
}

/// Inputs that a stalled call no longer finds may have been found by the call that replaces it.
#[test]
fn a_stalled_call_without_inputs_does_not_end_a_piece_that_another_makes() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 1);
    let first = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &first);
    let second = next_call(&mut queue, now + LIMIT, &["b"]);
    assert!(!queue.end_piece(first.number, &first.pieces[0]));
    assert_eq!(answer(&mut queue, now + LIMIT, &second, false), 1);
    // The same from the call that replaces it ends the piece, and closes the stalled call.
    push(&mut queue, now, &task(now, "two", 1, 9_000), 1);
    let first = next_call(&mut queue, now + LIMIT, &["c"]);
    queue.stall(now + LIMIT * 2, &first);
    let second = next_call(&mut queue, now + LIMIT * 2, &["d"]);
    assert!(queue.end_piece(second.number, &second.pieces[0]));
    assert_eq!(
        queue.take_closed(),
        [(first.number, CloseReason::Abandoned)]
    );
}

/// A caller that has left needs no answer: its stalled calls are closed, and none is kept for it.
#[test]
fn a_stalled_call_without_waiting_requests_is_closed() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let gone = task(now, "gone", 1, 9_000);
    push(&mut queue, now, &gone, 2);
    let call = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &call);
    gone.abandon();
    queue.close_abandoned();
    assert_eq!(queue.take_closed(), [(call.number, CloseReason::Abandoned)]);
    close(&mut queue, now + LIMIT, &call);
    assert!(queue.take_expired(now + LIMIT).is_empty());
    assert!(queue.is_empty());
}

/// Room for the results of a stalled call stays taken until it ends: its endpoint may store them.
#[test]
fn a_stalled_call_keeps_the_room_for_its_results() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut large = task(now, "large", 1, 9_000);
    Arc::get_mut(&mut large).unwrap().result_bytes = 600_000;
    push(&mut queue, now, &large, 1);
    let call = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &call);
    let later = now + LIMIT + DENIED_PAUSE;
    assert!(send(&mut queue, later, &["a"]).is_empty(), "no room");
    close(&mut queue, later, &call);
    assert_eq!(next_call(&mut queue, later, &["a"]).pieces.len(), 1);
}

/// The only endpoint of a data centre is silent while those of others make progress: pieces that
/// may be worked on only there have no better place.
#[test]
fn pieces_bound_to_a_silent_data_center_are_sent_there_again() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut bound = task(now, "bound", 1, 9_000);
    let filter = DataCenterFilter::only(BTreeSet::from(["x".to_string()]));
    Arc::get_mut(&mut bound).unwrap().data_center_filter = filter;
    push(&mut queue, now, &bound, 1);
    let call = next_call(&mut queue, now, &["a"]);
    queue.stall(now + LIMIT, &call);
    push(&mut queue, now, &task(now, "free", 1, 9_000), 1);
    let far = PieceTarget {
        endpoint: "b",
        data_center: "y",
        cost: 1.0,
    };
    let later = now + LIMIT + DENIED_PAUSE;
    let calls = queue.next_calls(later, &profile(), &[target("a"), far]);
    let requests = calls.iter().map(|call| {
        let names = call.pieces.iter().map(|piece| &*piece.task.request_id);
        (&*call.endpoint, names.collect::<Vec<_>>())
    });
    let requests: BTreeMap<&str, Vec<&str>> = requests.collect();
    let expected = [("a", vec!["bound"]), ("b", vec!["free"])];
    assert_eq!(requests, BTreeMap::from(expected));
}

/// A silence of two calls at one endpoint ends: the first answer shows that the endpoint makes
/// progress, so it is called again although the second call may be lost with its connection.
#[test]
fn an_endpoint_is_called_again_once_it_has_answered() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 9_000), 8);
    let first = next_call(&mut queue, now, &["a"]);
    let second_at = now + profile().call_duration(4);
    let second = next_call(&mut queue, second_at, &["a"]);
    queue.stall(now + LIMIT, &first);
    let later = second_at + LIMIT;
    queue.stall(later, &second);
    assert_eq!(answer(&mut queue, later, &first, true), 4);
    push(&mut queue, later, &task(later, "two", 1, 9_000), 8);
    let calls = send(&mut queue, later, &["a", "b"]);
    let endpoints: BTreeSet<&str> = calls.iter().map(|call| &*call.endpoint).collect();
    assert_eq!(endpoints, BTreeSet::from(["a", "b"]));
    let soon = later + profile().call_duration(4);
    let more = send(&mut queue, soon, &["a"]);
    assert!(more.is_empty(), "the second call still has its place");
}
