//! What entries may send beyond the first send of each request, because retries of all entries
//! together must not overload a pool that fails. See docs/design/retry-budget.md.

mod repeat_reason;

pub(super) use repeat_reason::RepeatReason;
