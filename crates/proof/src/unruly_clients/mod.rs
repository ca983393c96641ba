//! Crowds of clients that keep to no limits, because what such clients take has to be bounded in sum
//! over all of them, on every port that others reach. See docs/design/intake-limits.md.

mod client_crowd;
mod crowd_kind;
mod crowd_run;
mod crowd_soak;
mod crowd_soak_report;
mod crowd_step;
mod http2_client;
mod process_usage;

pub use client_crowd::{ClientCrowd, CrowdRequest};
pub use crowd_kind::CrowdKind;
pub use crowd_run::{CrowdPlan, CrowdReport, CrowdStanding, CrowdTarget, run_crowd};
pub use crowd_soak::{CrowdSoakPlan, run_crowd_soak};
pub use crowd_soak_report::CrowdSoakReport;
pub use process_usage::ProcessUsage;

use crate::gateway_fleet::Result;
