use super::{RegistryNode, quarantine_batcher};
use crate::control::{ControlBody, ControlOutcome, ControlVerdict, Malformed};
use crate::generated::control_link::control_response::Response;
use crate::prelude::*;
use crate::quarantine::{
    IndexAges, PartQuarantine, QUARANTINE_TIME, QuarantineCommand, QuarantineOutcome, RequestDigest,
};

/// Time between two checks for outdated quarantine records.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Quarantine of requests under which endpoints crash.
impl RegistryNode {
    /// Validates a crash report of an entry, submits it and returns the decision as a response.
    pub(super) async fn submit_report(&self, report: QuarantineCommand) -> Response {
        if !quarantine_batcher::is_valid(&report) {
            let reason = "the report can't be read; run entries and control of one version";
            log_event!(warn, "quarantine_report_unreadable", reason = reason);
            return Response::Outcome(ControlOutcome {
                outcome: Some(ControlVerdict::Malformed(Malformed {
                    message: reason.into(),
                })),
            });
        }
        match self.quarantine_batcher.submit(report).await {
            Some(outcome) => Response::Outcome(ControlOutcome {
                outcome: Some(ControlVerdict::Quarantine(outcome)),
            }),
            None => Response::Unavailable("the report was not decided".into()),
        }
    }

    /// Proposes a command to the log; `None` when it was not decided, as without a majority.
    pub(super) async fn decide_quarantine(
        self: Arc<Self>,
        command: QuarantineCommand,
    ) -> Option<QuarantineOutcome> {
        let crashes = command.crashes.len();
        match self.decide(ControlBody::Quarantine(command)).await {
            Ok(ControlVerdict::Quarantine(outcome)) => {
                log_event!(
                    info,
                    "quarantine_decided",
                    crashes = crashes,
                    revision = outcome.revision,
                    added = format_digests(&outcome.added),
                    removed = format_digests(&outcome.removed),
                    part_revision = outcome.part_revision,
                    added_parts = format_quarantines(&outcome.added_parts),
                    removed_parts = format_parts(&outcome.removed_parts)
                );
                Some(outcome)
            }
            Ok(other) => {
                log_event!(
                    warn,
                    "quarantine_undecided",
                    reason = format!("control answered something else: {other:?}")
                );
                None
            }
            Err(error) => {
                log_event!(
                    warn,
                    "quarantine_undecided",
                    crashes = crashes,
                    reason = error
                );
                None
            }
        }
    }

    /// Removes quarantine records older than [`QUARANTINE_TIME`] while this daemon is the leader.
    pub(super) async fn expire_old_records(self: Arc<Self>) {
        let mut ages = IndexAges::default();
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let Some(voter) = self.voter() else {
                continue;
            };
            let now = Instant::now();
            ages.record(now, voter.cell().index());
            let old = ages.index_at_age(now, QUARANTINE_TIME);
            let is_leader = voter.leader().as_deref() == Some(self.hub.name().as_str());
            let is_outdated = voter
                .cell()
                .read_quarantine(|register| register.has_records_through(old));
            if is_leader && is_outdated {
                let command = QuarantineCommand {
                    forget_through: old,
                    ..Default::default()
                };
                // Without a majority, the next check retries it.
                Arc::clone(&self).decide_quarantine(command).await;
            }
        }
    }
}

/// Formats parts for a log line, each followed by its companions.
fn format_quarantines(quarantines: &[PartQuarantine]) -> String {
    let texts: Vec<String> = quarantines
        .iter()
        .map(|quarantine| match quarantine.companions.as_slice() {
            [] => format!("{:x}", quarantine.part),
            companions => format!("{:x}+{}", quarantine.part, format_parts(companions)),
        })
        .collect();
    texts.join(",")
}

/// Formats ids of parts for a log line.
fn format_parts(parts: &[u64]) -> String {
    let texts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    texts.join("+")
}

/// Formats digests for a log line.
fn format_digests(digests: &[Bytes]) -> String {
    let digests = RequestDigest::read_all(digests);
    let texts: Vec<String> = digests.map(|digest| digest.to_string()).collect();
    texts.join(",")
}
