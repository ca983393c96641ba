#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

use rstest::rstest;

use super::super::endpoint_switch::{Silence, SilenceKind};
use super::*;

const STOP_TIME: Duration = Duration::from_secs(6);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream that an engine began and whose last event came `gap_ms` before its end.
fn outcome(end: StreamEnd, gap_ms: u64) -> StreamOutcome {
    let ended = Instant::now() + Duration::from_secs(100);
    StreamOutcome {
        id: "a".to_string(),
        gateway: 1,
        sent: ended - Duration::from_secs(4),
        heard: ended - Duration::from_millis(gap_ms),
        ended,
        events: 3,
        longest_gap: Duration::ZERO,
        end,
    }
}

fn check<'a>(engines: &'a EndpointTimeline, gateways: &'a GatewayTimeline) -> StreamCheck<'a> {
    StreamCheck {
        engines,
        gateways,
        has_excuses: true,
        stop_time: STOP_TIME,
        route_timeout: ROUTE_TIMEOUT,
    }
}

fn excuse(
    engines: &EndpointTimeline,
    gateways: &GatewayTimeline,
    outcome: &StreamOutcome,
) -> Option<StreamExcuse> {
    check(engines, gateways).excuse(outcome)
}

fn silence_engine(engines: &EndpointTimeline, began: Instant, time_ms: Option<u64>) {
    let ends = time_ms.map(|time_ms| began + Duration::from_millis(time_ms));
    let kind = SilenceKind::Calls;
    engines.record_silence(2, Silence { kind, began, ends });
}

// Guards against a check that excuses streams whose engines go on in time, or counts others.
#[rstest]
#[case(Some(1_300), None)]
#[case(Some(2_500), Some(StreamExcuse::Silent))]
#[case(None, Some(StreamExcuse::Silent))]
fn a_silence_excuses_if_it_outlasts_the_caller(
    #[case] time_ms: Option<u64>,
    #[case] expected: Option<StreamExcuse>,
) {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Broken, 1_000);
    silence_engine(&engines, outcome.heard, time_ms);
    assert_eq!(
        excuse(&engines, &GatewayTimeline::default(), &outcome),
        expected
    );
}

// Guards against silences of other times and of other engines that excuse a broken stream.
#[test]
fn a_silence_elsewhere_excuses_nothing() {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Broken, 1_000);
    silence_engine(&engines, outcome.sent - Duration::from_secs(9), Some(2_500));
    let silence = Silence {
        kind: SilenceKind::Calls,
        began: outcome.heard,
        ends: None,
    };
    engines.record_silence(0, silence);
    let gateways = GatewayTimeline::default();
    assert_eq!(excuse(&engines, &gateways, &outcome), None);
    assert!(check(&engines, &gateways).breach(&outcome).is_some());
}

// Guards against faults of other gateways, and stops that have only begun, that excuse.
#[rstest]
#[case(1, 2_000, Some(StreamExcuse::Killed), None)]
#[case(0, 2_000, None, None)]
#[case(1, 5_500, None, Some(StreamExcuse::StopTimeOver))]
fn a_gateway_excuses_by_its_end(
    #[case] gateway: usize,
    #[case] before_ms: u64,
    #[case] killed: Option<StreamExcuse>,
    #[case] stopped: Option<StreamExcuse>,
) {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Broken, 100);
    let at = outcome.ended - Duration::from_millis(before_ms);
    let mut gateways = GatewayTimeline::default();
    gateways.record_kill(gateway, at);
    assert_eq!(excuse(&engines, &gateways, &outcome), killed);
    let mut gateways = GatewayTimeline::default();
    gateways.record_stop(gateway, at);
    gateways.record_stop(gateway, outcome.ended - Duration::from_millis(500));
    assert_eq!(excuse(&engines, &gateways, &outcome), stopped);
}

// Guards against a stop that counts from a time at which its process was frozen and knew nothing of it.
#[test]
fn a_frozen_gateway_stops_once_it_goes_on() {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Broken, 100);
    let mut gateways = GatewayTimeline::default();
    let before = |ms| outcome.ended - Duration::from_millis(ms);
    gateways.record_freeze(1, before(9_000));
    gateways.record_stop(1, before(8_500));
    gateways.record_thaw(1, before(5_500));
    let expected = Some(StreamExcuse::StopTimeOver);
    assert_eq!(excuse(&engines, &gateways, &outcome), expected);
}

