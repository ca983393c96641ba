use prost::Message;
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::{
    Configuration, ConfigurationError, ConfigurationHistory, ConfigurationProblem,
    ConfigurationReport, ConfigurationSnapshot, PatchWindow, Result, configuration_document,
};
use crate::generated::control::patch_command::Change;
use crate::generated::control::patch_outcome::Outcome;
use crate::generated::control::{
    BootstrapCommand, ConfigurationFault, ConfigurationRegisterSnapshot, HistoryRecord,
    HistoryReply, InvalidConfiguration, PatchAccepted, PatchCommand, PatchIdConflict, PatchOutcome,
    VersionChange, VersionMismatch,
};
use crate::prelude::*;

/// Version that a bootstrap makes.
const FIRST_VERSION: u64 = 1;
/// Longest patch id, in bytes.
const MAX_PATCH_ID_BYTES: usize = 128;
/// Most errors of one outcome; more are counted in the last one.
const MAX_FAULTS: usize = 1_000;

/// The numbered configuration and its history, as a state machine without I/O.
///
/// A patch applies only to the version it names, and the version only grows:
/// of two patches for one version exactly one wins.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationRegister {
    version: u64,
    source: Configuration,
    history: ConfigurationHistory,
    window: PatchWindow,
}

impl ConfigurationRegister {
    /// The register of a deployment whose first configuration is given from
    /// outside.
    pub fn starting_at(version: u64, source: Configuration) -> Self {
        Self {
            version,
            source,
            ..Self::default()
        }
    }

    /// Number of the version in force; 0 before the bootstrap.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration in force.
    pub fn source(&self) -> &Configuration {
        &self.source
    }

    /// Takes the first configuration of a deployment; later ones are refused
    /// as a patch for version 0 would be.
    pub fn bootstrap(&mut self, stamp_ms: u64, command: &BootstrapCommand) -> PatchOutcome {
        if self.version != 0 {
            return outcome(Outcome::Mismatch(self.mismatch(0)));
        }
        let change = VersionChange {
            version: FIRST_VERSION,
            author: command.author.clone(),
            stamp_ms,
            patch_id: String::new(),
            paths: Vec::new(),
        };
        outcome(match self.changed(&command.configuration_json) {
            Ok((document, source)) => self.accept(change, &document, source),
            Err(report) => Outcome::Invalid(invalid(report)),
        })
    }

    /// Applies a patch, or gives the first outcome of its id again.
    pub fn patch(&mut self, stamp_ms: u64, command: &PatchCommand) -> PatchOutcome {
        let id_length = command.patch_id.len();
        if !(1..=MAX_PATCH_ID_BYTES).contains(&id_length) {
            let problem = ConfigurationProblem::OutOfBounds(id_length as u64);
            let report = report("patch_id", problem, "use 1 to 128 bytes");
            return outcome(Outcome::Invalid(invalid(report)));
        }
        let digest = patch_digest(command);
        if let Some(memory) = self.window.get(&command.author, &command.patch_id) {
            if memory.digest != digest {
                let patch_id = command.patch_id.clone();
                return outcome(Outcome::IdConflict(PatchIdConflict { patch_id }));
            }
            return memory.outcome.clone().unwrap_or_default();
        }
        let first = outcome(self.first_outcome(stamp_ms, command));
        self.window
            .remember(&command.author, &command.patch_id, digest, &first);
        first
    }

    /// Whether a patch's outcome is remembered already.
    pub fn remembers(&self, command: &PatchCommand) -> bool {
        let memory = self.window.get(&command.author, &command.patch_id);
        memory.is_some()
    }

    fn first_outcome(&mut self, stamp_ms: u64, command: &PatchCommand) -> Outcome {
        if command.expected_version != self.version {
            return Outcome::Mismatch(self.mismatch(command.expected_version));
        }
        let changed = match &command.change {
            Some(Change::MergeJson(json)) => self.changed(json),
            Some(Change::RollbackTo(version)) => self.rolled_back(*version),
            None => Err(report(
                "change",
                ConfigurationProblem::Empty,
                "send a merge patch",
            )),
        };
        let change = VersionChange {
            version: self.version + 1,
            author: command.author.clone(),
            stamp_ms,
            patch_id: command.patch_id.clone(),
            paths: Vec::new(),
        };
        match changed {
            Ok((document, source)) => self.accept(change, &document, source),
            Err(report) => Outcome::Invalid(invalid(report)),
        }
    }

    /// The configuration that a merge patch makes.
    fn changed(&self, json: &[u8]) -> Result<(Value, Configuration)> {
        let patch = configuration_document::patch_of(json)?;
        let mut document = configuration_document::document_of(&self.source)?;
        json_patch::merge(&mut document, &patch);
        resolved(&document)
    }

