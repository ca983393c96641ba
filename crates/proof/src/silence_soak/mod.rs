//! Plays of gateways and registries as processes before engines that fall silent and go on, because a
//! silent engine is no lost one, and no test within one process shows what its callers get. See
//! docs/design/proof.md.

mod endpoint_switch;
mod endpoint_timeline;
mod gateway_timeline;
mod silence_play;
mod silence_report;
mod silence_run;
mod silence_step;
mod silent_endpoint;
mod stream_callers;
mod stream_check;
mod stream_outcome;

pub use silence_play::SilencePlay;
pub use silence_report::{SilenceReport, StreamCounts};
pub use silence_run::{SilencePlan, run_silences};
pub use stream_outcome::{StreamEnd, StreamExcuse, StreamOutcome};

use crate::gateway_fleet::Result;
