//! Every promise holds for all requests while processes are stopped and killed
//! and endpoints misbehave, two faults at once. The long form is the command
//! `savorywalk-proof`; see docs/design/proof.md.

#![allow(clippy::unwrap_used, reason = "test code: a failure should panic")]

use std::path::PathBuf;

use rstest::rstest;
use savorywalk_proof::{
    FaultScript, PromptPlan, ProofPlan, ProofReport, ReplacementPlan, RetryPlan, RetryPlay,
    RetryReport, SilencePlan, SilencePlay, SilenceReport, run_prompts, run_proof, run_replacements,
    run_retries, run_silences,
};
use savorywalk_standin::Deployment;

const ENTRIES: usize = 3;
const REQUESTS: usize = 240;
const CALLERS: usize = 12;
const PAIRS: usize = 3;

/// Gateways before endpoints that count retries.
const RETRY_GATEWAYS: usize = 8;

async fn run(deployment: Deployment, script: FaultScript) -> ProofReport {
    let folder = tempfile::tempdir().unwrap();
    let plan = ProofPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: folder.path().to_path_buf(),
        deployment,
        entries: ENTRIES,
        requests: REQUESTS,
        callers: CALLERS,
        script,
    };
    run_proof(plan).await.unwrap()
}

#[rstest]
#[case(Deployment::Roadside)]
#[case(Deployment::Airport)]
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_run_answers_everything(#[case] deployment: Deployment) {
    let report = run(deployment, FaultScript::none()).await;
    assert!(report.is_sound(), "{report}");
    assert_eq!(report.answered, REQUESTS, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_nothing() {
    let script = FaultScript::rolling_restart(ENTRIES, REQUESTS);
    let report = run(Deployment::Roadside, script).await;
    assert!(report.is_sound(), "{report}");
    assert_eq!(report.errors.get("cut"), None, "{report}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults_break_no_promise(#[values(1, 2, 3)] seed: u64) {
    let endpoints = Deployment::Airport.plan().endpoints.len();
    let script = FaultScript::pairs(seed, ENTRIES, endpoints, REQUESTS, PAIRS);
    let report = run(Deployment::Airport, script).await;
    assert!(report.is_sound(), "seed {seed}: {report}");
}

/// Guards against promises that hold under single faults, and not when restarts, lost paths and
/// faults of endpoints come in series and overlap while callers keep their connections.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_in_series_break_no_promise(#[values(1, 2)] seed: u64) {
    let endpoints = Deployment::Airport.plan().endpoints.len();
    let script = FaultScript::soak(seed, ENTRIES, endpoints, REQUESTS);
    let report = run(Deployment::Airport, script).await;
    assert!(report.is_sound(), "seed {seed}: {report}");
}

/// Guards against a part of prompts that crashes engine after engine, or sound parts that are blamed,
/// while gateways and registries are killed, stopped, frozen and started again.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_prompt_part_stays_out_while_processes_come_and_go() {
    let folder = tempfile::tempdir().unwrap();
    let plan = PromptPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: folder.path().to_path_buf(),
        gateways: ENTRIES,
        seed: 1,
    };
    let report = run_prompts(&plan).await.unwrap();
    assert!(report.is_sound(), "{report}");
}

async fn play_retries(play: RetryPlay) -> RetryReport {
    let folder = tempfile::tempdir().unwrap();
    let plan = RetryPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        earlier_program: None,
        folder: folder.path().to_path_buf(),
        gateways: RETRY_GATEWAYS,
        play,
        seed: 1,
    };
    run_retries(&plan).await.unwrap()
}

