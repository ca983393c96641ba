//! What a daemon tells its operators: log lines and metrics.
//! See docs/operators/monitoring.md.

mod attempt_metrics;
mod log_event;
mod metric_set;
mod time_text;

pub use attempt_metrics::AttemptMetrics;
pub use log_event::{LogValue, init_logging};
pub use metric_set::{MetricError, MetricSet, RequestOutcome, StageLabels};
pub use time_text::time_text;

/// Result of this module's fallible calls.
pub type Result<T> = std::result::Result<T, MetricError>;
