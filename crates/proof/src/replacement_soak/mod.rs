//! Plays of gateways and registries as processes, in which control VMs are replaced by others with
//! empty disks while endpoints answer without end, because both can take a whole deployment down. See
//! docs/design/proof.md.

mod answer_kind;
mod replacement_callers;
mod replacement_report;
mod replacement_run;
mod replacement_step;
mod troubled_endpoint;

pub(crate) use replacement_callers::{CallKind, ReplacementCallers};
pub use replacement_report::ReplacementReport;
pub(crate) use replacement_run::document;
pub use replacement_run::{ReplacementPlan, run_replacements};
pub(crate) use troubled_endpoint::{POOL, TroubledEndpoints};

use crate::gateway_fleet::Result;
