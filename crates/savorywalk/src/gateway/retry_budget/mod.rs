//! What entries may send beyond the first send of each request, because retries of all entries
//! together must not overload a pool that fails. See docs/design/retry-budget.md.

mod budget_exchange;
#[cfg(test)]
mod budget_simulation_tests;
mod budget_times;
mod extra_ledger;
mod piece_repeats;
mod pool_budget;
mod repeat_reason;
mod retry_gate;
mod retry_limits;
mod send_token;
mod spent_window;
mod token_amount;
mod token_pot;

pub(super) use budget_exchange::run;
pub(super) use pool_budget::PoolBudget;
pub(super) use repeat_reason::RepeatReason;
pub(super) use retry_gate::RetryGate;
pub use retry_limits::RetryLimits;
pub(super) use send_token::SendToken;
pub(super) use token_amount::TokenAmount;
