//! A pipeline run carries one request through its stages under one deadline.
//! See docs/design/request-path.md.

mod pipeline_answer;
mod pipeline_error;
mod pipeline_request;
mod pipeline_runner;
mod run_account;
mod run_failure;
mod run_progress;

pub use pipeline_answer::{PipelineAnswer, StageReport};
pub use pipeline_error::PipelineError;
pub use pipeline_request::{PipelineInput, PipelineRequest};
pub use pipeline_runner::PipelineRunner;
pub use run_account::RunAccount;

/// Result of a pipeline run.
pub type Result<T> = std::result::Result<T, PipelineError>;
