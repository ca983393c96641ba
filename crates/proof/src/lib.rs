//! Proof that the promises hold: one checker over recorded histories, used by
//! every fault test and by the long runs. See docs/design/proof.md.

mod history_event;
mod promise_breach;
mod promise_checker;

pub use history_event::{EndpointName, EntryName, HistoryEvent, HistoryRecord, RequestMark};
pub use promise_breach::PromiseBreach;
pub use promise_checker::PromiseChecker;
