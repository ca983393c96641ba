//! Queueing divides each pool between workspaces by weight, so that no
//! workspace starves the others. See docs/design/fair-queueing.md.

mod adaptive_limit;
mod fair_queue;
mod flow_table;
mod pool_capacity;
mod pool_limit;
mod pool_queue;
mod pool_schedule;
mod queue_item;
mod queue_refusal;
mod queue_status;
mod queue_table;
mod queue_wait;
mod rate_meter;
mod stage_permit;
mod usage_meter;
mod usage_report;
mod virtual_time;
mod workspace_flow;

pub use adaptive_limit::AdaptiveLimit;
pub use fair_queue::{FairQueue, NextStage};
pub use flow_table::FlowIndex;
pub use pool_capacity::PoolCapacity;
pub use pool_limit::PoolLimit;
pub use pool_queue::PoolQueue;
pub(crate) use pool_queue::monotonic_now;
pub use pool_schedule::PoolSchedule;
pub use queue_item::{ItemOrder, QueueItem, QueueTicket};
pub use queue_refusal::QueueRefusal;
pub use queue_status::QueueStatus;
pub use queue_table::QueueTable;
pub use queue_wait::QueueWait;
pub use stage_permit::StagePermit;
pub use usage_report::UsageReport;
pub use virtual_time::VirtualTime;

/// Result of an attempt to queue a stage, or of its wait for a permit.
pub type Result<T> = std::result::Result<T, QueueRefusal>;
