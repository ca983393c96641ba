//! Proof that the promises hold: one checker over recorded histories, used by
//! every fault test and by the long runs. See docs/design/proof.md.

mod daemon_process;
mod history_book;
mod history_event;
mod load_caller;
mod promise_breach;
mod promise_checker;

pub use daemon_process::{DaemonAddresses, DaemonProcess, ProcessError};
pub use history_book::HistoryBook;
pub use history_event::{EndpointName, EntryName, HistoryEvent, HistoryRecord, RequestMark};
pub use load_caller::{CallOutcome, LoadCaller, LoadRequest, mark_in};
pub use promise_breach::PromiseBreach;
pub use promise_checker::PromiseChecker;
