use std::sync::{Mutex, MutexGuard, PoisonError};

use super::endpoint_limits::EndpointLimits;
use super::gateway_view::{AgedView, GatewayView};
use super::send_permits::{ColdLimit, PermitDecision, SendPermits};
use super::work_shard::{WorkKind, WorkShard};
use super::{PoolMember, PoolProfile};
use crate::prelude::*;
use crate::transport::PeerName;

/// How long an entry must have been a coordinator before it counts as settled. By then its
/// predecessor has learned of the change, or its view is older than `MAX_VIEW_AGE`.
const MIN_TENURE: Duration = Duration::from_millis(2_500);

/// Oldest view with which a coordinator counts as settled. Covers two control responses
/// delayed by the maximum hold time, and part of a third.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Share of an endpoint's rate for which an unsettled or fallback coordinator issues
/// permits, as another entry may issue permits at the same time. With two such entries
/// beside a settled one the total is 1.4 times the rate, below the allowed 1.5.
const PARTIAL_SHARE: f64 = 0.2;

/// Lowest rate at which a limited endpoint is used, in requests per second. A change of its
/// limit is only visible in its responses.
const MIN_PROBE_RATE: f64 = 0.1;

/// Longest time for which an entry requests no permit after a refusal.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Back-off after a refusal without a retry time, or when no coordinator answered.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(200);

/// Configured bounds for cold endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ColdBounds {
    /// Factor applied to the cold rate of a pool.
    pub(super) overage: f64,
    /// Additional requests allowed in any one second.
    pub(super) slack: f64,
}

/// Controls requests to limited endpoints: cold ones, and those that advertise a rate. Both
/// share one permit mechanism, as both bounds apply to all entries combined.
#[derive(Debug, Default)]
pub(super) struct PermitGate {
    bounds: ColdBounds,
    /// The rates that endpoints advertise.
    pub(super) limits: EndpointLimits,
    permits: Mutex<SendPermits>,
    /// The known coordinator of each shard, and since when.
    tenures: Mutex<FastMap<(WorkKind, WorkShard), (PeerName, Instant)>>,
    /// When permits may be requested again after a refusal, by endpoint.
    backoffs: Mutex<FastMap<String, Instant>>,
}

/// Restriction on requests to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendRule {
    /// No restriction.
    Unlimited,
    /// One request per interval.
    Paced(Duration),
    /// No requests.
    Never,
}

impl SendRule {
    /// The stricter of two rules.
    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Never, _) | (_, Self::Never) => Self::Never,
            (Self::Unlimited, rule) | (rule, Self::Unlimited) => rule,
            (Self::Paced(own), Self::Paced(other)) => Self::Paced(own.max(other)),
        }
    }
}

/// The role of an entry for the endpoints of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoordinatorRole {
    /// Coordinator for long enough that its predecessor has stopped issuing permits.
    Settled,
    /// Coordinator, while another entry may still act as one.
    Unsettled,
    /// Used by entries that can't reach the coordinator.
    Fallback,
    /// Issues no permits.
    Other,
}

impl CoordinatorRole {
    /// Share of an endpoint's rate for which this role issues permits.
    fn share(self) -> Option<f64> {
        match self {
            Self::Settled => Some(1.0),
            Self::Unsettled | Self::Fallback => Some(PARTIAL_SHARE),
            Self::Other => None,
        }
    }
}

/// Issues permits for the limited endpoints of a pool according to this entry's role.
#[derive(Debug)]
pub(super) struct PermitWindow<'a> {
    gate: &'a PermitGate,
    /// Rule for cold endpoints.
    cold: SendRule,
    role: CoordinatorRole,
}

impl PermitGate {
    pub(super) fn new(bounds: ColdBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// The limit of a pool's cold endpoints; `None` if they have none.
    fn cold_limit(&self, profile: Option<&PoolProfile>) -> Option<ColdLimit> {
        let per_second = profile.map(|profile| profile.cold_rate);
        let per_second = per_second.filter(|rate| *rate > 0.0)?;
        Some(ColdLimit {
            per_second,
            max_in_one_second: per_second * self.bounds.overage + self.bounds.slack,
        })
    }

    /// Whether a request to an endpoint requires a permit.
    pub(super) fn needs_permit(
        &self,
        now: Instant,
        profile: Option<&PoolProfile>,
        member: &PoolMember,
    ) -> bool {
        let is_cold = member.is_cold(now) && self.cold_limit(profile).is_some();
        is_cold || self.limits.rate(member.endpoint()).is_some()
    }

    /// Suspends permit requests for an endpoint after a refusal.
    pub(super) fn back_off(&self, now: Instant, endpoint: &str, retry_after: Option<Duration>) {
        let time = retry_after.unwrap_or(DEFAULT_BACKOFF);
        let until = now + time.min(MAX_BACKOFF);
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.retain(|_, until| now < *until);
        backoffs.insert(endpoint.to_string(), until);
    }

    /// Whether permit requests for an endpoint are suspended.
    pub(super) fn is_backed_off(&self, now: Instant, endpoint: &str) -> bool {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.get(endpoint).is_some_and(|until| now < *until)
    }

    /// The permits that entry `own` may issue for a pool's endpoints in a shard.
    pub(super) fn window(
        &self,
        now: Instant,
        aged_view: &AgedView,
        own: &PeerName,
        pool: &str,
        (kind, shard): (WorkKind, &WorkShard),
    ) -> PermitWindow<'_> {
        let role = self.role(now, aged_view, own, pool, (kind, shard));
        let view = &aged_view.view;
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        let cold = match self.cold_limit(profile.map(Arc::as_ref)) {
            None => SendRule::Unlimited,
            Some(limit) => match limit.interval() {
                Some(interval) if role == CoordinatorRole::Settled => SendRule::Paced(interval),
                Some(_) | None => SendRule::Never,
            },
        };
        PermitWindow {
            gate: self,
            cold,
            role,
        }
    }

