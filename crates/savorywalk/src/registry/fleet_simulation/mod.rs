//! Control and all who follow it at the size of hundreds of VMs, in virtual time.
//!
//! The machines are the product's own: table of endpoints, outbox, followers, state
//! and pace of an entry. The replicated log is one list that a majority can append to,
//! since its own simulation plays what becomes of it under faults
//! (`consensus/simulation`). Links take a fixed time, lose nothing unless they are cut,
//! and are cut one way at a time. See docs/design/platform.md.

mod fleet_check;
mod fleet_plan;
mod resent_request;
mod simulated_fleet;
mod simulated_registry;
mod size_tests;
mod table_tests;

use fleet_check::FleetCheck;
use fleet_plan::{FleetPlan, PlannedFault};
use simulated_fleet::SimulatedFleet;
use simulated_registry::{HeldCall, SimulatedRegistry};
