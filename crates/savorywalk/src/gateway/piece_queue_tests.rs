use std::sync::atomic::AtomicBool;

use super::*;
use crate::gateway::endpoint_load::LEAD_TIME;
use crate::gateway::{DataCenterFilter, PieceSource, PieceTask};

pub(in crate::gateway) fn profile() -> PieceProfile {
    PieceProfile {
        slots: 1,
        queue: 2,
        batch: 4,
        call_time: Duration::from_millis(150),
        piece_time: Duration::from_millis(10),
        result_capacity_bytes: 1 << 20,
        result_lifetime: Duration::from_secs(4),
    }
}

fn target(endpoint: &'static str, data_center: &'static str) -> PieceTarget<'static> {
    PieceTarget {
        endpoint,
        data_center,
        cost: 1.0,
    }
}

pub(in crate::gateway) fn task(now: Instant, name: &str, rank: u8, due_ms: u64) -> Arc<PieceTask> {
    Arc::new(PieceTask {
        digest: None,
        isolated: AtomicBool::new(false),
        request_id: name.into(),
        stage: 0,
        rank,
        due: now + Duration::from_millis(due_ms),
        deadline: now + Duration::from_secs(10),
        tail: Duration::ZERO,
        source: PieceSource::Key("k".into()),
        result_bytes: 1_000,
        preferred_data_center: None,
        data_center_filter: DataCenterFilter::default(),
        is_rerun: false,
        needs_retries: false,
        abandoned: AtomicBool::new(false),
        begun: AtomicBool::new(false),
    })
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

/// An endpoint crashed during a call with pieces of three requests. If they were called
/// together again, each would be part of every crash, and the one that causes it could not be
/// identified.
#[test]
fn isolated_pieces_share_no_call_with_other_requests() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let tasks = ["a", "b", "c"].map(|name| task(now, name, 5, 1_000));
    tasks[0].isolate();
    tasks[2].isolate();
    for task in &tasks {
        push(&mut queue, now, task, 2);
    }
    let targets = [target("e-1", "x"), target("e-2", "x"), target("e-3", "x")];
    let calls = queue.next_calls(now, &profile(), &targets);
    let calls: Vec<Vec<&str>> = calls.iter().map(names).collect();
    assert_eq!(calls, [["a", "a"], ["b", "b"], ["c", "c"]]);
}

fn names(call: &PieceCall) -> Vec<&str> {
    let names = call.pieces.iter().map(|piece| &*piece.task.request_id);
    names.collect()
}

#[test]
fn a_call_has_pieces_of_several_requests_by_rank_and_due_time() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "late", 1, 900), 2);
    push(&mut queue, now, &task(now, "soon", 1, 400), 1);
    push(&mut queue, now, &task(now, "first", 0, 999), 2);
    let calls = queue.next_calls(now, &profile(), &[target("a", "x")]);
    assert_eq!(calls.len(), 1);
    assert_eq!(names(&calls[0]), ["first", "first", "soon", "late"]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn pieces_are_collected_while_the_only_endpoint_is_busy() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "one", 1, 100), 1);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    for name in ["two", "three", "four"] {
        push(&mut queue, now, &task(now, name, 1, 100), 1);
        assert!(queue.next_calls(now, &profile(), &targets).is_empty());
    }
    queue.finish(now, &profile(), &call, None);
    let calls = queue.next_calls(now, &profile(), &targets);
    assert_eq!(calls[0].pieces.len(), 3);
}

#[test]
fn an_endpoint_with_waiting_calls_gets_no_call_until_its_queue_is_shorter() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "one", 1, 100), 1);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    let load = LoadReport {
        running: 1,
        waiting: 1,
        pace_percent: None,
    };
    queue.finish(now, &profile(), &call, Some(load));
    push(&mut queue, now, &task(now, "two", 1, 100), 1);
    assert!(queue.next_calls(now, &profile(), &targets).is_empty());
    let due = queue.next_due(now, &profile()).unwrap();
    assert_eq!(due, now + profile().call_duration(2));
    assert_eq!(queue.next_calls(due, &profile(), &targets).len(), 1);
}

