//! What an attempt at an endpoint would cost, in units of one request for
//! each slot; docs/design/routing.md gives the reason for each term.

use super::PoolHealth;
use super::endpoint_health::fading;
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Weight of a load report that has just come: it was true some time ago, and
/// every daemon reads it at the same moment. At 0.5 all of them followed it to
/// the same engine; see docs/measurements/request-path.md.
const REPORT_WEIGHT: f64 = 0.1;
/// Time that a call into another data centre takes longer, in seconds: both
/// deployments have about 1.5 ms one way.
const DISTANCE_SECONDS: f64 = 0.003;
/// Most that distance may cost, for stages that are shorter than the way.
const MAX_DISTANCE_COST: f64 = 0.5;
/// What a whole prefix in the cache is worth at an idle endpoint.
const AFFINITY_WORTH: f64 = 0.5;
/// Bounds of an endpoint's latency in units of its pool's.
const LATENCY_RATIOS: (f64, f64) = (0.25, 50.0);

/// An endpoint that could get the attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteCandidate<'a> {
    pub(super) record: &'a Arc<EndpointRecord>,
    /// This process's attempts in progress there.
    pub(super) outstanding: u32,
    /// Share of the prompt's prefix that it probably holds, 0 to 1.
    pub(super) held_prefix: f64,
}

/// The cost of sending one more attempt to the candidate.
pub(super) fn candidate_cost(
    now: Instant,
    data_center: &str,
    health: &PoolHealth,
    candidate: RouteCandidate<'_>,
) -> f64 {
    let record = candidate.record;
    let load = load_per_slot(now, record, candidate.outstanding, health);
    let known = health.endpoint(&record.announcement.endpoint);
    let pool_seconds = health.latency_seconds();
    let (least, most) = LATENCY_RATIOS;
    let (latency, failures, share) = match known {
        Some(known) => (
            known.latency_ratio(now, pool_seconds).clamp(least, most),
            known.failure_factor(now),
            known.slow_start_share(now, record.joined),
        ),
        None => {
            let newcomer = super::EndpointHealth::default();
            (1.0, 1.0, newcomer.slow_start_share(now, record.joined))
        }
    };
    let distance = distance_cost(data_center, record, pool_seconds);
    let affinity = AFFINITY_WORTH * candidate.held_prefix * (1.0 - load).max(0.0);
    load * latency * failures / share + distance - affinity
}

/// Own work counts in full; what others have there is known by report alone.
/// As the report grows old, the estimate returns to what is usual in the pool:
/// returning to zero would draw every daemon to the endpoint with the oldest
/// report.
fn load_per_slot(
    now: Instant,
    record: &EndpointRecord,
    outstanding: u32,
    health: &PoolHealth,
) -> f64 {
    let reported = reported_others(record, outstanding);
    let usual = health.usual_others();
    let age = now.saturating_duration_since(record.load_at);
    let weight = REPORT_WEIGHT * fading(age, health.report_half_life());
    let others = usual + (reported - usual) * weight;
    f64::from(outstanding + 1) / slots(record) + others
}

/// Load per slot that the endpoint reported beyond this process's own.
pub(super) fn reported_others(record: &EndpointRecord, outstanding: u32) -> f64 {
    let load = record.announcement.load;
    let reported = load.running.saturating_add(load.queued);
    f64::from(reported.saturating_sub(outstanding)) / slots(record)
}

fn slots(record: &EndpointRecord) -> f64 {
    f64::from(record.announcement.slots.max(1))
}

fn distance_cost(data_center: &str, record: &EndpointRecord, pool_seconds: f64) -> f64 {
    if record.announcement.data_center == data_center {
        return 0.0;
    }
    if pool_seconds <= 0.0 {
        return MAX_DISTANCE_COST;
    }
    (DISTANCE_SECONDS / pool_seconds).min(MAX_DISTANCE_COST)
}
