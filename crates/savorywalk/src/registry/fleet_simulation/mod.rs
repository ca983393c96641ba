//! Simulation in virtual time of the control daemons and the entries that follow them, with
//! hundreds of VMs.
//!
//! The state machines are those of the product: the table of endpoints, the outbox, the list
//! of followers, and the state and timeouts of an entry. The replicated log is one list to
//! which a majority can append; its behaviour under faults has a simulation of its own
//! (`consensus/simulation`). Links have a fixed latency, lose nothing unless they are cut,
//! and are cut in one direction at a time. See docs/design/platform.md.

mod crashing_prompts;
mod fleet_check;
mod fleet_plan;
mod prompt_tests;
mod resent_request;
mod simulated_fleet;
mod simulated_registry;
mod size_tests;
mod table_tests;

use crashing_prompts::{PromptRun, SimulatedPrompt};
use fleet_check::FleetCheck;
use fleet_plan::{FleetPlan, PlannedFault};
use simulated_fleet::SimulatedFleet;
use simulated_registry::{HeldCall, SimulatedRegistry};