/// Endpoints share their hosts with other work, and report how long work takes at the moment.
#[test]
fn an_endpoint_with_a_slow_reported_pace_is_called_last_until_the_report_is_old() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x"), target("b", "x")];
    for (name, pace) in [("one", 300), ("two", 100)] {
        push(&mut queue, now, &task(now, name, 1, 100), 1);
        let call = queue.next_calls(now, &profile(), &targets).remove(0);
        let load = LoadReport {
            pace_percent: Some(pace),
            ..Default::default()
        };
        queue.finish(now, &profile(), &call, Some(load));
    }
    push(&mut queue, now, &task(now, "three", 1, 100), 1);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(&*call.endpoint, "b");
    queue.finish(now, &profile(), &call, None);
    let later = now + Duration::from_secs(10);
    push(&mut queue, later, &task(later, "four", 1, 100), 1);
    let call = queue.next_calls(later, &profile(), &targets).remove(0);
    assert_eq!(&*call.endpoint, "a", "an old pace is ignored");
}

#[test]
fn pieces_wait_a_limited_time_for_their_preferred_data_center() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut far = task(now, "far", 1, 100);
    Arc::get_mut(&mut far).unwrap().preferred_data_center = Some("y".into());
    push(&mut queue, now, &far, 1);
    let targets = [target("a", "x"), target("b", "y")];
    let mut busy = task(now, "busy", 0, 100);
    Arc::get_mut(&mut busy).unwrap().preferred_data_center = Some("y".into());
    push(&mut queue, now, &busy, 1);
    assert_eq!(queue.next_calls(now, &profile(), &targets).len(), 1);
    push(&mut queue, now, &far, 1);
    assert!(queue.next_calls(now, &profile(), &targets).is_empty());
    let send = now + profile().call_duration(2) - LEAD_TIME;
    assert_eq!(queue.next_due(now, &profile()), Some(send));
    let calls = queue.next_calls(send, &profile(), &targets);
    assert_eq!(&*calls[0].endpoint, "b");
    push(&mut queue, now, &far, 1);
    assert!(queue.next_calls(send, &profile(), &targets).is_empty());
    assert_eq!(queue.next_due(send, &profile()), Some(now + LOCALITY_WAIT));
    let calls = queue.next_calls(now + LOCALITY_WAIT, &profile(), &targets);
    assert_eq!(&*calls[0].endpoint, "a");
}

#[test]
fn expired_pieces_are_returned_and_abandoned_ones_are_dropped() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let left = task(now, "left", 1, 100);
    push(&mut queue, now, &left, 2);
    push(&mut queue, now, &task(now, "late", 1, 100), 1);
    left.abandon();
    let late = queue.take_expired(now + Duration::from_secs(10));
    assert_eq!(late.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn an_endpoint_that_refused_a_call_is_paused() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "one", 1, 100), 1);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    queue.finish(now, &profile(), &call, None);
    queue.record_denied(now, "a");
    for piece in call.pieces {
        queue.push(piece);
    }
    assert!(queue.next_calls(now, &profile(), &targets).is_empty());
    let later = now + DENIED_PAUSE;
    assert_eq!(queue.next_calls(later, &profile(), &targets).len(), 1);
}

/// In normal operation, 1,528 of 11,257 pieces found no capacity for their results, and their
/// calls took as long as if they had been completed.
#[test]
fn pieces_wait_until_there_is_capacity_for_their_results() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    let mut large = task(now, "large", 1, 800);
    Arc::get_mut(&mut large).unwrap().result_bytes = 400_000;
    push(&mut queue, now, &large, 4);
    push(&mut queue, now, &task(now, "small", 1, 900), 1);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["large", "large", "small"]);
    queue.finish(now, &profile(), &call, None);
    let endpoint: Arc<str> = "a".into();
    for name in ["r1", "r2"] {
        let handle = ResultHandle(name.into());
        queue.record_result(now, &profile(), &endpoint, handle, 400_000);
    }
    assert!(queue.next_calls(now, &profile(), &targets).is_empty());
    assert_eq!(
        queue.next_due(now, &profile()),
        Some(now + profile().result_lifetime)
    );
    queue.release(&ResultHandle("r1".into()));
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["large"]);
}

