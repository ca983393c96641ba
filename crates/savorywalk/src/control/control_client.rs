use super::{
    ClusterControl, ConfigurationQuery, ControlAnswer, ControlBody, ControlError, ControlQuestion,
    ControlStatus, ControlVerdict, HistoryReply, LocalControl, PatchCommand, PatchVerdict,
    RangeQuery, Result, StatusQuery,
};
use crate::audit::AuditReply;
use crate::configuration::ConfigurationSnapshot;
use crate::prelude::*;

/// Client of control: proposes commands and reads the decided state.
#[derive(Clone, Debug)]
pub enum ControlClient {
    /// Control runs in this process alone, and its state is not persisted.
    Sole(Arc<LocalControl>),
    /// Control is a replicated log; its voters are called over the links.
    Remote(Arc<ClusterControl>),
}

impl ControlClient {
    /// A client with its own control in this process, which starts with `configuration`.
    pub fn local(configuration: &ConfigurationSnapshot) -> Self {
        Self::Sole(Arc::new(LocalControl::new(configuration)))
    }

    /// How decisions are stored, as shown to operators.
    pub fn mode(&self) -> &'static str {
        match self {
            Self::Sole(_) => "sole, persisted nowhere",
            Self::Remote(_) => "replicated",
        }
    }

    /// Proposes a command and returns its final verdict.
    pub async fn propose(&self, body: ControlBody) -> Result<ControlVerdict> {
        match self {
            Self::Sole(control) => control.propose(body),
            Self::Remote(control) => control.propose(body).await,
        }
    }

    /// Reads a part of the decided state.
    pub async fn query(&self, question: ControlQuestion) -> Result<ControlAnswer> {
        match self {
            Self::Sole(control) => control.query(question),
            Self::Remote(control) => control.query(question).await,
        }
    }

    /// Proposes a patch of the configuration.
    pub async fn patch(&self, command: PatchCommand) -> Result<PatchVerdict> {
        let verdict = self.propose(ControlBody::Patch(command)).await?;
        let ControlVerdict::Patch(outcome) = verdict else {
            return Err(unexpected(&verdict));
        };
        let verdict = outcome.outcome;
        verdict.ok_or_else(|| ControlError::UnexpectedAnswer("a patch without outcome".into()))
    }

    /// The configuration, or `None` if it is not newer than `known_version`.
    pub async fn configuration(&self, known_version: u64) -> Result<Option<ConfigurationSnapshot>> {
        let question = ControlQuestion::Configuration(ConfigurationQuery { known_version });
        let answer = self.query(question).await?;
        let ControlAnswer::Configuration(reply) = answer else {
            return Err(unexpected(&answer));
        };
        let Some(source) = reply.configuration else {
            return Ok(None);
        };
        Ok(Some(ConfigurationSnapshot::build(reply.version, source)?))
    }

    /// The changes of the configuration after a version, up to a limit.
    pub async fn history(&self, range: RangeQuery) -> Result<HistoryReply> {
        let answer = self.query(ControlQuestion::History(range)).await?;
        let ControlAnswer::History(reply) = answer else {
            return Err(unexpected(&answer));
        };
        Ok(reply)
    }

    /// The records of the audit trail after a sequence number, up to a limit.
    pub async fn audit(&self, range: RangeQuery) -> Result<AuditReply> {
        let answer = self.query(ControlQuestion::Audit(range)).await?;
        let ControlAnswer::Audit(reply) = answer else {
            return Err(unexpected(&answer));
        };
        Ok(reply)
    }

    /// Sizes and versions of the decided state, and the evacuated data centres.
    pub async fn status(&self) -> Result<ControlStatus> {
        let question = ControlQuestion::Status(StatusQuery {});
        let answer = self.query(question).await?;
        let ControlAnswer::Status(status) = answer else {
            return Err(unexpected(&answer));
        };
        Ok(status)
    }
}

/// The error for an answer whose kind doesn't fit the call.
pub(crate) fn unexpected(answer: &impl fmt::Debug) -> ControlError {
    ControlError::UnexpectedAnswer(format!("{answer:?}"))
}
