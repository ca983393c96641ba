//! The versioned configuration: its checks, and the immutable snapshot that
//! the request path reads. See docs/design/configuration.md.

mod bearer_token;
mod configuration_cell;
mod configuration_document;
mod configuration_error;
mod configuration_history;
mod configuration_register;
mod configuration_snapshot;
mod document_register;
mod patch_window;
pub(crate) mod stage_kind_text;

pub use crate::generated::configuration::{
    Configuration, CredentialConfiguration, LimitConfiguration, ModelConfiguration,
    PipelineConfiguration, PoolConfiguration, StageConfiguration, StageKind,
    WorkspaceConfiguration,
};
pub use bearer_token::{TokenDigest, digest_hex};
pub use configuration_cell::ConfigurationCell;
pub use configuration_error::{ConfigurationError, ConfigurationProblem, ConfigurationReport};
use configuration_history::ConfigurationHistory;
pub use configuration_register::ConfigurationRegister;
pub(crate) use configuration_snapshot::claim_retention;
pub use configuration_snapshot::{
    ConfigurationSnapshot, PipelinePlan, StagePlan, WorkspacePlan, configuration_from_json,
};
pub use document_register::DocumentRegister;
use patch_window::PatchWindow;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, ConfigurationReport>;
