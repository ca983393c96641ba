//! Attempts, each of which is one call to one endpoint for one stage, with
//! their retries, hedges and resumed streams.
//!
//! This module implements the endpoints' published formats and checks that an
//! answer is complete and belongs to its attempt. See docs/design/attempts.md.

mod attempt_error;
mod attempt_id;
mod attempt_ledger;
mod attempt_track;
mod budget_table;
mod completion_stream;
mod connection_pool;
mod endpoint_client;
mod idle_connections;
mod latency_sketch;
mod open_streams;
mod pool_budgets;
mod pooled_connection;
mod progress_limits;
mod progress_table;
mod retry_budget;
mod stage_action;
mod stage_call;
mod stage_dispatcher;
mod stage_event;
mod stage_formats;
mod stage_machine;
mod stage_outcome;
mod stage_request;
mod stage_run;
mod waste_tally;

pub use attempt_error::AttemptError;
pub use attempt_id::{AttemptId, RequestId};
pub use budget_table::BudgetTable;
pub use endpoint_client::{ATTEMPT_HEADER, DEADLINE_HEADER, EndpointClient, STREAM_HEADER};
pub use pool_budgets::PoolBudgets;
pub use progress_limits::ProgressLimits;
pub use progress_table::{ProgressKey, ProgressTable};
pub use retry_budget::RetryBudget;
pub use stage_action::{LaunchKind, ResumePoint, StageAction, StageEnd};
pub use stage_call::{StageCall, StageReply, StageState, TokenSink};
pub use stage_dispatcher::StageDispatcher;
pub use stage_event::{AttemptEvent, StageEvent, TokenEvent};
pub use stage_machine::{StageCounts, StageMachine, StageRules};
pub use stage_outcome::{StageFailure, StageOutcome};
pub use stage_request::StageRequest;
pub use waste_tally::WasteTally;

/// Result of one attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;
