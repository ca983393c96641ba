//! Data centres whose endpoints get no new work, by an operator's order. See
//! docs/design/evacuations.md.

mod evacuation_register;
mod evacuation_view;

pub use crate::generated::evacuation::{
    EvacuationCommand, EvacuationOutcome, EvacuationRecord, EvacuationSnapshot,
};
pub use evacuation_register::EvacuationRegister;
pub use evacuation_view::EvacuationView;
