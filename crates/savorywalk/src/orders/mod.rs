//! Orders to endpoints: which model, adapter, version and role each shall have.
//! See docs/design/orders.md.

mod order_book;

pub use crate::generated::control::order_action::Action as OrderKind;
pub use crate::generated::control::order_command::Step as OrderStep;
pub use crate::generated::control::order_outcome::Outcome as OrderVerdict;
pub use crate::generated::control::{
    AdapterOrder, FencingNumber, ModelOrder, OrderAction, OrderBookSnapshot, OrderClosed,
    OrderCommand, OrderLogged, OrderOutcome, OrderResult, OutstandingOrder, RoleOrder,
};
pub use order_book::OrderBook;
