use tokio::sync::{mpsc, oneshot};

use crate::prelude::*;
use crate::quarantine::{
    MAX_CRASH_PARTS, MAX_SUSPECTS, QuarantineCommand, QuarantineOutcome, RequestDigest,
    SuspectRequest,
};

/// Maximum number of waiting reports, more than the entries that may follow one daemon in a
/// fleet of the target size.
const MAX_WAITING_REPORTS: usize = 1_024;

/// Time for which reports are collected into one command. All entries report the same crash
/// within it, and a decision of the log takes about as long.
const BATCH_TIME: Duration = Duration::from_millis(15);

/// Number of digests in a command, some 16 KB, from which no more reports are added.
const MAX_COMMAND_DIGESTS: usize = 1_024;

/// Number of prompt parts in a command, some 16 KB, from which no more reports are added.
const MAX_COMMAND_PARTS: usize = 2_048;

/// Maximum length of an incarnation's name; usual names have a few dozen bytes.
const MAX_NAME_BYTES: usize = 256;

/// Report of an entry, and the channel on which it gets the outcome.
pub(super) type WaitingReport = (
    QuarantineCommand,
    oneshot::Sender<Option<QuarantineOutcome>>,
);

/// Combines the crash reports of many entries, so that hundreds of reports of one crash need
/// only a few commands in the log.
#[derive(Clone, Debug)]
pub(super) struct QuarantineBatcher {
    waiting: mpsc::Sender<WaitingReport>,
}

impl QuarantineBatcher {
    /// Creates a batcher, and the queue of reports for [`decide_batches`].
    pub(super) fn new() -> (Self, mpsc::Receiver<WaitingReport>) {
        let (waiting, reports) = mpsc::channel(MAX_WAITING_REPORTS);
        (Self { waiting }, reports)
    }

    /// Submits a report and waits for the outcome. Returns `None` when it was not decided, and
    /// the entry must then report again.
    pub(super) async fn submit(&self, report: QuarantineCommand) -> Option<QuarantineOutcome> {
        let (reply, outcome) = oneshot::channel();
        if self.waiting.try_send((report, reply)).is_err() {
            log_event!(warn, "quarantine_intake_full");
            return None;
        }
        outcome.await.ok().flatten()
    }
}

/// Whether a report has the form that entries send.
pub(super) fn is_valid(report: &QuarantineCommand) -> bool {
    let crash_digests = report.crashes.iter().flat_map(|crash| &crash.digests);
    let mut digests = crash_digests.chain(&report.answered).chain(&report.refused);
    let has_names = report
        .crashes
        .iter()
        .all(|crash| (1..=MAX_NAME_BYTES).contains(&crash.endpoint.len()));
    has_names
        && report.forget_through == 0
        && count_digests(report) <= MAX_SUSPECTS
        && count_parts(report) <= MAX_CRASH_PARTS
        && has_readable_prompts(report)
        && digests.all(|digest| RequestDigest::from_bytes(digest).is_some())
}

/// Decides reports until the batcher is dropped. Reports that arrive within [`BATCH_TIME`] are
/// merged into one command.
pub(super) async fn decide_batches<F>(
    mut reports: mpsc::Receiver<WaitingReport>,
    mut decide: impl FnMut(QuarantineCommand) -> F,
) where
    F: Future<Output = Option<QuarantineOutcome>>,
{
    while let Some((mut command, reply)) = reports.recv().await {
        let mut callers = vec![reply];
        tokio::time::sleep(BATCH_TIME).await;
        while count_digests(&command) < MAX_COMMAND_DIGESTS
            && count_parts(&command) < MAX_COMMAND_PARTS
            && let Ok((report, reply)) = reports.try_recv()
        {
            merge(&mut command, report);
            callers.push(reply);
        }
        let outcome = decide(command).await;
        for caller in callers {
            if caller.send(outcome.clone()).is_err() {
                log_event!(debug, "quarantine_caller_left");
            }
        }
    }
}

fn count_digests(report: &QuarantineCommand) -> usize {
    let crashes = report.crashes.iter();
    let crash_digests: usize = crashes.map(|crash| crash.digests.len()).sum();
    crash_digests + report.answered.len() + report.refused.len()
}

/// Number of prompt parts in a report; a prompt without any counts as one.
fn count_parts(report: &QuarantineCommand) -> usize {
    let prompts = report.crashes.iter().flat_map(|crash| &crash.prompts);
    let suspected: usize = prompts.map(|prompt| prompt.parts.len().max(1)).sum();
    let answered = report.answered_prompts.iter();
    let answered: usize = answered.map(|prompt| prompt.parts.len().max(1)).sum();
    suspected + answered + report.refused_parts.len()
}

fn has_readable_prompts(report: &QuarantineCommand) -> bool {
    let mut prompts = report.crashes.iter().flat_map(|crash| &crash.prompts);
    prompts.all(|prompt| SuspectRequest::read(prompt).is_some())
}

fn merge(command: &mut QuarantineCommand, report: QuarantineCommand) {
    for crash in report.crashes {
        let mut known = command.crashes.iter_mut();
        match known.find(|known| known.endpoint == crash.endpoint) {
            Some(known) => {
                known.digests.extend(crash.digests);
                known.prompts.extend(crash.prompts);
            }
            None => command.crashes.push(crash),
        }
    }
    command.answered.extend(report.answered);
    command.refused.extend(report.refused);
    command.answered_prompts.extend(report.answered_prompts);
    command.refused_parts.extend(report.refused_parts);
}

#[cfg(test)]
#[path = "quarantine_batcher_tests.rs"]
mod tests;
