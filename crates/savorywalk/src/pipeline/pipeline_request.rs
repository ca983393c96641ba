use crate::admission::{RequestDeadline, RequestPhase};
use crate::attempt::{RequestId, TokenSink};
use crate::configuration::{PipelinePlan, WorkspacePlan};
use crate::http_bodies::BodyHold;
use crate::prelude::*;

/// Body of `POST /v1/pipelines/{pipeline}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineInput {
    /// The caller's text.
    pub input: String,
    /// Documents that the caller brings along.
    #[serde(default)]
    pub documents: Vec<String>,
}

/// One request, authenticated and parsed, before it runs.
#[derive(Debug)]
pub struct PipelineRequest {
    /// Its identity.
    pub id: RequestId,
    /// Workspace that pays.
    pub workspace: Arc<WorkspacePlan>,
    /// The pipeline, as it was when the request arrived.
    pub pipeline: Arc<PipelinePlan>,
    /// Version of the configuration under which it runs to its end.
    pub configuration_version: u64,
    /// The caller's input.
    pub input: PipelineInput,
    /// When it must be answered.
    pub deadline: RequestDeadline,
    /// Rank among the workspace's own requests, higher first.
    pub priority: u8,
    /// False when the caller marked the whole request as non-idempotent.
    pub idempotent: bool,
    /// Where generated text goes as it arrives.
    pub sink: Option<TokenSink>,
    /// Memory of the input, parsed and in calls to endpoints.
    pub(crate) hold: BodyHold,
    /// Whether any endpoint may have seen a part of it.
    pub phase: RequestPhase,
}
