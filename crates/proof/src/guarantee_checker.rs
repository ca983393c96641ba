use savorywalk::prelude::*;

use crate::{
    EndpointName, EntryName, GuaranteeViolation, HistoryEvent, HistoryRecord, RequestMark,
};

/// How long after its leaving notice an endpoint may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// How long after it was sent a request that no endpoint has received may still cross the close
/// of its connection; the users' `lossSlackMs`.
const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(200);

/// Checks every promise of the product over one recorded history.
///
/// A history is read in the order of its records. What a caller was told, what
/// endpoints received and what entries served are set side by side, so the
/// checker needs to know nothing of how the system works.
#[derive(Debug, Default)]
pub struct GuaranteeChecker {
    requests: BTreeMap<RequestMark, RequestTrace>,
    leavers: BTreeMap<EndpointName, Duration>,
    versions: BTreeMap<EntryName, u64>,
    acknowledged: BTreeMap<u64, String>,
    kept: BTreeMap<u64, String>,
    history_was_kept: bool,
    orders: BTreeMap<EndpointName, (u64, u64)>,
    /// When each entry was asked to stop.
    stopping: BTreeMap<EntryName, Duration>,
    breaches: Vec<GuaranteeViolation>,
}

/// All that a history tells of one request.
#[derive(Debug, Default)]
struct RequestTrace {
    sent: usize,
    /// When its caller sent it last.
    last_sent: Duration,
    /// Endpoints that received it since.
    receipts_since_sent: usize,
    replies: usize,
    cuts: usize,
    unreached: usize,
    not_run: usize,
    non_idempotent: bool,
    received: BTreeMap<String, Vec<EndpointName>>,
}

impl GuaranteeChecker {
    /// Every breach in `history`, in the order in which it shows.
    pub fn check(history: &[HistoryRecord]) -> Vec<GuaranteeViolation> {
        let mut checker = Self::default();
        for record in history {
            checker.read(record);
        }
        checker.finish()
    }

    fn read(&mut self, record: &HistoryRecord) {
        match &record.event {
            HistoryEvent::Sent {
                request,
                idempotent,
            } => {
                let trace = self.trace(request);
                trace.sent += 1;
                trace.last_sent = record.at;
                trace.receipts_since_sent = 0;
                trace.non_idempotent |= !idempotent;
            }
            HistoryEvent::Answered {
                request,
                content,
                expected,
            } => self.read_answer(request, content, expected),
            HistoryEvent::NotRun { request } => {
                let trace = self.trace(request);
                trace.replies += 1;
                trace.not_run += 1;
            }
            HistoryEvent::Failed { request, kind: _ } => self.trace(request).replies += 1,
            HistoryEvent::Cut { request, entry } => self.read_cut(record.at, request, entry),
            HistoryEvent::Received {
                endpoint,
                request,
                stage,
            } => self.read_receipt(record.at, endpoint, request, stage),
            HistoryEvent::Leaving { endpoint } => {
                self.leavers.entry(endpoint.clone()).or_insert(record.at);
            }
            HistoryEvent::Returned { endpoint } => {
                self.leavers.remove(endpoint);
            }
            HistoryEvent::VersionServed { entry, version } => self.read_version(entry, *version),
            HistoryEvent::PatchAcknowledged { version, patch } => {
                self.read_acknowledgement(*version, patch);
            }
            HistoryEvent::VersionKept { version, patch } => {
                self.history_was_kept = true;
                self.kept.insert(*version, patch.clone());
            }
            HistoryEvent::OrderExecuted { endpoint, fencing } => {
                self.read_order(endpoint, *fencing);
            }
            HistoryEvent::Unreached { request } => self.trace(request).unreached += 1,
            HistoryEvent::Started { entry } => {
                self.stopping.remove(entry);
            }
            HistoryEvent::StopRequested { entry } => {
                self.stopping.insert(entry.clone(), record.at);
            }
        }
    }

    fn trace(&mut self, request: &RequestMark) -> &mut RequestTrace {
        self.requests.entry(request.clone()).or_default()
    }

    fn read_answer(&mut self, request: &RequestMark, content: &str, expected: &str) {
        self.trace(request).replies += 1;
        if content != expected {
            self.breaches.push(GuaranteeViolation::WrongAnswer {
                request: request.clone(),
                content: content.to_string(),
                expected: expected.to_string(),
            });
        }
    }