/// A burst of long requests on half of a pool left a backlog of 500 to 1,000 pieces for 30 s:
/// all requests were served, nearly all of them late.
#[test]
fn timely_pieces_go_before_late_ones() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "late", 0, 150), 1);
    push(&mut queue, now, &task(now, "timely", 1, 800), 3);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["timely", "timely", "timely", "late"]);
}

#[test]
fn the_time_after_a_stage_decides_whether_its_pieces_are_timely() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut long = task(now, "long", 1, 700);
    Arc::get_mut(&mut long).unwrap().tail = Duration::from_millis(600);
    push(&mut queue, now, &long, 3);
    push(&mut queue, now, &task(now, "short", 1, 800), 1);
    let call = queue.next_calls(now, &profile(), &[target("a", "x")]);
    assert_eq!(names(&call[0]), ["short", "long", "long", "long"]);
}

#[test]
fn late_pieces_that_hold_results_go_before_other_late_ones() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "new", 0, 10), 2);
    let mut held = task(now, "held", 1, 20);
    Arc::get_mut(&mut held).unwrap().source = PieceSource::Inputs(Arc::default());
    push(&mut queue, now, &held, 2);
    let call = queue.next_calls(now, &profile(), &[target("a", "x")]);
    assert_eq!(names(&call[0]), ["held", "held", "new", "new"]);
}

/// In normal operation, 2.3 GB were moved between data centres, mostly for 16 pieces that each
/// fetch the same eight results of 60 kB.
#[test]
fn pieces_that_prefer_the_data_center_of_an_endpoint_go_first() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut far = task(now, "far", 0, 900);
    Arc::get_mut(&mut far).unwrap().preferred_data_center = Some("y".into());
    let mut near = task(now, "near", 1, 900);
    Arc::get_mut(&mut near).unwrap().preferred_data_center = Some("x".into());
    push(&mut queue, now, &far, 3);
    push(&mut queue, now, &near, 2);
    let later = now + LOCALITY_WAIT;
    let call = queue.next_calls(later, &profile(), &[target("a", "x")]);
    assert_eq!(names(&call[0]), ["near", "near", "far", "far"]);
}

/// Two of four endpoints are in one data centre. In a burst, pieces waited for these while the
/// other endpoints were idle.
#[test]
fn pieces_beyond_the_slots_of_nearby_endpoints_do_not_wait_for_them() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut far = task(now, "far", 0, 900);
    Arc::get_mut(&mut far).unwrap().preferred_data_center = Some("y".into());
    push(&mut queue, now, &far, 7);
    let targets = [target("a", "x"), target("b", "y")];
    let calls = queue.next_calls(now, &profile(), &targets);
    let sizes: Vec<usize> = calls.iter().map(|call| call.pieces.len()).collect();
    assert_eq!(sizes, [3, 4]);
}

/// With half of a pool lost, half of the pieces of many requests were done in time, the others
/// became late and went last, and the capacity was full of unusable results: two endpoints
/// completed 28 pieces per second instead of 57.
#[test]
fn pieces_of_a_begun_stage_go_first() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "begun", 1, 250), 6);
    let targets = [target("a", "x")];
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    queue.finish(now, &profile(), &call, None);
    let later = now + Duration::from_millis(200);
    push(&mut queue, later, &task(later, "new", 0, 900), 4);
    let call = queue.next_calls(later, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["begun", "begun", "new", "new"]);
}

