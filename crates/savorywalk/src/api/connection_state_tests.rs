use super::*;

/// Guards against bytes of a body that count as a head, or a head that is not counted after a call.
#[test]
fn only_bytes_between_calls_belong_to_a_head() {
    let now = Instant::now();
    let state = ConnectionState::new(now);
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
    let state = ConnectionState::new(now);
    let calls = [state.begin_call(true), state.begin_call(true)];
    drop(calls);
    state.record_received(17, now);
    assert_eq!(state.phase(), ConnectionPhase::Idle);
}
