use crate::prelude::*;

/// Endpoint time per unit of weight, in nanoseconds.
///
/// Two workspaces with the same virtual time have been served in proportion to
/// their weights. Integers keep the order exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(u64);

impl VirtualTime {
    /// The virtual time after a charge of `cost` to a workspace of `weight`.
    pub fn plus(self, cost: Duration, weight: u32) -> Self {
        Self(self.0.saturating_add(per_weight(cost, weight)))
    }

    /// The virtual time after a refund of `cost` to a workspace of `weight`.
    pub fn minus(self, cost: Duration, weight: u32) -> Self {
        Self(self.0.saturating_sub(per_weight(cost, weight)))
    }

    /// Endpoint time per unit of weight since `earlier`; zero if `earlier` is
    /// later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

fn per_weight(cost: Duration, weight: u32) -> u64 {
    let nanos = u64::try_from(cost.as_nanos()).unwrap_or(u64::MAX);
    nanos / u64::from(weight.max(1))
}
