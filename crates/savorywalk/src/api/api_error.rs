use hyper::StatusCode;
use serde_json::{Value, json};

use crate::claims::ClaimError;
use crate::configuration::ConfigurationReport;
use crate::control::{ControlError, InvalidConfiguration, VersionMismatch};
use crate::directory::AnnouncementError;
use crate::http_bodies::MemoryFull;
use crate::pipeline::PipelineError;
use crate::prelude::*;

/// Why a call was not answered with success; each kind has one status and a
/// message that names the remedy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ApiError {
    /// The request itself is wrong.
    #[error("{0}")]
    InvalidRequest(String),
    /// No token came, or it is not good for this call.
    #[error(
        "the token is missing or not known here; send `Authorization: Bearer TOKEN` with a token of the right kind"
    )]
    Unauthorized,
    /// The workspace may not call this pipeline.
    #[error(
        "workspace {workspace:?} may not call pipeline {pipeline:?}; ask an operator to add it to the workspace's pipelines"
    )]
    Forbidden {
        /// The workspace.
        workspace: String,
        /// The pipeline.
        pipeline: String,
    },
    /// No such path or thing.
    #[error("{0}")]
    NotFound(String),
    /// The path has no such method.
    #[error("this path does not take that method; use {0}")]
    MethodNotAllowed(&'static str),
    /// The body is over the limit.
    #[error("the body is over {limit} bytes; send a shorter one or raise max_body_bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: u32,
    },
    /// The request would take more memory than any one may.
    #[error(
        "the request would take {bytes} bytes with its values, and one may take {most}; send a shorter one or raise request_bytes of [limits]"
    )]
    RequestTooLarge {
        /// What it would take, in bytes.
        bytes: usize,
        /// What one may take, in bytes.
        most: usize,
    },
    /// The body did not come in time.
    #[error(
        "the body did not come within {} ms; send it faster or raise body_timeout_ms",
        timeout.as_millis()
    )]
    BodyTimeout {
        /// The time it had.
        timeout: Duration,
    },
    /// The head is over the limit.
    #[error("the head is over {limit} bytes; send fewer headers or raise max_header_bytes")]
    HeaderTooLarge {
        /// The limit, in bytes.
        limit: u32,
    },
    /// The listener has as many connections as it may.
    #[error("the listener has {limit} connections already; send it again in a second")]
    TooManyConnections {
        /// The limit.
        limit: u32,
    },
    /// The body does not fit beside those of other requests.
    #[error("the daemon holds too many bytes of other requests; send it again in a second")]
    MemoryFull,
    /// A configuration was found wrong.
    #[error(transparent)]
    BadConfiguration(#[from] ConfigurationReport),
    /// An announcement was found wrong.
    #[error(transparent)]
    BadAnnouncement(#[from] AnnouncementError),
    /// A pipeline gave no answer.
    #[error(transparent)]
    Pipeline(#[from] PipelineError),
    /// A claimed request has no answer of its own.
    #[error(transparent)]
    Claim(#[from] ClaimError),
    /// A change doesn't name the version that it is for.
    #[error(
        "the version is missing; send `If-Match: \"N\"` with the version that GET /v1/config gave"
    )]
    VersionRequired,
    /// A change is for another version than the current one.
    #[error(
        "the change is for version {}, the current one is {}; read what changed, then send it for {} under a new patch id",
        .0.expected_version, .0.current_version, .0.current_version
    )]
    VersionMismatch(VersionMismatch),
    /// A change would make a wrong configuration.
    #[error("the change has {} error(s); mend them all: {}", .0.errors.len(), fault_texts(.0))]
    InvalidChange(InvalidConfiguration),
    /// The patch id was used for another change.
    #[error("patch id {0:?} was used for another change; send a new one")]
    PatchIdConflict(String),
    /// Control can't decide or be read now.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// This daemon can't do it now.
    #[error("{0}")]
    Unavailable(String),
}

fn fault_texts(invalid: &InvalidConfiguration) -> String {
    let texts = invalid.errors.iter();
    let texts = texts.map(|it| format!("{}: {}; {}", it.path, it.problem, it.remedy));
    texts.collect::<Vec<_>>().join("; ")
}

/// The JSON form of an error.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ErrorDocument {
    pub error: ErrorBody,
}

/// What an error document says.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ErrorBody {
    pub kind: String,
    pub message: String,
    pub request_id: String,
    /// What a program needs to act on the error, where there is more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub details: Option<Value>,
    /// Stages that had completed, when a non-idempotent one is among them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub completed_stages: Vec<String>,
}

impl From<MemoryFull> for ApiError {
    fn from(full: MemoryFull) -> Self {
        let MemoryFull { bytes, most, .. } = full;
        match full.is_permanent() {
            true => Self::RequestTooLarge { bytes, most },
            false => Self::MemoryFull,
        }
    }
}

