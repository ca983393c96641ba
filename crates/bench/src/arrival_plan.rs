use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::text_source::TextSource;

/// For this part of each [`BURST_PERIOD`] the rate is higher.
const BURST_SHARE: f64 = 0.2;
const BURST_PERIOD: f64 = 1.0;

/// Something that requests are spread over by weight.
#[derive(Clone, Debug)]
pub(crate) struct WeightedName {
    pub(crate) name: String,
    pub(crate) weight: f64,
}

/// From what arrivals are drawn; the same values give the same arrivals.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalOptions {
    pub(crate) seed: u64,
    /// Requests a second, on average.
    pub(crate) rate: f64,
    pub(crate) span: Duration,
    /// Factor on the rate in a burst; the average stays the same.
    pub(crate) burst: f64,
    pub(crate) entries: usize,
    pub(crate) workspaces: Vec<WeightedName>,
    pub(crate) pipelines: Vec<WeightedName>,
}

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlannedRequest {
    /// When, from the start of the run.
    pub(crate) at: Duration,
    /// Index of the entry to which the balancer gives it.
    pub(crate) entry: usize,
    pub(crate) workspace: String,
    pub(crate) pipeline: String,
    pub(crate) input: String,
    pub(crate) documents: Vec<String>,
}

/// Draws Poisson arrivals, with bursts if asked for, and heavy-tailed sizes.
pub(crate) fn draw(options: &ArrivalOptions) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let texts = TextSource::new(&mut random);
    let (calm, burst) = rates(options);
    let highest = calm.max(burst);
    let mut plan = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / highest;
        if at >= options.span.as_secs_f64() {
            return plan;
        }
        let in_burst = at % BURST_PERIOD < BURST_SHARE * BURST_PERIOD;
        let rate = if in_burst { burst } else { calm };
        if random.random::<f64>() * highest >= rate {
            continue;
        }
        let text = texts.draw(&mut random);
        plan.push(PlannedRequest {
            at: Duration::from_secs_f64(at),
            entry: random.random_range(0..options.entries),
            workspace: chosen(&options.workspaces, &mut random),
            pipeline: chosen(&options.pipelines, &mut random),
            input: text.question,
            documents: vec![text.history],
        });
    }
}

/// Rates outside of and in a burst that give the wanted average.
fn rates(options: &ArrivalOptions) -> (f64, f64) {
    let calm = options.rate / (1.0 - BURST_SHARE + BURST_SHARE * options.burst);
    (calm, calm * options.burst)
}

fn chosen(names: &[WeightedName], random: &mut ChaCha8Rng) -> String {
    let total: f64 = names.iter().map(|name| name.weight).sum();
    let mut left = random.random::<f64>() * total;
    for name in names {
        left -= name.weight;
        if left < 0.0 {
            return name.name.clone();
        }
    }
    names
        .last()
        .map(|name| name.name.clone())
        .unwrap_or_default()
}

#[cfg(test)]
#[path = "arrival_plan_tests.rs"]
mod tests;