/// With half of a pool lost, about 200 late pieces waited for 30 s; their 71 requests were held
/// until their callers stopped waiting.
#[test]
fn late_stages_without_spare_capacity_are_infeasible_after_the_wait() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "late", 0, 10), 3);
    push(&mut queue, now, &task(now, "timely", 0, 9_000), 3);
    assert!(queue.take_infeasible(now, &profile()).is_empty());
    let infeasible = queue.take_infeasible(now + MAX_LATE_WAIT, &profile());
    assert_eq!(infeasible.len(), 3);
    assert!(infeasible.iter().all(|(piece, reason)| {
        &*piece.task.request_id == "late" && *reason == InfeasibleReason::NothingMade
    }));
}

/// Guards against a begun plan that is given up because its next stage has waited for a second,
/// although its results are stored and its caller waits for long enough.
#[test]
fn the_next_stage_of_a_begun_plan_waits_while_it_can_be_served() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut next = Arc::into_inner(task(now, "next", 0, 10)).unwrap();
    next.source = PieceSource::Inputs([ResultHandle("r-1".into())].into());
    push(&mut queue, now, &Arc::new(next), 2);
    let later = now + MAX_LATE_WAIT * 2;
    assert!(queue.take_infeasible(later, &profile()).is_empty());
    let calls = queue.next_calls(later, &profile(), &[target("a", "x")]);
    assert_eq!(names(&calls[0]), ["next", "next"]);
}

/// Guards against a stage that waits longer than its inputs are stored, or than its caller waits.
#[test]
fn the_next_stage_of_a_begun_plan_is_infeasible_without_its_inputs_or_its_caller() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let inputs = || PieceSource::Inputs([ResultHandle("r-1".into())].into());
    let mut stored = Arc::into_inner(task(now, "stored", 0, 10)).unwrap();
    stored.source = inputs();
    let mut leaving = Arc::into_inner(task(now, "leaving", 0, 20)).unwrap();
    leaving.source = inputs();
    leaving.deadline = now + MAX_LATE_WAIT * 2;
    leaving.tail = MAX_LATE_WAIT;
    push(&mut queue, now, &Arc::new(stored), 1);
    push(&mut queue, now, &Arc::new(leaving), 1);
    let mut infeasible = |after: Duration| {
        let taken = queue.take_infeasible(now + after, &profile());
        let taken = taken.iter();
        let named = taken.map(|(piece, reason)| (piece.task.request_id.to_string(), *reason));
        named.collect::<Vec<_>>()
    };
    let leaving = ("leaving".to_string(), InfeasibleReason::CallerLeaves);
    assert_eq!(infeasible(MAX_LATE_WAIT), [leaving]);
    assert!(infeasible(MAX_LATE_WAIT * 2).is_empty());
    let stored = ("stored".to_string(), InfeasibleReason::InputsExpired);
    let call_time = profile().call_duration(profile().batch);
    assert_eq!(infeasible(profile().result_lifetime - call_time), [stored]);
}

/// Late long requests began in slots that calls had left. Their other pieces then went before
/// those of requests that could still be answered in time, and half of all requests were late
/// for seconds after each burst.
#[test]
fn a_late_stage_does_not_begin_in_slots_too_few_for_it() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "late", 0, 10), 3);
    push(&mut queue, now, &task(now, "timely", 1, 800), 2);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["timely", "timely"]);
    queue.finish(now, &profile(), &call, None);
    push(&mut queue, now, &task(now, "large", 0, 5), 6);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    assert_eq!(names(&call), ["large", "large", "large", "large"]);
}

