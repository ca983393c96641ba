//! Orders to endpoints: which model, adapter, version and role each shall have.
//! See docs/design/orders.md.

mod endpoint_view;
mod load_pacer;
mod order_book;
mod order_planner;
mod planned_order;
mod pool_plan;

pub use crate::generated::control::order_action::Action as OrderKind;
pub use crate::generated::control::order_command::Step as OrderStep;
pub use crate::generated::control::order_outcome::Outcome as OrderVerdict;
pub use crate::generated::control::{
    AdapterOrder, FencingNumber, ModelOrder, OrderAction, OrderBookSnapshot, OrderClosed,
    OrderCommand, OrderLogged, OrderOutcome, OrderResult, OutstandingOrder, RoleOrder,
};
pub use endpoint_view::EndpointView;
pub use load_pacer::LoadPacer;
pub use order_book::OrderBook;
pub use order_planner::{ORDER_TIME_LIMIT, OrderPlanner, PlannerAction, PlannerEvent};
pub use planned_order::{PlannedOrder, plan_orders};
