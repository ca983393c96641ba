use std::sync::{Mutex, PoisonError};

use super::QuantileScale;
use super::request_context::RequestContext;
use crate::prelude::*;

/// Initial estimate of the time that a busy engine takes in addition to reading the prompt:
/// a few engine steps and the round trip.
const PRIOR_BASE: Duration = Duration::from_millis(150);

/// Initial estimate of the prompt tokens that an engine reads per millisecond. Engines of
/// two kinds read 31 and 62 according to their operators' data sheets; an error by a factor
/// of two is corrected within about 70 requests of a route.
const PRIOR_TOKENS_PER_MS: u64 = 50;

/// Fraction of requests that should get their first event within the forecast: the median.
/// Stages must end while this time is left, so a longer forecast causes more refusals.
const QUANTILE: f64 = 0.5;

/// Forecasts the time from sending a stream request to its first event. This entry learns a
/// scale per route, which covers what the requests of a route have in common: the speed of
/// the engines, the cached part of the prompt, and the time that engines are busy with
/// other requests.
#[derive(Debug, Default)]
pub(super) struct FirstEventTimes {
    routes: Mutex<FastMap<Arc<str>, QuantileScale>>,
}

impl FirstEventTimes {
    /// Expected time from the send to the first event.
    pub(super) fn forecast(&self, context: &RequestContext) -> Duration {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let scale = routes.get(context.route.name.as_str()).copied();
        prior(context.prompt_tokens()).mul_f64(scale.unwrap_or_default().scale())
    }

    /// Updates the scale of the route with a stream whose first event has arrived.
    pub(super) fn observe(&self, context: &RequestContext, elapsed: Duration) {
        let ratio = elapsed.as_secs_f64() / prior(context.prompt_tokens()).as_secs_f64();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let route: Arc<str> = context.route.name.as_str().into();
        routes.entry(route).or_default().observe(ratio, QUANTILE);
    }
}

/// Initial estimate for a prompt of `tokens` tokens.
fn prior(tokens: u64) -> Duration {
    PRIOR_BASE + Duration::from_millis(tokens / PRIOR_TOKENS_PER_MS)
}
