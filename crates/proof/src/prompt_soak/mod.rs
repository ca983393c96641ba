//! Soak of gateways and registries as processes, before engines that crash under one part of
//! prompts, because such a part must stay found while processes come and go. See
//! docs/design/proof.md.

mod prompt_engine;
mod prompt_report;
mod soak_callers;
mod soak_run;

pub use prompt_report::PromptReport;
pub use soak_run::{PromptPlan, run_prompts};

use crate::gateway_fleet::Result;
