//! Proof that the promises hold: one checker over recorded histories, used by
//! every fault test and by the long runs. See docs/design/proof.md.

mod daemon_process;
mod entry_fleet;
mod fault_script;
mod fleet_watch;
mod history_book;
mod history_event;
mod load_caller;
mod promise_breach;
mod promise_checker;
mod proof_report;
mod proof_run;

pub use daemon_process::{DaemonAddresses, DaemonProcess, ProcessError};
pub use entry_fleet::EntryFleet;
pub use fault_script::{FaultScript, FaultStep, TimedStep};
pub use history_book::HistoryBook;
pub use history_event::{EndpointName, EntryName, HistoryEvent, HistoryRecord, RequestMark};
pub use load_caller::{CallOutcome, LoadCaller, LoadRequest, mark_in};
pub use promise_breach::PromiseBreach;
pub use promise_checker::PromiseChecker;
pub use proof_report::ProofReport;
pub use proof_run::{ProofError, ProofPlan, run_proof};
