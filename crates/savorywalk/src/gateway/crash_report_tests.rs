use tokio::sync::oneshot;

use super::*;
use crate::quarantine::PartId;

fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    RequestDigest::from_bytes(&bytes).unwrap()
}

fn failed_call(endpoint: u64, number: u64) -> FailedCall {
    FailedCall {
        endpoint: format!("e-{endpoint}"),
        address: None,
        failure: CallFailure::Cut,
        digest: digest(number),
        prompt: SuspectRequest {
            parts: BTreeSet::from([PartId(1), PartId(number)]),
            ..Default::default()
        },
    }
}

fn count_parts(command: &QuarantineCommand) -> usize {
    let prompts = command.crashes.iter().flat_map(|crash| &crash.prompts);
    prompts.map(|prompt| prompt.parts.len()).sum()
}

#[test]
fn the_digests_in_a_log_line_are_bounded() {
    let mut calls = FailedCalls::default();
    for number in 0..40 {
        let (waiter, _) = oneshot::channel();
        calls.add(failed_call(1, number), waiter);
    }
    let text = calls.digest_list("e-1");
    assert_eq!(text.split(',').count(), MAX_LOGGED_DIGESTS + 1);
    assert!(text.ends_with(",+8"), "{text}");
}

#[test]
fn nothing_is_reported_without_observations() {
    let reports = build_reports(QuarantineCommand::default(), FailedCalls::default());
    assert!(reports.is_empty());
}

/// A whole rack of endpoints may crash at once, each with all requests that it works on.
#[test]
fn many_crashes_are_split_into_reports_of_bounded_size() {
    let mut calls = FailedCalls::default();
    for number in 0..2_000 {
        let (waiter, _) = oneshot::channel();
        calls.add(failed_call(number % 20, number), waiter);
    }
    let reports = build_reports(QuarantineCommand::default(), calls);
    let sizes = reports.iter().map(|report| {
        let crashes = report.command.crashes.iter();
        crashes.map(|crash| crash.digests.len()).sum::<usize>()
    });
    let sizes: Vec<usize> = sizes.collect();
    assert_eq!(sizes.iter().sum::<usize>(), 2_000);
    assert!(sizes.iter().all(|size| *size <= MAX_SUSPECTS), "{sizes:?}");
    let parts = reports.iter().map(|report| count_parts(&report.command));
    assert!(parts.max().is_some_and(|parts| parts <= MAX_CRASH_PARTS));
}

/// Callers of one workspace may all resend requests that were answered recently.
#[test]
fn many_answered_and_refused_requests_are_reported_in_parts() {
    let digests = |from: u64| (from..from + 700).map(|number| digest(number).to_bytes());
    let observed = QuarantineCommand {
        answered: digests(0).collect(),
        refused: digests(700).collect(),
        ..Default::default()
    };
    let mut calls = FailedCalls::default();
    let (waiter, _) = oneshot::channel();
    calls.add(failed_call(1, 1_400), waiter);
    let reports = build_reports(observed, calls);
    let sizes = reports.iter().map(|report| {
        let command = &report.command;
        let crashes = command.crashes.iter();
        let in_crashes: usize = crashes.map(|crash| crash.digests.len()).sum();
        in_crashes + command.answered.len() + command.refused.len()
    });
    let sizes: Vec<usize> = sizes.collect();
    assert_eq!(sizes.iter().sum::<usize>(), 1_401);
    assert!(sizes.iter().all(|size| *size <= MAX_SUSPECTS), "{sizes:?}");
}
