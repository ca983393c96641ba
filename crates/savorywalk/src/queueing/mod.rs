//! Queueing shares each pool between workspaces by weight, so that no
//! workspace can crowd out the others. See docs/design/fair-queueing.md.

mod fair_queue;
mod flow_table;
mod queue_item;
mod queue_refusal;
mod virtual_time;
mod workspace_flow;

pub use fair_queue::{FairQueue, QueueTurn};
pub use flow_table::FlowIndex;
pub use queue_item::{ItemOrder, QueueItem, QueueTicket};
pub use queue_refusal::QueueRefusal;
pub use virtual_time::VirtualTime;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, QueueRefusal>;
