use tokio::sync::Semaphore;

use super::*;

const LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 16 << 10,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

fn state(now: Instant) -> Arc<ConnectionState> {
    let place = Arc::new(Semaphore::new(1)).try_acquire_owned();
    ConnectionState::new(now, place.expect("a place"))
}

/// Guards against a head or a silence that lasts longer than the document allows, and against calls
/// that are cut by these limits.
#[test]
fn a_head_and_a_silence_have_limits_of_their_own() {
    let now = Instant::now();
    let state = state(now);
    let idle = now + LIMITS.idle_time;
    assert_eq!(state.expiry(&LIMITS), Some((idle, CloseReason::Idle)));
    let begin = now + Duration::from_secs(5);
    state.record_received(1, begin);
    state.record_received(1, begin + Duration::from_secs(1));
    let late = begin + LIMITS.head_time;
    assert_eq!(state.expiry(&LIMITS), Some((late, CloseReason::LateHead)));
    let call = state.begin_call(false);
    assert_eq!(state.expiry(&LIMITS), None);
    drop(call);
    assert!(matches!(state.expiry(&LIMITS), Some((at, CloseReason::Idle)) if at >= idle));
}

/// Guards against bytes of a body that count as a head, or a head that is not counted after a call.
#[test]
fn only_bytes_between_calls_belong_to_a_head() {
    let now = Instant::now();
    let state = state(now);
    assert_eq!(state.phase(), ConnectionPhase::Idle);
    state.record_received(300, now);
    assert_eq!(state.phase(), ConnectionPhase::Head);
    let call = state.begin_call(false);
    assert_eq!(
        (state.phase(), state.head_bytes()),
        (ConnectionPhase::Call, 0)
    );
    state.record_received(5_000, now);
    assert_eq!(state.head_bytes(), 0);
    drop(call);
    assert_eq!(state.phase(), ConnectionPhase::Idle);
    state.record_received(20, now);
    assert_eq!(state.phase(), ConnectionPhase::Head);
}

/// Guards against frames of HTTP/2 between calls that count as a head without end.
#[test]
fn frames_between_multiplexed_calls_are_no_head() {
    let now = Instant::now();
    let state = state(now);
    let calls = [state.begin_call(true), state.begin_call(true)];
    drop(calls);
    state.record_received(17, now);
    assert_eq!(state.phase(), ConnectionPhase::Idle);
}