/// Guards against requests and pieces that are sent again without a retry from the budget, which they
/// were after results of their stages were lost.
#[tokio::test(flavor = "multi_thread")]
async fn sends_after_lost_inputs_stay_within_the_retry_budget() {
    let report = play_retries(RetryPlay::InputsGone).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against a budget that each restart of an entry makes available again.
#[tokio::test(flavor = "multi_thread")]
async fn restarts_of_all_gateways_stay_within_the_retry_budget() {
    let report = play_retries(RetryPlay::AllGateways).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against entries that take larger parts of the budget while they know few others.
#[tokio::test(flavor = "multi_thread")]
async fn restarts_of_control_and_gateways_stay_within_the_retry_budget() {
    let report = play_retries(RetryPlay::Control).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against overlapping faults that exceed the retry budget together.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_in_series_stay_within_the_retry_budget() {
    let report = play_retries(RetryPlay::Series).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against tokens that are spent twice on their way to the gateway that meets all failures.
#[tokio::test(flavor = "multi_thread")]
async fn failures_at_one_gateway_stay_within_the_retry_budget() {
    let report = play_retries(RetryPlay::OneGateway).await;
    assert!(report.is_sound(), "{report}");
}

/// Gateways before engines that fall silent.
const SILENCE_GATEWAYS: usize = 3;

async fn play_silences(play: SilencePlay) -> SilenceReport {
    play_seed(play, 1).await
}

async fn play_seed(play: SilencePlay, seed: u64) -> SilenceReport {
    let folder = tempfile::tempdir().unwrap();
    let plan = SilencePlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: folder.path().to_path_buf(),
        gateways: SILENCE_GATEWAYS,
        play,
        seed,
    };
    run_silences(&plan).await.unwrap()
}

/// Guards against streams that are given up because their engines are silent for a second, and then
/// break because no retry, no stage or no other engine is there for them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_outlast_engines_that_are_silent_for_a_second() {
    let reports = futures::join!(
        play_silences(SilencePlay::SpentBudget),
        play_silences(SilencePlay::SilentStages),
        play_silences(SilencePlay::FullEngines),
        play_silences(SilencePlay::PreemptedStreams),
    );
    let reports = <[SilenceReport; 4]>::from(reports);
    assert!(
        reports.iter().all(SilenceReport::is_sound),
        "{}",
        reports.map(|report| report.to_string()).join("\n")
    );
}

/// Guards against a stream that its gateway gives up while it stops, although the engine goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_stopping_gateway_outlasts_a_silent_engine() {
    let report = play_silences(SilencePlay::StoppingGateway).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against callers that leave because the stream of a lost engine is resumed too late for them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_lost_engine_are_resumed_while_their_callers_wait() {
    let reports = futures::join!(
        play_silences(SilencePlay::LostEngine),
        play_silences(SilencePlay::LostPath),
    );
    for report in <[SilenceReport; 2]>::from(reports) {
        assert!(report.is_sound(), "{report}");
        assert!(!report.resumed_gaps.is_empty(), "{report}");
    }
}

/// Guards against streams that are handed to idle engines as silent as their own, and break although
/// their own go on in time.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_while_idle_engines_are_as_silent() {
    let report = play_silences(SilencePlay::IdleEngines).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against streams whose engines are dropped for the head of an answer, which says nothing of
/// its first event.
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_while_their_replacements_send_no_event() {
    let report = play_silences(SilencePlay::SilentAfterHead).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against streams that hold under single silences, and break when silences of all kinds,
/// documents, reloads, stops, kills and frozen processes overlap.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_silences_in_series_break_off_no_sound_stream() {
    let report = play_seed(SilencePlay::Series, 2).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against streams that hold under single changes, and break when a silence meets stops,
/// starts, reloads and documents that overlap.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_in_series_breaks_off_no_sound_stream() {
    let report = play_seed(SilencePlay::PlannedWork, 1).await;
    assert!(report.is_sound(), "{report}");
}

/// Guards against a control that loses its majority for good while its VMs are replaced one after
/// the other, and against entries that answers without end take down.
#[rstest]
#[case(3)]
#[case(5)]
#[tokio::test(flavor = "multi_thread")]
async fn replaced_control_vms_and_endless_answers_break_no_promise(#[case] registries: usize) {
    let folder = tempfile::tempdir().unwrap();
    let plan = ReplacementPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_savorywalk")),
        folder: folder.path().to_path_buf(),
        registries,
        gateways: 3,
        replacements: 5,
        seed: 1,
    };
    let report = run_replacements(&plan).await.unwrap();
    assert!(report.is_sound(), "{report}");
}
