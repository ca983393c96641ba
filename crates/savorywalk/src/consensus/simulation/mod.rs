//! Runs several replica cores in virtual time, with simulated disks and a lossy
//! network, and checks Raft's safety properties. See docs/design/consensus.md.

mod cluster_simulation;
mod fault_schedule;
mod history_check;
mod list_machine;
mod model_tests;
mod replacement_tests;
mod replacements;
mod schedule_tests;
mod simulated_replica;

use cluster_simulation::ClusterSimulation;
use fault_schedule::FaultSchedule;
use history_check::{HistoryCheck, Violation};
use list_machine::ListMachine;
use replacements::ReplacementTrace;
use simulated_replica::SimulatedReplica;