    fn read_cut(&mut self, at: Duration, request: &RequestMark, entry: &EntryName) {
        let trace = self.trace(request);
        trace.cuts += 1;
        let sent = trace.last_sent;
        let after = at.saturating_sub(sent);
        let receipts = trace.receipts_since_sent;
        // A request that was sent after the stop began may cross the close unread.
        let crosses =
            |stop: &Duration| sent >= *stop && receipts == 0 && after <= CLOSE_CROSSING_TIME;
        let is_breach = self.stopping.get(entry).is_some_and(|stop| !crosses(stop));
        if is_breach {
            self.breaches.push(GuaranteeViolation::CutByStop {
                request: request.clone(),
                entry: entry.clone(),
                after,
                receipts,
            });
        }
    }

    fn read_receipt(
        &mut self,
        at: Duration,
        endpoint: &EndpointName,
        request: &RequestMark,
        stage: &str,
    ) {
        let trace = self.trace(request);
        trace.receipts_since_sent += 1;
        let receivers = trace.received.entry(stage.to_string()).or_default();
        receivers.push(endpoint.clone());
        let Some(left) = self.leavers.get(endpoint) else {
            return;
        };
        let after = at.saturating_sub(*left);
        if after > LEAVING_GRACE {
            self.breaches.push(GuaranteeViolation::WorkToLeaver {
                endpoint: endpoint.clone(),
                request: request.clone(),
                after,
            });
        }
    }

    fn read_version(&mut self, entry: &EntryName, version: u64) {
        let newest = self.versions.entry(entry.clone()).or_default();
        if version < *newest {
            self.breaches.push(GuaranteeViolation::VersionReverted {
                entry: entry.clone(),
                newer: *newest,
                older: version,
            });
        }
        *newest = version.max(*newest);
    }

    fn read_acknowledgement(&mut self, version: u64, patch: &str) {
        let first = self.acknowledged.entry(version);
        let first = first.or_insert_with(|| patch.to_string());
        if first != patch {
            self.breaches.push(GuaranteeViolation::PatchDoubled {
                version,
                first: first.clone(),
                second: patch.to_string(),
            });
        }
    }

    fn read_order(&mut self, endpoint: &EndpointName, fencing: (u64, u64)) {
        let newest = self.orders.entry(endpoint.clone()).or_insert(fencing);
        if fencing < *newest {
            self.breaches.push(GuaranteeViolation::OrderReverted {
                endpoint: endpoint.clone(),
                newer: *newest,
                older: fencing,
            });
        }
        *newest = fencing.max(*newest);
    }

    /// What only the end of a history can show.
    fn finish(mut self) -> Vec<GuaranteeViolation> {
        let requests = std::mem::take(&mut self.requests);
        for (request, trace) in &requests {
            self.finish_request(request, trace);
        }
        if self.history_was_kept {
            self.finish_patches();
        }
        self.breaches
    }

    fn finish_request(&mut self, request: &RequestMark, trace: &RequestTrace) {
        if trace.replies + trace.cuts + trace.unreached < trace.sent {
            self.breaches.push(GuaranteeViolation::Lost {
                request: request.clone(),
            });
        }
        if trace.replies > trace.sent {
            self.breaches.push(GuaranteeViolation::Doubled {
                request: request.clone(),
                sent: trace.sent,
                replies: trace.replies,
            });
        }
        self.finish_not_run(request, trace);
        for (stage, receivers) in &trace.received {
            if trace.non_idempotent && receivers.len() > 1 {
                self.breaches.push(GuaranteeViolation::RanTwice {
                    request: request.clone(),
                    stage: stage.clone(),
                    endpoints: receivers.clone(),
                    sent: trace.sent,
                });
            }
        }
    }

    /// A request of which every reply was "not run" must have been received by
    /// nobody; one that was resent and answered may have been.
    fn finish_not_run(&mut self, request: &RequestMark, trace: &RequestTrace) {
        if trace.not_run == 0 || trace.not_run + trace.unreached < trace.sent {
            return;
        }
        if let Some(endpoint) = trace.received.values().flatten().next() {
            self.breaches.push(GuaranteeViolation::RanAfterAll {
                request: request.clone(),
                endpoint: endpoint.clone(),
            });
        }
    }

    fn finish_patches(&mut self) {
        for (version, patch) in &self.acknowledged {
            if self.kept.get(version) != Some(patch) {
                self.breaches.push(GuaranteeViolation::PatchLost {
                    version: *version,
                    patch: patch.clone(),
                });
            }
        }
    }
}

#[cfg(test)]
#[path = "guarantee_checker_tests.rs"]
mod tests;
