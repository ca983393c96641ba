//! Admission decides whether a request may start, and makes the promise of
//! `not_run` a type. See docs/design/not-run.md and docs/design/estimates.md.

mod admission_mode;
mod deadline_budget;
mod estimate_table;
mod request_deadline;
mod run_forecast;
mod size_class;
mod stage_estimate;
mod unstarted_request;

pub use admission_mode::AdmissionMode;
pub use deadline_budget::{BudgetVerdict, DeadlineBudget};
pub use estimate_table::{EstimateLine, EstimateTable, ServiceSample};
pub use request_deadline::RequestDeadline;
pub use run_forecast::RunForecast;
pub use size_class::SizeClass;
pub use stage_estimate::StageEstimate;
pub use unstarted_request::{
    FirstDispatch, NothingRan, RefusalReason, RequestPhase, RunRefusal, UnstartedRequest,
};
