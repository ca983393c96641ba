//! Cost by stage: endpoint time, tokens and waste for each workspace,
//! pipeline and stage. See docs/design/cost.md.

mod cost_entry;
mod cost_ledger;
mod waste_reason;

pub use cost_entry::{CostEntry, WasteSeconds};
pub use cost_ledger::{CostKey, CostLedger, CostLine, OTHER_WORKSPACES};
pub use waste_reason::WasteReason;
