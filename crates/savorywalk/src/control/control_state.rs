use prost::Message;

use super::{
    BootstrapCommand, ConfigurationFault, ConfigurationReply, ControlAnswer, ControlBody,
    ControlCommand, ControlError, ControlOutcome, ControlQuery, ControlQuestion, ControlReply,
    ControlSnapshot, ControlStatus, ControlVerdict, DocumentCommand, LeaseOutcome, Malformed,
    MembershipNote, Noted, PatchCommand, PatchOutcome, PatchVerdict, Result,
};
use crate::audit::{AuditEvent, AuditTrail};
use crate::claims::{ClaimLimits, ClaimTable};
use crate::configuration::{
    Configuration, ConfigurationRegister, DocumentRegister, claim_retention,
};
use crate::evacuation::{EvacuationCommand, EvacuationRegister};
use crate::orders::{OrderBook, OrderCommand, OrderOutcome, OrderStep, OrderVerdict};
use crate::prelude::*;
use crate::quarantine::{
    CrashSuspect, PartId, QuarantineCommand, QuarantineRegister, RequestDigest,
};

/// Format of the snapshots that this program writes and reads.
const SNAPSHOT_FORMAT: u32 = 1;

/// Largest step of the claim clock between two commands. It keeps a leader whose clock
/// is far ahead from expiring all claims. Entries renew their leases more often than
/// this, so the limit can only slow the claim clock down.
const MAX_CLAIM_STEP_MS: u64 = 10_000;

/// The deterministic state machine of the replicated log.
///
/// Its only time is the leader's stamp in each command. Time never goes back: a stamp
/// older than the newest one counts as the newest.
#[derive(Clone, Debug)]
pub struct ControlState {
    index: u64,
    stamp_ms: u64,
    /// The claim clock: advances with the stamps, by at most [`MAX_CLAIM_STEP_MS`] per
    /// command.
    claim_ms: u64,
    limits: ClaimLimits,
    configuration: ConfigurationRegister,
    claims: ClaimTable,
    audit: AuditTrail,
    orders: OrderBook,
    documents: DocumentRegister,
    quarantine: QuarantineRegister,
    evacuations: EvacuationRegister,
}

/// The fields of an audit event that depend on the command's kind.
struct AuditFields<'a> {
    author: &'a str,
    kind: &'a str,
    subject: &'a str,
    outcome: &'a str,
    detail: String,
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new(ClaimLimits::default())
    }
}

