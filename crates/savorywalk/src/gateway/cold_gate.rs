use std::sync::{Mutex, MutexGuard, PoisonError};

use super::cold_permits::{ColdLimit, ColdPermits};
use super::gateway_view::ViewKnowledge;
use super::work_shard::{WorkKind, WorkShard};
use super::{PoolMember, PoolProfile};
use crate::prelude::*;
use crate::transport::PeerName;

/// How long an entry must have been a coordinator before it gives permits: by then the one
/// before it has learned of it, or its knowledge is too old for it to give any.
const TENURE: Duration = Duration::from_millis(2_500);

/// Age of knowledge up to which a coordinator gives permits: two answers of control that
/// were held for as long as they may be, and a part of a third.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// What the settings say of cold endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ColdBounds {
    /// Factor on what a pool's cold endpoints bear.
    pub(super) overage: f64,
    /// Requests beside that in any second.
    pub(super) slack: f64,
}

/// Decides on requests to cold endpoints at this entry.
#[derive(Debug, Default)]
pub(super) struct ColdGate {
    bounds: ColdBounds,
    permits: Mutex<ColdPermits>,
    /// Who coordinates, as far as this entry knows, and since when.
    tenures: Mutex<FastMap<(WorkKind, WorkShard), (PeerName, Instant)>>,
}

/// What may be sent to the cold endpoints of a pool from here.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdRule {
    /// The pool's cold endpoints take as much as others.
    Unlimited,
    /// One request each pause.
    Paced(Duration),
    /// Nothing.
    Never,
}

/// The cold endpoints of a pool, as they may be used now.
#[derive(Debug)]
pub(super) struct ColdWindow<'a> {
    gate: &'a ColdGate,
    rule: ColdRule,
}

impl ColdGate {
    pub(super) fn new(bounds: ColdBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// What the cold endpoints of a pool bear; `None` when they bear as much as others.
    fn limit(&self, profile: Option<&PoolProfile>) -> Option<ColdLimit> {
        let per_second = profile.map(|profile| profile.cold_rate);
        let per_second = per_second.filter(|rate| *rate > 0.0)?;
        Some(ColdLimit {
            per_second,
            most: per_second * self.bounds.overage + self.bounds.slack,
        })
    }

    /// Whether a request to an endpoint needs a permit.
    pub(super) fn needs_permit(
        &self,
        now: Instant,
        profile: Option<&PoolProfile>,
        member: &PoolMember,
    ) -> bool {
        member.is_cold(now) && self.limit(profile).is_some()
    }

    /// The cold endpoints of a pool in a shard, for its coordinator.
    pub(super) fn window(
        &self,
        now: Instant,
        knowledge: &ViewKnowledge,
        own: &PeerName,
        pool: &str,
        (kind, shard): (WorkKind, &WorkShard),
    ) -> ColdWindow<'_> {
        let view = &knowledge.view;
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        let rule = match self.limit(profile.map(Arc::as_ref)) {
            None => ColdRule::Unlimited,
            Some(limit) => {
                let coordinator = shard.coordinator(kind, view.entries.iter());
                let is_settled = coordinator.is_some_and(|coordinator| {
                    let since = self.coordinates_since(now, kind, shard, coordinator);
                    coordinator == own && now >= since + TENURE
                });
                match limit.pause() {
                    Some(pause) if is_settled && knowledge.is_fresh(MAX_AGE) => {
                        ColdRule::Paced(pause)
                    }
                    Some(_) | None => ColdRule::Never,
                }
            }
        };
        ColdWindow { gate: self, rule }
    }

    fn coordinates_since(
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

    fn permits(&self) -> MutexGuard<'_, ColdPermits> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ColdWindow<'_> {
    /// Whether an endpoint may get a request now.
    pub(super) fn admits(&self, now: Instant, member: &PoolMember) -> bool {
        if !member.is_cold(now) {
            return true;
        }
        match self.rule {
            ColdRule::Unlimited => true,
            ColdRule::Paced(_) => self.gate.permits().is_free(now, member.endpoint()),
            ColdRule::Never => false,
        }
    }

    /// Gives the permit for one request to an endpoint; true when there is one, or when
    /// none is needed.
    pub(super) fn take(&self, now: Instant, member: &PoolMember) -> bool {
        if !member.is_cold(now) {
            return true;
        }
        let endpoint = member.endpoint();
        match self.rule {
            ColdRule::Unlimited => true,
            ColdRule::Paced(pause) => self.gate.permits().take(now, endpoint, pause),
            ColdRule::Never => false,
        }
    }
}

#[cfg(test)]
#[path = "cold_gate_tests.rs"]
mod tests;