// Guards against the stop of an earlier process that excuses streams of the one started after it.
#[test]
fn a_stop_excuses_no_stream_of_a_later_process() {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Broken, 100);
    let mut gateways = GatewayTimeline::default();
    let before = |ms| outcome.ended - Duration::from_millis(ms);
    gateways.record_stop(1, before(5_500));
    let expected = Some(StreamExcuse::StopTimeOver);
    assert_eq!(excuse(&engines, &gateways, &outcome), expected);
    gateways.record_start(1, before(4_500));
    assert_eq!(excuse(&engines, &gateways, &outcome), None);
}

// Guards against a stream that counts as broken off although both endpoints that its route allows were
// silent until its caller left, and against one that is excused although one of them went on, or got it
// too late to answer.
#[rstest]
#[case(1_200, 2_480, 2_070, Some(StreamExcuse::Silent))]
#[case(1_200, 1_500, 2_070, None)]
#[case(1_200, 2_480, 1_300, None)]
#[case(1_700, 2_480, 1_300, None)]
fn silences_of_all_endpoints_of_a_stream_excuse_together(
    #[case] second_began_ms: u64,
    #[case] first_until_ms: u64,
    #[case] second_until_ms: u64,
    #[case] expected: Option<StreamExcuse>,
) {
    const SECOND_SILENT_MS: u64 = 1_280;
    let engines = EndpointTimeline::default();
    let sent = Instant::now();
    let after = |ms| sent + Duration::from_millis(ms);
    engines.begin_at("a", 2, after(0));
    engines.begin_at("a", 3, after(second_began_ms));
    for (endpoint, began, until) in [
        (2, 130, first_until_ms),
        (3, SECOND_SILENT_MS, second_until_ms),
    ] {
        let silence = Silence {
            kind: SilenceKind::Calls,
            began: after(began),
            ends: Some(after(until)),
        };
        engines.record_silence(endpoint, silence);
    }
    let left = StreamOutcome {
        sent,
        heard: sent,
        ended: after(2_000),
        events: 0,
        ..outcome(StreamEnd::Left, 0)
    };
    assert_eq!(
        excuse(&engines, &GatewayTimeline::default(), &left),
        expected
    );
}

// Guards against a short freeze and a short silence that are excused one by one, or never together.
#[rstest]
#[case(500, None)]
#[case(900, Some(StreamExcuse::Silent))]
fn a_freeze_adds_to_a_silence(#[case] freeze_ms: u64, #[case] expected: Option<StreamExcuse>) {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Left, 2_000);
    silence_engine(&engines, outcome.heard, Some(1_000));
    let mut gateways = GatewayTimeline::default();
    gateways.record_freeze(1, outcome.heard);
    gateways.record_thaw(1, outcome.heard + Duration::from_millis(freeze_ms));
    assert_eq!(excuse(&engines, &gateways, &outcome), expected);
}

// Guards against events that come twice or get lost and are taken for the engine's silence.
#[test]
fn wrong_events_are_never_excused() {
    let engines = EndpointTimeline::default();
    drop(engines.begin("a", 2));
    let outcome = outcome(StreamEnd::Wrong, 1_000);
    silence_engine(&engines, outcome.heard, None);
    let gateways = GatewayTimeline::default();
    assert!(check(&engines, &gateways).breach(&outcome).is_some());
}

// Guards against two engines that work on one stream for long, unseen because the stream is whole.
#[tokio::test]
async fn two_engines_at_once_are_a_breach() {
    let engines = EndpointTimeline::default();
    let gateways = GatewayTimeline::default();
    let whole = outcome(StreamEnd::Whole, 0);
    drop(engines.begin("a", 1));
    let second = engines.begin("a", 2);
    assert_eq!(check(&engines, &gateways).breach(&whole), None);
    let third = engines.begin("a", 3);
    tokio::time::sleep(MAX_OVERLAP + Duration::from_millis(100)).await;
    drop(second);
    drop(third);
    assert!(check(&engines, &gateways).breach(&whole).is_some());
}
