//! Soak of gateways and registries as processes, before engines that crash under one part of
//! prompts, because such a part must stay found while processes come and go. See
//! docs/design/proof.md.

mod gateway_fleet;
mod http_call;
mod prompt_engine;
mod prompt_report;
mod soak_callers;
mod soak_run;

pub use prompt_report::PromptReport;
pub use soak_run::{PromptPlan, run_prompts};

use crate::ProcessError;

/// The result of a step of the soak.
type Result<T, E = ProcessError> = std::result::Result<T, E>;