    fn role(
        &self,
        now: Instant,
        aged_view: &AgedView,
        own: &PeerName,
        pool: &str,
        (kind, shard): (WorkKind, &WorkShard),
    ) -> CoordinatorRole {
        let [coordinator, fallback] = shard.coordinator_and_fallback(kind, &aged_view.view);
        let Some(coordinator) = coordinator else {
            return CoordinatorRole::Other;
        };
        if !aged_view.view.shard_map(kind, pool).has(shard) {
            return CoordinatorRole::Other;
        }
        let since = self.coordinator_since(now, kind, shard, &coordinator);
        // Coordinators of the previous shards may not have learned of the new ones yet.
        let since = since.max(aged_view.view.sharded_since.unwrap_or(since));
        if coordinator == *own {
            let is_settled = now >= since + MIN_TENURE && aged_view.is_fresh(MAX_VIEW_AGE);
            return match is_settled {
                true => CoordinatorRole::Settled,
                false => CoordinatorRole::Unsettled,
            };
        }
        match fallback.as_ref() == Some(own) {
            true => CoordinatorRole::Fallback,
            false => CoordinatorRole::Other,
        }
    }

    /// Records the coordinators of a new view. A coordinator that was another entry in between
    /// starts anew, even if no permit was requested meanwhile.
    pub(super) fn record_coordinators(&self, now: Instant, view: &GatewayView) {
        let tenures = self.tenures.lock();
        let mut tenures = tenures.unwrap_or_else(PoisonError::into_inner);
        for ((kind, shard), tenure) in &mut *tenures {
            let coordinator = view.ranked(*kind, shard).first().cloned();
            if let Some(coordinator) = coordinator
                && coordinator != tenure.0
            {
                *tenure = (coordinator, now);
            }
        }
    }

    /// Since when this entry has known the coordinator of a shard.
    fn coordinator_since(
        &self,
        now: Instant,
        kind: WorkKind,
        shard: &WorkShard,
        coordinator: &PeerName,
    ) -> Instant {
        let tenures = self.tenures.lock();
        let mut tenures = tenures.unwrap_or_else(PoisonError::into_inner);
        let known = tenures.get(&(kind, shard.clone()));
        if let Some((name, since)) = known
            && name == coordinator
        {
            return *since;
        }
        tenures.insert((kind, shard.clone()), (coordinator.clone(), now));
        now
    }

    fn permits(&self) -> MutexGuard<'_, SendPermits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PermitWindow<'_> {
    /// Whether a request may be sent to an endpoint now.
    pub(super) fn admits(&self, now: Instant, member: &PoolMember) -> bool {
        match self.rule(now, member) {
            SendRule::Unlimited => true,
            SendRule::Paced(interval) => {
                self.gate
                    .permits()
                    .is_free(now, member.endpoint(), interval)
            }
            SendRule::Never => false,
        }
    }

    /// Issues a permit for one request to an endpoint; true if one is available or none is
    /// required.
    pub(super) fn try_issue(&self, now: Instant, member: &PoolMember) -> bool {
        let endpoint = member.endpoint();
        match self.rule(now, member) {
            SendRule::Unlimited => true,
            SendRule::Paced(interval) => self.gate.permits().try_issue(now, endpoint, interval),
            SendRule::Never => false,
        }
    }

    /// Issues the next permit for an endpoint if it becomes available within `max_wait`.
    pub(super) fn reserve(
        &self,
        now: Instant,
        member: &PoolMember,
        max_wait: Duration,
    ) -> PermitDecision {
        let endpoint = member.endpoint();
        match self.rule(now, member) {
            SendRule::Unlimited => PermitDecision::Granted {
                wait: Duration::ZERO,
            },
            SendRule::Paced(interval) => self
                .gate
                .permits()
                .reserve(now, endpoint, interval, max_wait),
            SendRule::Never => PermitDecision::Refused { retry_after: None },
        }
    }

    /// Requests per second for which this entry issues permits; `None` without a limit.
    pub(super) fn rate(&self, now: Instant, member: &PoolMember) -> Option<f64> {
        match self.rule(now, member) {
            SendRule::Unlimited => None,
            SendRule::Paced(interval) => Some(1.0 / interval.as_secs_f64()),
            SendRule::Never => Some(0.0),
        }
    }

    fn rule(&self, now: Instant, member: &PoolMember) -> SendRule {
        let advertised = match self.gate.limits.rate(member.endpoint()) {
            None => SendRule::Unlimited,
            Some(rate) => match self.role.share() {
                None => SendRule::Never,
                Some(share) => {
                    let rate = rate.max(MIN_PROBE_RATE) * share;
                    SendRule::Paced(Duration::from_secs_f64(1.0 / rate))
                }
            },
        };
        match member.is_cold(now) {
            true => self.cold.stricter(advertised),
            false => advertised,
        }
    }
}

#[cfg(test)]
#[path = "permit_gate_tests.rs"]
mod tests;
