use std::sync::{Mutex, PoisonError};

use super::QuantileScale;
use super::request_context::RequestContext;
use crate::prelude::*;

/// Time that an engine in use takes beside reading the prompt, before anything
/// is known of it; a handful of its steps and the way there and back.
const PRIOR_BASE: Duration = Duration::from_millis(150);

/// Prompt tokens that an engine reads in a millisecond, before anything is known
/// of it. Engines of two kinds read 31 and 62 by their operators' sheets; a
/// factor of two here is learned away within some 70 requests of a route.
const PRIOR_TOKENS_PER_MS: u64 = 50;

/// Part of requests that should get their first event within the forecast: the
/// median. Stages are to be done by when this is left, so a longer forecast has
/// more requests refused.
const QUANTILE: f64 = 0.5;

/// How long streams take from their send to the first event, learned by route
/// from those of this entry. What requests of a route have in common is in it:
/// the engines' speed, how much of the prompt is cached, and how long engines
/// are busy with others.
#[derive(Debug, Default)]
pub(super) struct FirstEventTimes {
    routes: Mutex<FastMap<Arc<str>, QuantileScale>>,
}

impl FirstEventTimes {
    /// Time from the send to the first event, about.
    pub(super) fn expect(&self, context: &RequestContext) -> Duration {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let scale = routes.get(context.route.name.as_str()).copied();
        prior(context.prompt_tokens()).mul_f64(scale.unwrap_or_default().scale())
    }

    /// Learns from a stream whose first event came.
    pub(super) fn observe(&self, context: &RequestContext, taken: Duration) {
        let ratio = taken.as_secs_f64() / prior(context.prompt_tokens()).as_secs_f64();
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let route: Arc<str> = context.route.name.as_str().into();
        routes.entry(route).or_default().observe(ratio, QUANTILE);
    }
}

fn prior(tokens: u64) -> Duration {
    PRIOR_BASE + Duration::from_millis(tokens / PRIOR_TOKENS_PER_MS)
}
