use savorywalk::prelude::*;

use super::BudgetUse;

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct RetryReport {
    /// The worst window of each pool.
    pub uses: BTreeMap<&'static str, BudgetUse>,
    /// Requests that callers sent, and those that were answered with success.
    pub sent: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// Sends beyond a first that gateways counted, and that endpoints received, by pool; empty if
    /// processes ended and their counts with them.
    pub counts: BTreeMap<&'static str, (u64, u64)>,
}

impl RetryReport {
    /// Whether no pool got more than is allowed in any window.
    pub fn is_within_budget(&self) -> bool {
        self.uses.values().all(|worst| worst.part() <= 1.0)
    }

    /// Whether gateways counted what endpoints received.
    pub fn has_equal_counts(&self) -> bool {
        let mut counts = self.counts.values();
        counts.all(|(counted, received)| counted == received)
    }

    /// Whether all checks are passed.
    pub fn is_sound(&self) -> bool {
        self.is_within_budget() && self.has_equal_counts()
    }
}

impl fmt::Display for RetryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {} served", self.served, self.sent)?;
        for (pool, worst) in &self.uses {
            write!(formatter, "; pool {pool}: {worst}")?;
        }
        for (pool, (counted, received)) in &self.counts {
            write!(
                formatter,
                "; pool {pool}: {counted} counted by gateways, {received} received"
            )?;
        }
        Ok(())
    }
}
