use std::sync::{MutexGuard, PoisonError, Weak};

use super::entry_capacity::{CapacityMeter, METER_INTERVAL};
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use crate::prelude::*;
use crate::registry::EntryCapacity;

/// Which shards this entry coordinates, and how much of its capacity it reports.
impl GatewayNode {
    /// Registers the gauges of the shards that this entry coordinates and of the capacity that
    /// it reports.
    pub(super) fn register_coordination(self: &Arc<Self>) {
        let meter = self.metric_set.meter();
        let node = Arc::downgrade(self);
        meter
            .u64_observable_gauge("savorywalk_gateway_coordinated_shards")
            .with_description("Shards that this entry coordinates")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.own_shards.count());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
        let node = Arc::downgrade(self);
        meter
            .f64_observable_gauge("savorywalk_gateway_capacity_cores")
            .with_description("Processor time that this entry reports to have; 0 if unknown")
            .with_callback(move |gauge| {
                let capacity = node.upgrade().map(|node| node.follower.capacity());
                gauge.observe(capacity.unwrap_or_default().cores(), &[]);
            })
            .build();
    }

    /// Records the coordinators of a new view, if these may have changed.
    pub(super) fn record_coordinators(
        &self,
        now: Instant,
        view: &GatewayView,
        before: &GatewayView,
    ) {
        let is_ranked = Arc::ptr_eq(&view.ranks, &before.ranks);
        if is_ranked && view.shard_digest == before.shard_digest {
            return;
        }
        self.permits.record_coordinators(now, view);
        let shards = view.shards_of(self.exchange.hub.name());
        let capacity = self.follower.capacity();
        if self.own_shards.replace(shards, capacity.0) {
            self.lock_meter().record_gain(now);
        }
    }

    /// Records the lateness of a timer, and reports another part of the `whole` capacity if the
    /// meter decides so. Only a part counts where entries are weighted.
    fn record_lateness(&self, now: Instant, lateness: Duration, whole: EntryCapacity) {
        // An entry that reports less may have made all capacities equal; it has to recover.
        let mut meter = self.lock_meter();
        if !self.view.load().weights.is_weighted() && meter.steps() == 0 {
            return;
        }
        let steps = meter.record(now, lateness);
        drop(meter);
        let Some(steps) = steps else {
            return;
        };
        let reported = whole.halved(steps);
        self.follower.set_capacity(reported);
        log_event!(
            info,
            "capacity_changed",
            capacity_millicores = reported.0,
            whole_millicores = whole.0,
            shards = self.own_shards.count()
        );
    }

    fn lock_meter(&self) -> MutexGuard<'_, CapacityMeter> {
        let meter = self.capacity_meter.lock();
        meter.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures the lateness of a timer on the runtime of requests, until the node is dropped. An
/// entry of unknown capacity has nothing to report.
pub(super) async fn run_meter(node: Weak<GatewayNode>) {
    let whole = node.upgrade().map(|node| node.follower.capacity());
    let Some(whole) = whole.filter(|whole| whole.is_known()) else {
        return;
    };
    loop {
        let due = Instant::now() + METER_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let Some(node) = node.upgrade() else { return };
        let now = Instant::now();
        node.record_lateness(now, now.saturating_duration_since(due), whole);
    }
}
