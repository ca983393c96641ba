//! Plays of gateways and registries as processes that count what reaches endpoints beyond the first
//! send of each request, because no daemon can tell what all of them send together. See
//! docs/design/proof.md.

mod arrival_log;
mod budget_use;
mod counted_endpoint;
mod retry_callers;
mod retry_play;
mod retry_report;
mod retry_run;

pub use arrival_log::{ArrivalLog, PoolArrivals};
pub use budget_use::{BudgetLimits, BudgetUse};
pub use retry_play::RetryPlay;
pub use retry_report::RetryReport;
pub use retry_run::{RetryPlan, run_retries};

use crate::gateway_fleet::Result;
