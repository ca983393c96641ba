use super::*;
use crate::registry::{BootTime, FollowReply};

fn report(born_ms: u64, sequence: u64) -> EndpointReport {
    EndpointReport {
        id: "a".into(),
        pool: "engines".into(),
        address: "10.0.0.1:80".into(),
        born_ms,
        sequence,
        ..Default::default()
    }
}

fn take(state: &mut FollowState, report: EndpointReport) -> EndpointRoster {
    let reply = FollowReply {
        reports: vec![report],
        ..Default::default()
    };
    let now = BootTime::after(Duration::from_secs(1));
    state.take(now, now, reply);
    EndpointRoster::of(state)
}

/// Everything that is kept by endpoint (results, cached parts, engine state,
/// health, outstanding work) is kept by this identity and goes when the roster
/// has it no more.
#[test]
fn an_endpoint_that_starts_again_is_another_one_under_the_same_name() {
    let mut state = FollowState::default();
    let before = take(&mut state, report(1_000, 57));
    let after = take(&mut state, report(2_000, 1));
    assert!(before.has("engines", "a@1000"));
    assert!(!after.has("engines", "a@1000"));
    assert!(after.has("engines", "a@2000"));
    assert_eq!(after.pool("engines")[0].name, "a");
}
