//! What a daemon tells its operators: log lines and metrics.
//! See docs/operators/monitoring.md.

mod attempt_metrics;
mod fault_counter;
mod log_event;
mod log_pipe;
mod metric_set;
mod request_timeline;
mod time_text;

pub use attempt_metrics::AttemptMetrics;
pub(crate) use fault_counter::FaultCounter;
pub use log_event::{LogValue, init_daemon_logging, init_logging};
pub use log_pipe::finish_logging;
pub use metric_set::{MetricError, MetricSet, RequestOutcome, StageLabels};
pub use request_timeline::{REQUEST_EVENTS, RequestTimeline, TimelineEntry, event_meaning};
pub use time_text::time_text;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, MetricError>;