impl ControlState {
    /// The state before the first command. All replicas must have the same `limits`, or
    /// they diverge.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            index: 0,
            stamp_ms: 0,
            claim_ms: 0,
            limits,
            configuration: ConfigurationRegister::default(),
            claims: ClaimTable::new(limits),
            audit: AuditTrail::default(),
            orders: OrderBook::default(),
            documents: DocumentRegister::default(),
            quarantine: QuarantineRegister::default(),
            evacuations: EvacuationRegister::default(),
        }
    }

    /// A state that starts with configuration `source` as `version`, without a bootstrap.
    pub fn starting_at(version: u64, source: Configuration) -> Self {
        Self {
            configuration: ConfigurationRegister::starting_at(version, source),
            ..Self::default()
        }
    }

    /// Index of the last command applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: ControlCommand) -> ControlOutcome {
        self.index = index;
        self.claim_ms = self.claim_time(command.stamp_ms);
        self.stamp_ms = self.stamp_ms.max(command.stamp_ms);
        let verdict = match command.body {
            Some(ControlBody::Bootstrap(command)) => self.bootstrap(&command),
            Some(ControlBody::Patch(command)) => self.patch(&command),
            Some(ControlBody::Claims(batch)) => {
                let retention = claim_retention(self.configuration.source());
                let outcome = self.claims.apply(self.claim_ms, retention, batch);
                ControlVerdict::Claims(outcome)
            }
            Some(ControlBody::Lease(lease)) => {
                let alive = self.claims.renew(self.claim_ms, lease);
                ControlVerdict::Lease(LeaseOutcome { alive })
            }
            Some(ControlBody::Order(command)) => self.order(&command),
            Some(ControlBody::Membership(change)) => self.membership(&change),
            Some(ControlBody::Document(command)) => self.document(command),
            Some(ControlBody::Retire(incarnation)) => {
                self.documents.retire(incarnation);
                ControlVerdict::Noted(Noted {})
            }
            Some(ControlBody::Quarantine(command)) => self.quarantine(&command),
            Some(ControlBody::Evacuation(command)) => self.evacuate(&command),
            None => malformed("the command has no body that this program knows"),
        };
        ControlOutcome {
            outcome: Some(verdict),
        }
    }

    /// Applies an encoded command of the log. Bytes that can't be decoded change only the
    /// index, in the same way on every replica.
    pub fn apply_bytes(&mut self, index: u64, command: &[u8]) -> Bytes {
        let outcome = match ControlCommand::decode(command) {
            Ok(command) => self.apply(index, command),
            Err(error) => {
                self.index = index;
                ControlOutcome {
                    outcome: Some(malformed(&error.to_string())),
                }
            }
        };
        outcome.encode_to_vec().into()
    }

    /// The reading of the claim clock at time `stamp_ms`.
    fn claim_time(&self, stamp_ms: u64) -> u64 {
        let step = stamp_ms.saturating_sub(self.stamp_ms);
        self.claim_ms + step.min(MAX_CLAIM_STEP_MS)
    }

    fn bootstrap(&mut self, command: &BootstrapCommand) -> ControlVerdict {
        let outcome = self.configuration.bootstrap(self.stamp_ms, command);
        self.record(patch_fields("bootstrap", &command.author, "", &outcome));
        ControlVerdict::Patch(outcome)
    }

    /// Applies a patch. A resend is not recorded again, but an id conflict is.
    fn patch(&mut self, command: &PatchCommand) -> ControlVerdict {
        let is_resend = self.configuration.remembers(command);
        let outcome = self.configuration.patch(self.stamp_ms, command);
        let is_conflict = matches!(outcome.outcome, Some(PatchVerdict::IdConflict(_)));
        if !is_resend || is_conflict {
            let id = &command.patch_id;
            self.record(patch_fields("patch", &command.author, id, &outcome));
        }
        ControlVerdict::Patch(outcome)
    }

    fn order(&mut self, command: &OrderCommand) -> ControlVerdict {
        let outcome = self.orders.apply(self.stamp_ms, self.index, command);
        if let Some(step) = &command.step {
            self.record(order_fields(step, &outcome));
        }
        ControlVerdict::Order(outcome)
    }

    fn membership(&mut self, change: &MembershipNote) -> ControlVerdict {
        self.record(AuditFields {
            author: &change.author,
            kind: "membership",
            subject: "control",
            outcome: "noted",
            detail: change.change.clone(),
        });
        ControlVerdict::Noted(Noted {})
    }

    /// Publishes a document. One that changes nothing is recorded only if it conflicts
    /// with the document in force.
    fn document(&mut self, command: DocumentCommand) -> ControlVerdict {
        let (number, author) = (command.number, command.author.clone());
        let outcome = self.documents.publish(command);
        if outcome.accepted || outcome.conflict {
            self.record(AuditFields {
                author: &author,
                kind: "document",
                subject: &number.to_string(),
                outcome: if outcome.accepted {
                    "accepted"
                } else {
                    "refused"
                },
                detail: format!("number {} is in force", outcome.number),
            });
        }
        ControlVerdict::Document(outcome)
    }

    /// Applies crash reports. Only changes of the quarantine are recorded, since there are
    /// many crashes.
    fn quarantine(&mut self, command: &QuarantineCommand) -> ControlVerdict {
        let outcome = self.quarantine.apply(self.index, command);
        let requests = |digests: &[Bytes]| -> Vec<CrashSuspect> {
            let digests = RequestDigest::read_all(digests);
            digests.map(CrashSuspect::Request).collect()
        };
        let part = |id: u64| CrashSuspect::Part(PartId(id));
        let mut added = requests(&outcome.added);
        added.extend(outcome.added_parts.iter().map(|added| part(added.part)));
        let mut removed = requests(&outcome.removed);
        removed.extend(outcome.removed_parts.iter().copied().map(part));
        let added = added.iter().map(|suspect| (suspect, "quarantined"));
        let removed = removed.iter().map(|suspect| (suspect, "released"));
        for (suspect, change) in added.chain(removed) {
            self.record(AuditFields {
                author: "control",
                kind: "quarantine",
                subject: &suspect.to_string(),
                outcome: change,
                detail: format!(
                    "revision {}, of parts {}",
                    outcome.revision, outcome.part_revision
                ),
            });
        }
        ControlVerdict::Quarantine(outcome)
    }

    /// Applies an evacuation order. A resend of an accepted order is not recorded again.
    fn evacuate(&mut self, command: &EvacuationCommand) -> ControlVerdict {
        let before = self.evacuations.revision();
        let outcome = self.evacuations.apply(command);
        if outcome.revision > before || !outcome.in_force {
            self.record(AuditFields {
                author: "operator",
                kind: "evacuation",
                subject: &command.data_center,
                outcome: match (outcome.in_force, command.evacuated) {
                    (true, true) => "begun",
                    (true, false) => "ended",
                    (false, _) => "refused",
                },
                detail: format!("revision {}", outcome.revision),
            });
        }
        ControlVerdict::Evacuation(outcome)
    }

    fn record(&mut self, fields: AuditFields<'_>) {
        self.audit.append(AuditEvent {
            stamp_ms: self.stamp_ms,
            index: self.index,
            author: fields.author,
            kind: fields.kind,
            subject: fields.subject,
            outcome: fields.outcome,
            detail: &fields.detail,
        });
    }

    /// Reads a part of the state; `now_ms` is the reader's wall time.
    pub fn query(&self, now_ms: u64, query: &ControlQuery) -> ControlReply {
        let now_ms = self.claim_time(now_ms);
        let answer = match &query.query {
            Some(ControlQuestion::Configuration(query)) => {
                let register = &self.configuration;
                let is_newer = register.version() > query.known_version;
                ControlAnswer::Configuration(ConfigurationReply {
                    version: register.version(),
                    configuration: is_newer.then(|| register.source().clone()),
                })
            }
            Some(ControlQuestion::History(range)) => {
                let limit = range.limit as usize;
                ControlAnswer::History(self.configuration.history(range.after, limit))
            }
            Some(ControlQuestion::Audit(range)) => {
                ControlAnswer::Audit(self.audit.read(range.after, range.limit as usize))
            }
            Some(ControlQuestion::Status(_)) => ControlAnswer::Status(self.status(now_ms)),
            Some(ControlQuestion::Claim(key)) => {
                ControlAnswer::Claim(self.claims.look_up(now_ms, key))
            }
            None => ControlAnswer::Malformed(Malformed {
                message: "the query is none that this program knows".into(),
            }),
        };
        ControlReply {
            reply: Some(answer),
        }
    }

    fn status(&self, now_ms: u64) -> ControlStatus {
        ControlStatus {
            index: self.index,
            version: self.configuration.version(),
            claims: self.claims.len() as u64,
            answers: self.claims.answers() as u64,
            entries: self.claims.live_entries(now_ms) as u64,
            orders: self.orders.outstanding().count() as u64,
            audit_sequence: self.audit.last_sequence(),
            evacuated: self.evacuations.evacuated().map(Into::into).collect(),
        }
    }

    /// The configuration in force, its version and its history.
    pub fn configuration(&self) -> &ConfigurationRegister {
        &self.configuration
    }

    /// The document in force and the retired endpoints.
    pub fn documents(&self) -> &DocumentRegister {
        &self.documents
    }

    /// Requests under which endpoints crash.
    pub fn quarantined(&self) -> &QuarantineRegister {
        &self.quarantine
    }

    /// Data centres whose endpoints get no new work.
    pub fn evacuations(&self) -> &EvacuationRegister {
        &self.evacuations
    }

    /// The claims of non-idempotent requests and the leases of entries.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The newest records of the audit trail.
    pub fn audit(&self) -> &AuditTrail {
        &self.audit
    }

    /// The orders to endpoints that are not closed yet.
    pub fn orders(&self) -> &OrderBook {
        &self.orders
    }

    /// Encodes the complete state; [`Self::restore`] reads it.
    pub fn snapshot(&self) -> Bytes {
        let snapshot = ControlSnapshot {
            format: SNAPSHOT_FORMAT,
            index: self.index,
            stamp_ms: self.stamp_ms,
            claim_ms: self.claim_ms,
            configuration: Some(self.configuration.snapshot()),
            claims: Some(self.claims.snapshot()),
            audit: Some(self.audit.snapshot()),
            orders: Some(self.orders.snapshot()),
            documents: Some(self.documents.snapshot()),
            quarantine: Some(self.quarantine.snapshot()),
            evacuations: Some(self.evacuations.snapshot()),
        };
        snapshot.encode_to_vec().into()
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// If the snapshot can't be decoded or has another format. The state is unchanged then.
    pub fn restore(&mut self, snapshot: &[u8]) -> Result<()> {
        let snapshot = ControlSnapshot::decode(snapshot)?;
        if snapshot.format != SNAPSHOT_FORMAT {
            return Err(ControlError::UnknownFormat {
                found: snapshot.format,
                known: SNAPSHOT_FORMAT,
            });
        }
        let configuration = snapshot.configuration.unwrap_or_default();
        let claims = snapshot.claims.unwrap_or_default();
        self.index = snapshot.index;
        self.stamp_ms = snapshot.stamp_ms;
        self.claim_ms = snapshot.claim_ms;
        self.configuration = ConfigurationRegister::restore(configuration);
        self.claims = ClaimTable::restore(self.limits, claims);
        self.audit = AuditTrail::restore(snapshot.audit.unwrap_or_default());
        self.orders = OrderBook::restore(snapshot.orders.unwrap_or_default());
        self.documents = DocumentRegister::restore(snapshot.documents.unwrap_or_default());
        self.quarantine = QuarantineRegister::restore(snapshot.quarantine.unwrap_or_default());
        self.evacuations = EvacuationRegister::restore(snapshot.evacuations.unwrap_or_default());
        Ok(())
    }
}

