//! Admission decides whether a request may start. Its types ensure that only a request of which
//! nothing ran is reported as `not_run`. See docs/design/not-run.md and docs/design/estimates.md.

mod admission_control;
mod admission_mode;
mod admission_refusal;
mod deadline_budget;
mod estimate_table;
mod request_deadline;
mod run_forecast;
mod run_profile;
mod size_class;
mod stage_estimate;
mod stage_execution;
mod stage_times;
mod unstarted_request;

use crate::queueing::monotonic_now;
pub use admission_control::AdmissionControl;
pub use admission_mode::AdmissionMode;
pub use admission_refusal::AdmissionRefusal;
pub use deadline_budget::{BudgetDecision, DeadlineBudget};
pub use estimate_table::{EstimateLine, EstimateTable, ServiceSample};
pub use request_deadline::RequestDeadline;
pub use run_forecast::RunForecast;
pub use run_profile::RunProfile;
pub use size_class::SizeClass;
pub use stage_estimate::StageEstimate;
pub use stage_execution::StageExecution;
use stage_times::StageTimes;
pub use unstarted_request::{
    AttemptNotRun, FirstDispatch, RefusalReason, RequestPhase, RunRefusal, UnstartedRequest,
};
