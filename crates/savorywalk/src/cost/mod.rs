//! Cost by stage: endpoint time, tokens and waste for each workspace,
//! pipeline and stage. See docs/design/cost.md.

mod cost_ledger;

pub use cost_ledger::{CostEntry, CostKey, CostLedger, CostLine};
