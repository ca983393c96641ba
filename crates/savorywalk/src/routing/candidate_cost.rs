//! Cost of an attempt at an endpoint, in units of one request per slot. See
//! docs/design/routing.md for the reason for each term.

use super::PoolHealth;
use super::endpoint_health::half_life_decay;
use crate::directory::EndpointRecord;
use crate::prelude::*;

/// Weight of a load report on arrival. It is already out of date then, and all
/// daemons receive it at the same time: at 0.5 they all sent their work to the
/// same engine; see docs/measurements/request-path.md.
const FRESH_REPORT_WEIGHT: f64 = 0.1;
/// Additional time of a call to another data centre, in seconds: both
/// deployments have about 1.5 ms one way.
const CROSS_DATA_CENTER_SECONDS: f64 = 0.003;
/// Maximum cost of distance, for stages that take less time than the call.
const MAX_DISTANCE_COST: f64 = 0.5;
/// Cost reduction for a completely cached prefix at an idle endpoint.
const MAX_AFFINITY_DISCOUNT: f64 = 0.5;
/// Bounds of the ratio of an endpoint's latency to its pool's.
const LATENCY_RATIOS: (f64, f64) = (0.25, 50.0);

/// An endpoint considered for the attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteCandidate<'a> {
    pub(super) record: &'a Arc<EndpointRecord>,
    /// This process's attempts in progress at the endpoint.
    pub(super) outstanding: u32,
    /// Share of the prompt's prefix that it probably has cached, 0 to 1.
    pub(super) held_prefix: f64,
}

/// Cost of sending one more attempt to the candidate.
pub(super) fn candidate_cost(
    now: Instant,
    data_center: &str,
    health: &PoolHealth,
    candidate: RouteCandidate<'_>,
) -> f64 {
    let record = candidate.record;
    let load = load_per_slot(now, record, candidate.outstanding, health);
    let observed = health.endpoint(&record.announcement.endpoint);
    let pool_seconds = health.latency_seconds();
    let (min_ratio, max_ratio) = LATENCY_RATIOS;
    let (latency, failures, share) = match observed {
        Some(observed) => (
            observed
                .latency_ratio(now, pool_seconds)
                .clamp(min_ratio, max_ratio),
            observed.failure_factor(now),
            observed.slow_start_share(now, record.joined),
        ),
        None => {
            let unobserved = super::EndpointHealth::default();
            (1.0, 1.0, unobserved.slow_start_share(now, record.joined))
        }
    };
    let distance = distance_cost(data_center, record, pool_seconds);
    let affinity = MAX_AFFINITY_DISCOUNT * candidate.held_prefix * (1.0 - load).max(0.0);
    load * latency * failures / share + distance - affinity
}

/// Expected load per slot with one more attempt. This process's own attempts
/// count in full; the load from other processes is estimated from reports.
///
/// As a report ages, the estimate decays to the pool's mean. A decay to zero
/// would make every daemon prefer the endpoint with the oldest report.
fn load_per_slot(
    now: Instant,
    record: &EndpointRecord,
    outstanding: u32,
    health: &PoolHealth,
) -> f64 {
    let reported = reported_remote_load(record, outstanding);
    let mean = health.mean_remote_load();
    let age = now.saturating_duration_since(record.load_at);
    let weight = FRESH_REPORT_WEIGHT * half_life_decay(age, health.report_half_life());
    let remote = mean + (reported - mean) * weight;
    f64::from(outstanding + 1) / slots(record) + remote
}

/// Reported load per slot, less this process's own attempts.
pub(super) fn reported_remote_load(record: &EndpointRecord, outstanding: u32) -> f64 {
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
    (CROSS_DATA_CENTER_SECONDS / pool_seconds).min(MAX_DISTANCE_COST)
}