impl ApiError {
    /// The kind that callers match on.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::InvalidRequest(_) | Self::BadAnnouncement(_) => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden { .. } => "forbidden",
            Self::NotFound(_) => "not_found",
            Self::MethodNotAllowed(_) => "method_not_allowed",
            Self::BodyTooLarge { .. } | Self::RequestTooLarge { .. } => "body_too_large",
            Self::BodyTimeout { .. } => "body_timeout",
            Self::HeaderTooLarge { .. } => "header_too_large",
            Self::TooManyConnections { .. } => "too_many_connections",
            Self::MemoryFull => "memory_full",
            Self::BadConfiguration(_) => "invalid_configuration",
            Self::Pipeline(error) => error.kind(),
            Self::Claim(error) => claim_kind(error),
            Self::VersionRequired => "version_required",
            Self::VersionMismatch(_) => "version_mismatch",
            Self::InvalidChange(_) => "invalid_configuration",
            Self::PatchIdConflict(_) => "patch_id_conflict",
            Self::Control(_) | Self::Unavailable(_) => "unavailable",
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::InvalidRequest(_) | Self::BadAnnouncement(_) => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden { .. } => StatusCode::FORBIDDEN,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge { .. } | Self::RequestTooLarge { .. } => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            Self::BodyTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::HeaderTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BadConfiguration(_) | Self::InvalidChange(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TooManyConnections { .. }
            | Self::MemoryFull
            | Self::Control(_)
            | Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Claim(error) => claim_status(error),
            Self::VersionRequired => StatusCode::PRECONDITION_REQUIRED,
            Self::VersionMismatch(_) => StatusCode::PRECONDITION_FAILED,
            Self::PatchIdConflict(_) => StatusCode::CONFLICT,
            Self::Pipeline(error) => pipeline_status(error),
        }
    }

    /// When it is worth to ask again, for refusals that pass.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Pipeline(PipelineError::NotRun(refusal)) => Some(refusal.retry_after),
            Self::TooManyConnections { .. }
            | Self::MemoryFull
            | Self::Control(_)
            | Self::Unavailable(_) => Some(Duration::from_secs(1)),
            Self::Pipeline(_)
            | Self::Claim(_)
            | Self::VersionRequired
            | Self::VersionMismatch(_)
            | Self::InvalidChange(_)
            | Self::PatchIdConflict(_)
            | Self::InvalidRequest(_)
            | Self::Unauthorized
            | Self::Forbidden { .. }
            | Self::NotFound(_)
            | Self::MethodNotAllowed(_)
            | Self::BodyTooLarge { .. }
            | Self::RequestTooLarge { .. }
            | Self::BodyTimeout { .. }
            | Self::HeaderTooLarge { .. }
            | Self::BadConfiguration(_)
            | Self::BadAnnouncement(_) => None,
        }
    }

    fn completed_stages(&self) -> &[String] {
        if let Self::Pipeline(error) = self {
            return error.completed_stages();
        }
        &[]
    }

    /// The JSON form.
    pub(super) fn document(&self, request_id: &str) -> ErrorDocument {
        ErrorDocument {
            error: ErrorBody {
                kind: self.kind().to_string(),
                message: self.to_string(),
                request_id: request_id.to_string(),
                details: self.details(),
                completed_stages: self.completed_stages().to_vec(),
            },
        }
    }

    fn details(&self) -> Option<Value> {
        match self {
            Self::VersionMismatch(mismatch) => serde_json::to_value(mismatch).ok(),
            Self::InvalidChange(invalid) => {
                let errors = serde_json::to_value(&invalid.errors).ok()?;
                Some(json!({ "errors": errors }))
            }
            Self::InvalidRequest(_)
            | Self::Unauthorized
            | Self::Forbidden { .. }
            | Self::NotFound(_)
            | Self::MethodNotAllowed(_)
            | Self::BodyTooLarge { .. }
            | Self::RequestTooLarge { .. }
            | Self::BodyTimeout { .. }
            | Self::HeaderTooLarge { .. }
            | Self::TooManyConnections { .. }
            | Self::MemoryFull
            | Self::BadConfiguration(_)
            | Self::BadAnnouncement(_)
            | Self::Pipeline(_)
            | Self::Claim(_)
            | Self::VersionRequired
            | Self::PatchIdConflict(_)
            | Self::Control(_)
            | Self::Unavailable(_) => None,
        }
    }
}

fn claim_kind(error: &ClaimError) -> &'static str {
    match error {
        ClaimError::Conflict => "idempotency_conflict",
        ClaimError::StillRunning => "deadline_exceeded",
        ClaimError::OutcomeUnknown { .. } | ClaimError::Interrupted => "outcome_unknown",
        ClaimError::AnswerDropped => "answer_dropped",
    }
}

fn claim_status(error: &ClaimError) -> StatusCode {
    match error {
        ClaimError::Conflict => StatusCode::CONFLICT,
        ClaimError::StillRunning => StatusCode::GATEWAY_TIMEOUT,
        ClaimError::OutcomeUnknown { .. } | ClaimError::Interrupted => StatusCode::BAD_GATEWAY,
        ClaimError::AnswerDropped => StatusCode::GONE,
    }
}

fn pipeline_status(error: &PipelineError) -> StatusCode {
    match error {
        PipelineError::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        PipelineError::DeadlineExceeded { .. } => StatusCode::GATEWAY_TIMEOUT,
        PipelineError::OutcomeUnknown { .. }
        | PipelineError::StageFailed { .. }
        | PipelineError::NoEndpoint { .. } => StatusCode::BAD_GATEWAY,
    }
}
