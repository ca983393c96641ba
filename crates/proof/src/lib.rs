//! Proof that the promises hold: one checker over recorded histories, used by
//! every fault test and by the long runs. See docs/design/proof.md.

mod daemon_process;
mod entry_fleet;
mod fault_script;
mod fleet_watch;
mod gateway_fleet;
mod guarantee_checker;
mod guarantee_violation;
mod history_book;
mod history_event;
mod load_caller;
mod prompt_soak;
mod proof_report;
mod proof_run;
mod replacement_soak;
mod retry_soak;
mod run_address;
mod signalled_process;
mod silence_soak;
mod unruly_clients;

pub use daemon_process::{DaemonAddresses, DaemonProcess, ProcessError};
pub use entry_fleet::EntryFleet;
pub use fault_script::{FaultScript, FaultStep, TimedStep};
pub use guarantee_checker::GuaranteeChecker;
pub use guarantee_violation::GuaranteeViolation;
pub use history_book::HistoryBook;
pub use history_event::{EndpointName, EntryName, HistoryEvent, HistoryRecord, RequestMark};
pub use load_caller::{CallOutcome, LoadCaller, LoadRequest, mark_in};
pub use prompt_soak::{PromptPlan, PromptReport, run_prompts};
pub use proof_report::ProofReport;
pub use proof_run::{ProofError, ProofPlan, run_proof};
pub use replacement_soak::{ReplacementPlan, ReplacementReport, run_replacements};
pub use retry_soak::{
    ArrivalLog, BudgetLimits, BudgetUse, PoolArrivals, RetryPlan, RetryPlay, RetryReport,
    run_retries,
};
pub use signalled_process::SignalledProcess;
pub use silence_soak::{
    SilencePlan, SilencePlay, SilenceReport, StreamCounts, StreamEnd, StreamExcuse, StreamOutcome,
    run_silences,
};
pub use unruly_clients::{
    ClientCrowd, CrowdKind, CrowdPlan, CrowdReport, CrowdRequest, CrowdSoakPlan, CrowdSoakReport,
    CrowdStanding, CrowdTarget, ProcessUsage, run_crowd, run_crowd_soak,
};
