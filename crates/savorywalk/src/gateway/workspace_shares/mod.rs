//! Fair shares of the stage pools for workspaces: among plans of equal utility, the workspace
//! that has used least for its weight begins first. See docs/design/workspace-shares.md.

mod begin_order;
mod own_usage;
mod plan_work;
mod remote_usage;
mod share_forecast;
mod share_lanes;
mod share_ledger;
mod share_report;
mod share_rule;
mod waiting_plans;
mod workspace_labels;
mod workspace_queues;

use share_forecast::ShareForecast;
pub(super) use share_ledger::ShareLedger;
pub(super) use share_report::largest;
pub use share_rule::ShareRule;
pub(super) use waiting_plans::WaitingPlans;
pub(super) use workspace_labels::WorkspaceLabels;
pub(super) use workspace_queues::WorkspaceQueues;

#[cfg(test)]
mod shares_failure_tests;
#[cfg(test)]
mod shares_load_tests;
#[cfg(test)]
mod shares_simulation;
