use savorywalk::prelude::*;

use super::PoolArrivals;

/// What a pool may get beyond the first send of each request, from all entries together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Arrivals allowed for each request in the window.
    pub share: f64,
    /// Arrivals allowed beside.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// The window of a pool that used the largest part of what was allowed in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUse {
    /// Arrivals beyond the first.
    pub repeats: usize,
    /// Requests that count for the window.
    pub requests: usize,
    /// Arrivals beyond the first that are allowed.
    pub allowed: f64,
}

impl BudgetUse {
    /// Finds the window with the highest part among all that begin or end with a repeat.
    ///
    /// The requests for a window are those in it, in the one before it, or in the one half a window
    /// before it, whichever has most.
    pub fn worst(arrivals: &PoolArrivals, limits: BudgetLimits) -> Self {
        let window = limits.window;
        let starts = arrivals.repeats.iter().flat_map(|at| {
            let before = at.checked_sub(window).unwrap_or_default();
            // A window that ends with a repeat includes it.
            [*at, before + Duration::from_nanos(1)]
        });
        let uses = starts.map(|start| {
            let count = |times: &[Duration], from: Duration| {
                let end = from + window;
                times.partition_point(|at| *at < end) - times.partition_point(|at| *at < from)
            };
            let earlier = |time: Duration| start.checked_sub(time);
            let starts = [Some(start), earlier(window), earlier(window / 2)];
            let requests = starts.into_iter().flatten();
            let requests = requests.map(|from| count(&arrivals.requests, from));
            let requests = requests.max().unwrap_or(0);
            Self {
                repeats: count(&arrivals.repeats, start),
                requests,
                allowed: limits.share * requests as f64 + limits.extra,
            }
        });
        let highest = uses.max_by(|left, right| left.part().total_cmp(&right.part()));
        highest.unwrap_or_default()
    }

    /// Part of what is allowed.
    pub fn part(&self) -> f64 {
        match self.repeats {
            0 => 0.0,
            repeats => repeats as f64 / self.allowed,
        }
    }
}

impl fmt::Display for BudgetUse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} of {:.1} for {} requests ({:.2})",
            self.repeats,
            self.allowed,
            self.requests,
            self.part()
        )
    }
}