/// Calls of 150 ms plus 1.9 ms per piece took 35 ms longer than that end to end, and a busy
/// endpoint was idle for most of these.
#[test]
fn the_next_call_is_sent_before_the_running_one_ends() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "one", 1, 900), 4);
    let call = queue.next_calls(now, &profile(), &targets).remove(0);
    push(&mut queue, now, &task(now, "two", 1, 900), 2);
    let send = now + profile().call_duration(4) - LEAD_TIME;
    assert_eq!(queue.next_due(now, &profile()), Some(send));
    let next = queue.next_calls(send, &profile(), &targets);
    assert_eq!(names(&next[0]), ["two", "two"]);
    push(&mut queue, send, &task(now, "three", 1, 900), 2);
    assert!(queue.next_calls(send, &profile(), &targets).is_empty());
    queue.finish(send + LEAD_TIME, &profile(), &call, None);
    let send = send + profile().call_duration(2);
    assert_eq!(queue.next_calls(send, &profile(), &targets).len(), 1);
}

#[test]
fn an_idle_endpoint_is_called_before_one_that_is_about_to_be_free() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    push(&mut queue, now, &task(now, "one", 1, 900), 4);
    queue.next_calls(now, &profile(), &[target("a", "x")]);
    push(&mut queue, now, &task(now, "two", 1, 900), 2);
    let targets = [target("a", "x"), target("b", "x")];
    let later = now + profile().call_duration(4);
    let calls = queue.next_calls(later, &profile(), &targets);
    assert_eq!(&*calls[0].endpoint, "b");
}

#[test]
fn no_call_is_sent_ahead_to_an_endpoint_without_a_queue() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let profile = PieceProfile {
        queue: 0,
        ..profile()
    };
    let targets = [target("a", "x")];
    push(&mut queue, now, &task(now, "one", 1, 900), 6);
    queue.next_calls(now, &profile, &targets);
    let later = now + profile.call_duration(4);
    assert!(queue.next_calls(later, &profile, &targets).is_empty());
}

/// A pool in two regions serves requests that are restricted to one of them, and unrestricted
/// requests.
#[test]
fn pieces_go_only_to_allowed_data_centers() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let mut bound = Arc::into_inner(task(now, "bound", 0, 400)).unwrap();
    bound.data_center_filter = DataCenterFilter::only(BTreeSet::from(["y".to_string()]));
    push(&mut queue, now, &Arc::new(bound), 1);
    push(&mut queue, now, &task(now, "free", 1, 900), 1);
    let calls = queue.next_calls(now, &profile(), &[target("a", "x")]);
    assert_eq!(calls.iter().map(names).collect::<Vec<_>>(), [["free"]]);
    let calls = queue.next_calls(now, &profile(), &[target("b", "y")]);
    assert_eq!(calls.iter().map(names).collect::<Vec<_>>(), [["bound"]]);
}

/// Guards against pieces that are sent again beyond the retry budget, and against first sends that
/// wait for those.
#[test]
fn pieces_that_need_a_retry_wait_while_the_budget_is_used_up() {
    let now = Instant::now();
    let mut queue = PieceQueue::default();
    let first = task(now, "first", 1, 900);
    let repeated = task(now, "repeated", 0, 800);
    push(&mut queue, now, &first, 2);
    for piece in 0..2 {
        queue.push(QueuedPiece {
            task: Arc::clone(&repeated),
            piece,
            queued: now,
            failures: 1,
            was_sent: true,
            needs_retry: true,
        });
    }
    // An endpoint had no room for this one.
    queue.push(QueuedPiece {
        task: Arc::clone(&first),
        piece: 2,
        queued: now,
        failures: 1,
        was_sent: true,
        needs_retry: false,
    });
    queue.allow_repeats(false);
    assert!(queue.holds_repeats());
    let targets = [target("e", "east")];
    let calls = queue.next_calls(now, &profile(), &targets);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].pieces.len(), 3);
    assert!(calls[0].pieces.iter().all(|piece| !piece.needs_retry));
    queue.allow_repeats(true);
    assert!(!queue.holds_repeats());
    let targets = [target("f", "east")];
    let calls = queue.next_calls(now, &profile(), &targets);
    assert_eq!(calls[0].pieces.len(), 2);
    assert!(calls[0].pieces.iter().all(|piece| piece.needs_retry));
}