fn malformed(message: &str) -> ControlVerdict {
    ControlVerdict::Malformed(Malformed {
        message: message.into(),
    })
}

fn patch_fields<'a>(
    kind: &'a str,
    author: &'a str,
    subject: &'a str,
    outcome: &PatchOutcome,
) -> AuditFields<'a> {
    let (outcome, detail) = match &outcome.outcome {
        Some(PatchVerdict::Accepted(accepted)) => {
            ("accepted", format!("version {}", accepted.version))
        }
        Some(PatchVerdict::Mismatch(mismatch)) => {
            let (expected, current) = (mismatch.expected_version, mismatch.current_version);
            ("refused", format!("for version {expected}, at {current}"))
        }
        Some(PatchVerdict::Invalid(invalid)) => {
            let first = invalid.errors.first().map(fault_text).unwrap_or_default();
            let count = invalid.errors.len();
            ("refused", format!("{count} error(s), the first: {first}"))
        }
        Some(PatchVerdict::IdConflict(_)) => ("refused", "id of another patch".into()),
        None => ("refused", String::new()),
    };
    AuditFields {
        author,
        kind,
        subject,
        outcome,
        detail,
    }
}

fn fault_text(fault: &ConfigurationFault) -> String {
    format!("{}: {}; {}", fault.path, fault.problem, fault.remedy)
}