    /// The configuration as it was at `version`.
    fn rolled_back(&self, version: u64) -> Result<(Value, Configuration)> {
        let mut document = configuration_document::document_of(&self.source)?;
        if !self.history.reaches(version) || version >= self.version {
            let problem = ConfigurationProblem::OutOfBounds(version);
            let remedy = "choose an earlier version that GET /v1/config/history reaches";
            return Err(report("rollback_to", problem, remedy));
        }
        for record in self.history.newest_first() {
            if record.change.as_ref().map_or(0, |change| change.version) <= version {
                break;
            }
            let undo = configuration_document::patch_of(&record.undo_json)?;
            json_patch::merge(&mut document, &undo);
        }
        resolved(&document)
    }

    /// Checks the whole configuration, then makes it the next version.
    fn accept(
        &mut self,
        mut change: VersionChange,
        document: &Value,
        source: Configuration,
    ) -> Outcome {
        let version = change.version;
        let built = ConfigurationSnapshot::build(version, source);
        let old = configuration_document::document_of(&self.source);
        let (snapshot, old) = match (built, old) {
            (Ok(snapshot), Ok(old)) => (snapshot, old),
            (Err(report), _) | (_, Err(report)) => return Outcome::Invalid(invalid(report)),
        };
        let patch = configuration_document::difference(&old, document);
        let undo = configuration_document::difference(document, &old);
        change.paths = configuration_document::paths_of(&patch);
        self.history.push(HistoryRecord {
            change: Some(change),
            merge_json: patch.to_string().into(),
            undo_json: undo.to_string().into(),
        });
        self.version = version;
        self.source = snapshot.source;
        Outcome::Accepted(PatchAccepted { version })
    }

    fn mismatch(&self, expected_version: u64) -> VersionMismatch {
        VersionMismatch {
            expected_version,
            current_version: self.version,
            changes: self.history.changes_after(expected_version),
            complete: self.history.reaches(expected_version),
        }
    }

    /// Changes after version `after`.
    pub fn history(&self, after: u64, limit: usize) -> HistoryReply {
        let mut changes = self.history.changes_after(after);
        changes.truncate(limit);
        HistoryReply {
            current_version: self.version,
            oldest_version: self.history.oldest_version().unwrap_or(self.version),
            changes,
        }
    }

    /// The register as a message.
    pub fn snapshot(&self) -> ConfigurationRegisterSnapshot {
        ConfigurationRegisterSnapshot {
            version: self.version,
            configuration: Some(self.source.clone()),
            history: self.history.records(),
            memories: self.window.memories(),
        }
    }

    /// The register that a snapshot was taken of.
    pub fn restore(snapshot: ConfigurationRegisterSnapshot) -> Self {
        Self {
            version: snapshot.version,
            source: snapshot.configuration.unwrap_or_default(),
            history: ConfigurationHistory::restore(snapshot.history),
            window: PatchWindow::restore(snapshot.memories),
        }
    }
}

/// Reads a merged document back, in its canonical form.
fn resolved(document: &Value) -> Result<(Value, Configuration)> {
    let source = configuration_document::configuration_of(document)?;
    Ok((configuration_document::document_of(&source)?, source))
}

/// SHA-256 of what a patch asks for.
fn patch_digest(command: &PatchCommand) -> Bytes {
    Bytes::from_owner(Sha256::digest(command.encode_to_vec()))
}

fn report(path: &str, problem: ConfigurationProblem, remedy: &str) -> ConfigurationReport {
    ConfigurationReport {
        errors: vec![ConfigurationError {
            path: path.into(),
            problem,
            remedy: remedy.into(),
        }],
    }
}

fn invalid(report: ConfigurationReport) -> InvalidConfiguration {
    let more = report.errors.len().saturating_sub(MAX_FAULTS);
    let faults = report.errors.into_iter().take(MAX_FAULTS);
    let mut errors: Vec<ConfigurationFault> = faults.map(fault).collect();
    if more > 0 {
        errors.push(ConfigurationFault {
            path: "configuration".into(),
            problem: format!("{more} more errors"),
            remedy: "mend these first".into(),
        });
    }
    InvalidConfiguration { errors }
}

fn fault(error: ConfigurationError) -> ConfigurationFault {
    ConfigurationFault {
        path: error.path,
        problem: error.problem.to_string(),
        remedy: error.remedy,
    }
}

fn outcome(outcome: Outcome) -> PatchOutcome {
    PatchOutcome {
        outcome: Some(outcome),
    }
}

#[cfg(test)]
#[path = "configuration_register_tests.rs"]
mod tests;
