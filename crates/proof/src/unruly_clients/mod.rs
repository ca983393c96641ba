//! Crowds of clients that keep to no limits, because what such clients take has to be bounded in sum
//! over all of them, on every port that others reach. See docs/design/intake-limits.md.

mod client_crowd;
mod crowd_kind;
mod crowd_run;
mod http2_client;
mod process_usage;

pub use client_crowd::{ClientCrowd, CrowdRequest};
pub use crowd_kind::CrowdKind;
pub use crowd_run::{CrowdPlan, CrowdReport, CrowdTarget, run_crowd};
pub use process_usage::ProcessUsage;

use crate::gateway_fleet::Result;