fn order_fields<'a>(step: &'a OrderStep, outcome: &OrderOutcome) -> AuditFields<'a> {
    let (author, subject, step_text) = match step {
        OrderStep::Logged(order) => {
            let action = order.action.as_ref();
            let action = action.and_then(|action| action.action.as_ref());
            (&order.author, &order.endpoint, format!("{action:?}"))
        }
        OrderStep::Closed(closed) => {
            let result = closed.result().as_str_name().to_string();
            (&closed.author, &closed.endpoint, result)
        }
    };
    let (outcome, outcome_text) = match &outcome.outcome {
        Some(OrderVerdict::Logged(number)) => {
            ("logged", format!("number {}.{}", number.term, number.index))
        }
        Some(OrderVerdict::Closed(_)) => ("closed", String::new()),
        Some(OrderVerdict::Busy(_)) => ("refused", "another order is outstanding".into()),
        Some(OrderVerdict::StaleTerm(term)) => ("refused", format!("term {term} is known")),
        Some(OrderVerdict::NotOutstanding(_)) => ("refused", "not outstanding".into()),
        Some(OrderVerdict::Malformed(malformed)) => ("refused", malformed.message.clone()),
        None => ("refused", String::new()),
    };
    AuditFields {
        author,
        kind: "order",
        subject,
        outcome,
        detail: format!("{step_text} {outcome_text}").trim_end().to_string(),
    }
}

#[cfg(test)]
#[path = "control_state_tests.rs"]
mod tests;
