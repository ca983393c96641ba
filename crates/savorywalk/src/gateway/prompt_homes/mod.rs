//! Which engines keep a shared part of prompts, so that few engines read it. See
//! docs/design/prompt-homes.md.

mod home_choice;
#[cfg(test)]
mod home_load_tests;
mod home_table;
mod read_reason;

pub(super) use home_choice::{EngineOption, HomeChoice, PromptBeginning};
pub(super) use home_table::{HomeState, HomeTable};
pub use read_reason::{PlacementCounts, ReadReason};
