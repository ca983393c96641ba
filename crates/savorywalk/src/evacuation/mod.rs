//! Evacuations: by an operator's order, a data centre's endpoints get no new work. See
//! docs/design/evacuations.md.

mod evacuation_register;
mod evacuation_view;

pub use crate::generated::evacuation::{
    EvacuationCommand, EvacuationOutcome, EvacuationRecord, EvacuationSnapshot,
};
pub use evacuation_register::EvacuationRegister;
pub use evacuation_view::EvacuationView;
