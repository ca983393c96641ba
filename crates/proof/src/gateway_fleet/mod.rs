//! Gateways and registries as processes, and stand-ins that speak to them, because restarts and lost
//! memory can't be shown within one process. See docs/design/proof.md.

mod endpoint_announcer;
mod endpoint_answer;
mod http_call;
mod process_fleet;

use crate::ProcessError;

pub(crate) use endpoint_announcer::announce;
pub(crate) use endpoint_answer::{endpoint_answer, piece_answer};
pub(crate) use http_call::{CallAnswer, KeptConnection, call_once, header, read_body, read_head};
pub(crate) use process_fleet::{FleetPlan, ProcessFleet, STOP_TIME_MS, wait_until};

/// The result of a step of a run.
pub(crate) type Result<T, E = ProcessError> = std::result::Result<T, E>;
