use std::sync::{Mutex, PoisonError};

use tokio::sync::watch;

use super::answer_memory::AnswerMemory;
use super::cached_connections::ConnectionCache;
use super::coordination_driver;
use super::crash_detector::{CallFailure, CrashDetector};
use super::endpoint_availability::EndpointAvailability;
use super::endpoint_call::{CallError, EndpointCall};
use super::endpoint_paths::{self, EndpointConnector, EndpointNetwork, RelayService};
use super::endpoint_score::EndpointScores;
use super::engine_scheduler::EngineScheduler;
use super::entry_capacity::{CapacityMeter, CapacityWeights, OwnShards};
use super::first_event_times::FirstEventTimes;
use super::gateway_metrics::GatewayMetrics;
use super::gateway_view::{AgedView, GatewayView};
use super::graceful_stop::StopSchedule;
use super::load_exchange;
use super::permit_gate::{ColdBounds, PermitGate, PermitWindow};
use super::piece_dispatcher::{DispatcherKey, PieceDispatcher};
use super::plan_admission::PlanAdmission;
use super::region_map::RegionMap;
use super::release_queue::{self, ReleaseQueue};
use super::retry_budget::{self, RepeatReason, RetryGate};
use super::shard_balance::ShardLoads;
use super::stalled_calls::PROBE_TIMEOUT;
use super::stream_origins::{self, OriginExchange};
use super::work_exchange::{self, WorkExchange};
use super::work_shard::{WorkKind, WorkShard};
use super::{
    EndpointRoster, EndpointTarget, LoadFeatures, PoolMember, ResultHandle, RetryLimits, WireFormat,
};
use crate::http_bodies::BodyMemory;
use crate::prelude::*;
use crate::quarantine::QuarantineList;
use crate::registry::{BootClock, EntryFollower, FollowState};
use crate::settings::{DaemonLimits, HeadLimits};
use crate::telemetry::MetricSet;
use crate::transport::{LinkChannel, LinkHub};

/// Announcement intervals after which every live endpoint has announced itself; two
/// announcements may be lost or late.
const REPORT_ANNOUNCEMENTS: u32 = 3;

/// State that all requests of one entry share.
#[derive(Debug)]
pub(super) struct GatewayNode {
    pub(super) wire: Arc<dyn WireFormat>,
    pub(super) follower: Arc<EntryFollower>,
    pub(super) data_center: String,
    pub(super) view: ArcSwap<GatewayView>,
    pub(super) scores: EndpointScores,
    pub(super) exchange: WorkExchange,
    pub(super) origins: OriginExchange,
    pub(super) first_events: FirstEventTimes,
    pub(super) engines: EngineScheduler,
    pub(super) releases: ReleaseQueue,
    pub(super) connector: EndpointConnector,
    /// Connections that this entry relays for others.
    pub(super) relay_service: RelayService,
    pub(super) connection_cache: ConnectionCache,
    pub(super) answer_memory: Arc<AnswerMemory>,
    /// Memory of the requests that this entry holds.
    pub(super) request_memory: Arc<BodyMemory>,
    /// Bounds on the numbers that a head may name.
    pub(super) head_limits: HeadLimits,
    pub(super) metrics: GatewayMetrics,
    pub(super) metric_set: Arc<MetricSet>,
    pub(super) crash_detector: CrashDetector,
    pub(super) permits: PermitGate,
    pub(super) availability: EndpointAvailability,
    pub(super) region_map: RegionMap,
    /// Shards that this entry coordinates.
    pub(super) own_shards: OwnShards,
    /// Decides how much of its capacity this entry reports.
    pub(super) capacity_meter: Mutex<CapacityMeter>,
    /// Optional features that are on.
    pub(super) features: LoadFeatures,
    /// Time in which every live endpoint has announced itself.
    report_time: Duration,
    /// Requests and prompt parts that are not sent to any endpoint.
    pub(super) quarantine: watch::Sender<Arc<QuarantineList>>,
    /// Serialises the building of newer views.
    refresh_lock: Mutex<()>,
    /// Maximum age of the view with which keyed requests are accepted.
    pub(super) max_key_age: Duration,
    pub(super) stop: StopSchedule,
    /// Number of views put in force; subscribers wait for the next one.
    view_count: watch::Sender<u64>,
    /// When this entry started.
    started: Instant,
    /// Retry budgets of the pools.
    pub(super) retry_gate: RetryGate,
    dispatchers: Mutex<FastMap<DispatcherKey, Arc<PieceDispatcher>>>,
    plan_admissions: Mutex<FastMap<WorkShard, Arc<PlanAdmission>>>,
    /// Loads of the stage shards, reported by their coordinators.
    pub(super) shard_loads: Mutex<ShardLoads>,
}

/// Dependencies and settings of a [`GatewayNode`].
pub(super) struct NodeParts {
    pub(super) hub: LinkHub,
    pub(super) network: Arc<dyn EndpointNetwork>,
    pub(super) wire: Arc<dyn WireFormat>,
    pub(super) follower: Arc<EntryFollower>,
    pub(super) data_center: String,
    pub(super) max_key_age: Duration,
    pub(super) features: LoadFeatures,
    pub(super) retry_limits: RetryLimits,
    pub(super) metric_set: Arc<MetricSet>,
    pub(super) crash_detector: CrashDetector,
    pub(super) cold_bounds: ColdBounds,
    pub(super) region_map: RegionMap,
    /// Interval between two announcements of an endpoint.
    pub(super) announce_interval: Duration,
    pub(super) limits: DaemonLimits,
}

impl GatewayNode {
    pub(super) fn start(parts: NodeParts) -> Arc<Self> {
        let (releases, released) = ReleaseQueue::new();
        let node = Arc::new(Self {
            releases,
            connector: EndpointConnector::new(parts.network, parts.hub.clone()),
            relay_service: RelayService::default(),
            connection_cache: ConnectionCache::default(),
            answer_memory: Arc::default(),
            request_memory: BodyMemory::new(parts.limits.request_bytes),
            head_limits: parts.limits.head,
            wire: parts.wire,
            follower: parts.follower,
            data_center: parts.data_center,
            view: ArcSwap::default(),
            refresh_lock: Mutex::default(),
            scores: EndpointScores::default(),
            exchange: WorkExchange::new(parts.hub.clone()),
            origins: OriginExchange::new(parts.hub.clone()),
            engines: EngineScheduler::default(),
            first_events: FirstEventTimes::default(),
            metrics: GatewayMetrics::new(parts.metric_set.meter()),
            metric_set: parts.metric_set,
            crash_detector: parts.crash_detector,
            permits: PermitGate::new(parts.cold_bounds),
            availability: EndpointAvailability::default(),
            region_map: parts.region_map,
            own_shards: OwnShards::default(),
            capacity_meter: Mutex::default(),
            features: parts.features,
            report_time: parts.announce_interval * REPORT_ANNOUNCEMENTS,
            quarantine: watch::Sender::default(),
            max_key_age: parts.max_key_age,
            stop: StopSchedule::default(),
            view_count: watch::Sender::default(),
            started: Instant::now(),
            retry_gate: RetryGate::new(parts.retry_limits),
            dispatchers: Mutex::default(),
            plan_admissions: Mutex::default(),
            shard_loads: Mutex::default(),
        });
        node.answer_memory.register_metrics(node.metric_set.meter());
        node.request_memory
            .register_metrics(node.metric_set.meter(), "savorywalk_gateway_request");
        node.register_view_age();
        node.register_quarantine();
        node.register_evacuations();
        node.register_limits();
        node.register_backoffs();
        node.register_coordination();
        node.register_paths();
        node.register_origins();
        node.register_retries();
        tokio::spawn(Arc::clone(&node).follow());
        tokio::spawn(coordination_driver::run_meter(Arc::downgrade(&node)));
        tokio::spawn(stream_origins::run_refresh(Arc::downgrade(&node)));
        tokio::spawn(retry_budget::run(Arc::downgrade(&node)));
        tokio::spawn(release_queue::run(Arc::clone(&node), released));
        let notices = parts.hub.subscribe(LinkChannel::Work);
        tokio::spawn(release_queue::serve(Arc::clone(&node), notices));
        let streams = parts.hub.serve_streams(LinkChannel::Work);
        tokio::spawn(endpoint_paths::run_relays(Arc::clone(&node), streams));
        tokio::spawn(endpoint_paths::run_prober(Arc::downgrade(&node)));
        let calls = parts.hub.serve(LinkChannel::Work);
        tokio::spawn(work_exchange::serve(Arc::clone(&node), calls));
        if node.features.shard_balance {
            tokio::spawn(load_exchange::run(Arc::clone(&node)));
        }
        node
    }

    /// Registers the gauge of the view's age.
    fn register_view_age(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .f64_observable_gauge("savorywalk_gateway_knowledge_age_seconds")
            .with_description("Time since a majority confirmed what is known here")
            .with_callback(move |gauge| {
                let age = node.upgrade().and_then(|node| node.aged_view().age);
                if let Some(age) = age {
                    gauge.observe(age.as_secs_f64(), &[]);
                }
            })
            .build();
    }

    /// Registers the gauge of evacuated data centres.
    fn register_evacuations(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_evacuated_data_centers")
            .with_description("Data centres whose endpoints get no new work")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.count_evacuated());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// Registers the gauge of origins of streams.
    fn register_origins(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_stream_origins")
            .with_description("Streams whose pool and version are kept here")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.origins.count());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// Registers the gauge of rate-limited endpoints.
    fn register_limits(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_limited_endpoints")
            .with_description("Endpoints that take a limited rate of requests")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.permits.limits.count());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// Registers the gauge of endpoints that asked this entry for a back-off.
    fn register_backoffs(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_backed_off_endpoints")
            .with_description("Endpoints that want no requests from this entry for a time")
            .with_callback(move |gauge| {
                let now = BootClock.now();
                let count = node.upgrade();
                let count = count.map(|node| node.availability.count_backoffs(now));
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// Registers the gauges of lost paths to endpoints and of relayed connections.
    fn register_paths(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_lost_paths")
            .with_description("Endpoints that other entries reach and this one does not")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.connector.lost_paths());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
        let node = Arc::downgrade(self);
        meter
            .u64_observable_gauge("savorywalk_gateway_relayed_connections")
            .with_description("Connections to endpoints that this entry relays for others")
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.relay_service.count());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    /// Registers the gauge of retry budgets whose extra part this entry grants.
    fn register_retries(self: &Arc<Self>) {
        let node = Arc::downgrade(self);
        let meter = self.metric_set.meter();
        meter
            .u64_observable_gauge("savorywalk_gateway_settled_retry_budgets")
            .with_description(
                "Pools whose part of the retry budget beside requests is granted here",
            )
            .with_callback(move |gauge| {
                let count = node.upgrade().map(|node| node.retry_gate.count_settled());
                gauge.observe(count.unwrap_or(0) as u64, &[]);
            })
            .build();
    }

    fn count_evacuated(&self) -> usize {
        self.apply_updates();
        self.follower
            .read(|state| state.evacuations().evacuated().len())
    }

    /// Whether this entry accepts requests: the document in force is confirmed to be the
    /// newest, and no stop has begun.
    pub(super) fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.has_confirmed_table()
    }

    /// Whether any document is in force.
    pub(super) fn has_table(&self) -> bool {
        self.view.load().table.is_some()
    }

    /// Waits up to `max_wait` until a document is in force and confirmed to be the newest.
    /// Returns immediately if any document is in force already.
    pub(super) async fn wait_for_table(&self, max_wait: Duration) {
        if self.has_table() {
            return;
        }
        let mut changes = self.view_count.subscribe();
        let waiting = async {
            while !self.has_confirmed_table() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(max_wait, waiting).await.is_err() {
            log_event!(debug, "no_document_in_time");
        }
    }

    /// Whether a document is in force and confirmed to be the newest.
    fn has_confirmed_table(&self) -> bool {
        let aged_view = self.aged_view();
        aged_view.view.table.is_some() && self.has_fresh_keys(&aged_view)
    }

    /// Returns the view that requests are decided by, with all changes received so far, and
    /// its age.
    ///
    /// The first caller after a change applies it. If this were left to [`Self::follow`],
    /// requests that are scheduled before that task would use the previous view: after a
    /// partition, a request with a key revoked in the meantime was run.
    pub(super) fn aged_view(&self) -> AgedView {
        let confirmed = self.follower.confirmed();
        self.apply_updates();
        AgedView::new(self.view.load_full(), confirmed)
    }

    pub(super) fn apply_updates(&self) {
        if self.view.load().change_count != self.follower.change_count() {
            self.refresh();
        }
    }

    /// Whether the view is fresh enough to decide on its keys and routes. See
    /// docs/design/platform.md for the bound.
    pub(super) fn has_fresh_keys(&self, aged_view: &AgedView) -> bool {
        aged_view.is_fresh(self.max_key_age)
    }

    /// The permits that this entry may issue for the limited endpoints of a pool in a shard.
    pub(super) fn permit_window(
        &self,
        now: Instant,
        pool: &str,
        kind: WorkKind,
        shard: &WorkShard,
    ) -> PermitWindow<'_> {
        let own = self.exchange.hub.name();
        let shard_key = (kind, shard);
        self.permits
            .window(now, &self.aged_view(), own, pool, shard_key)
    }

    /// Issues a permit for one request to an endpoint of a stage pool in a shard that this
    /// entry coordinates; true if one is available or none is required.
    pub(super) fn try_issue_permit(
        &self,
        pool: &str,
        shard: &WorkShard,
        member: &PoolMember,
    ) -> bool {
        let now = Instant::now();
        let is_own = shard.has(member) || !self.needs_permit(pool, member);
        is_own
            && self.is_available(member.endpoint())
            && self
                .permit_window(now, pool, WorkKind::Stages, shard)
                .try_issue(now, member)
    }

    /// Whether a request to an endpoint requires a permit.
    pub(super) fn needs_permit(&self, pool: &str, member: &PoolMember) -> bool {
        let view = self.view.load();
        let profile = view.table.as_ref().and_then(|table| table.pool(pool));
        let profile = profile.map(Arc::as_ref);
        self.permits.needs_permit(Instant::now(), profile, member)
    }

    /// Puts each new document and roster in force.
    async fn follow(self: Arc<Self>) {
        let mut changes = self.follower.watch_changes();
        loop {
            changes.borrow_and_update();
            self.refresh();
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn refresh(&self) {
        let refresh_lock = self.refresh_lock.lock();
        let _guard = refresh_lock.unwrap_or_else(PoisonError::into_inner);
        let before = self.view.load_full();
        let count = self.follower.change_count();
        if count == before.change_count && count > 0 {
            return;
        }
        let number = before.document();
        let (newest, document, quarantine) = self.follower.read(|state| {
            (
                state.document_number(),
                state.document().clone(),
                Arc::clone(state.quarantine()),
            )
        });
        let (roster, entries, capacities, evacuations) = self.follower.read_changes(|state| {
            (
                self.updated_roster(&before, state),
                Arc::clone(state.entries()),
                Arc::clone(state.entry_capacities()),
                state.evacuations().revision(),
            )
        });
        self.apply_quarantine(quarantine);
        let now = Instant::now();
        let mut table = before.table.clone();
        let mut route_history = Arc::clone(&before.route_history);
        if newest > number {
            match self.wire.read_document(&document) {
                Ok(read) => {
                    let workspaces = read.workspaces();
                    let ranks: Vec<_> = workspaces.map(|workspace| workspace.rank).collect();
                    log_event!(
                        info,
                        "document_in_force",
                        number = newest,
                        before = number,
                        routes = read.routes().count(),
                        needs_keys = read.needs_keys(),
                        workspace_ranks = format!("{ranks:?}")
                    );
                    route_history = Arc::new(route_history.updated(now, &read));
                    table = Some(Arc::new(read));
                }
                Err(error) => {
                    log_event!(
                        error,
                        "document_unreadable",
                        number = newest,
                        reason = error
                    );
                }
            }
        }
        let is_ranked =
            Arc::ptr_eq(&entries, &before.entries) && before.weights.is_built_from(&capacities);
        let view = GatewayView {
            table,
            route_history,
            roster,
            evacuations,
            ranks: match is_ranked {
                true => Arc::clone(&before.ranks),
                false => Arc::default(),
            },
            weights: match is_ranked {
                true => Arc::clone(&before.weights),
                false => Arc::new(CapacityWeights::new(&entries, &capacities)),
            },
            entries,
            change_count: count,
            ..GatewayView::default()
        };
        let view = Arc::new(view.with_shard_digest(now, &before));
        self.view.store(Arc::clone(&view));
        self.record_coordinators(now, &view, &before);
        self.view_count.send_modify(|count| *count += 1);
        self.connection_cache.expire();
        for dispatcher in self.dispatchers().values() {
            dispatcher.wake();
        }
    }

    /// Returns the roster of `before` with the changes received since.
    fn updated_roster(&self, before: &GatewayView, state: &mut FollowState) -> Arc<EndpointRoster> {
        let changed = state.take_changed();
        if before.evacuations != state.evacuations().revision() {
            let roster = EndpointRoster::from_state(state, self.report_time);
            return Arc::new(roster.continuing(&before.roster));
        }
        if changed.is_empty() {
            return Arc::clone(&before.roster);
        }
        let roster = before.roster.updated(state, &changed, self.report_time);
        Arc::new(roster)
    }

    /// Opens a connection to an endpoint. An error means that nothing was sent.
    pub(super) async fn connect(&self, member: &PoolMember) -> Result<EndpointCall, CallError> {
        let entries = Arc::clone(&self.view.load().entries);
        let stream = self.connector.open(&entries, member).await?;
        if stream.is_relayed() {
            // Connections that were opened before the path was lost may be silent for good.
            self.connection_cache.close_all(member.endpoint());
        }
        EndpointCall::start(stream, &member.incarnation_token).await
    }

    /// Whether the path to an endpoint whose call failed is lost: another entry reaches it, and
    /// this entry does not. Then the failure says nothing about the endpoint or the request.
    ///
    /// After a timeout only what is known counts, and the path is checked in the background, so
    /// that a retry does not wait for an endpoint that is silent.
    pub(super) async fn has_lost_path(
        self: &Arc<Self>,
        member: &PoolMember,
        failure: CallFailure,
    ) -> bool {
        match failure {
            CallFailure::Cut => self.check_path(member).await,
            CallFailure::TimedOut => {
                let is_lost = self.connector.has_lost(member.endpoint());
                if !is_lost {
                    let (node, member) = (Arc::clone(self), member.clone());
                    tokio::spawn(async move { node.check_path(&member).await });
                }
                is_lost
            }
        }
    }

    /// Whether an endpoint accepts connections, from this entry or by a relay.
    pub(super) async fn is_reachable(&self, member: &PoolMember) -> bool {
        let entries = Arc::clone(&self.view.load().entries);
        self.connector.open(&entries, member).await.is_ok()
    }

    /// Whether an endpoint reacts to a probe within [`PROBE_TIMEOUT`], over a connection of its own. Any
    /// answer will do, and so does a reset, which says that the endpoint wants no further connection.
    pub(super) async fn answers_probe(&self, member: &PoolMember) -> bool {
        let target = EndpointTarget {
            name: &member.name,
            address: member.address(),
        };
        let probing = async {
            let mut call = self.connect(member).await?;
            call.probe(self.wire.probe_request(&target)).await
        };
        match tokio::time::timeout(PROBE_TIMEOUT, probing).await {
            Ok(Ok(()) | Err(CallError::Broken(_))) => true,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Connects to an endpoint to find out whether the path to it is lost.
    async fn check_path(&self, member: &PoolMember) -> bool {
        let entries = Arc::clone(&self.view.load().entries);
        let connected = self.connector.open(&entries, member).await;
        connected.is_ok_and(|stream| stream.is_relayed())
    }

    /// Returns a cached connection to an endpoint or opens a new one, and whether it was cached.
    pub(super) async fn open_cached(
        &self,
        member: &PoolMember,
    ) -> Result<(EndpointCall, bool), CallError> {
        match self.connection_cache.take(member.endpoint()) {
            Some(call) => Ok((call, true)),
            None => Ok((self.connect(member).await?, false)),
        }
    }

    /// Records requests or pieces that are about to be sent beyond their first time.
    pub(super) fn record_repeats(
        &self,
        pool: &str,
        request: &str,
        reason: RepeatReason,
        count: usize,
    ) {
        self.metrics.record_repeat_sends(pool, reason, count);
        log_event!(
            info,
            "repeat_sent",
            request = request,
            pool = pool,
            reason = reason.name(),
            count = count,
            entries = self.view.load().entries.len(),
            uptime_ms = self.started.elapsed().as_millis()
        );
    }

    /// Returns the dispatcher of this entry for `key`, and starts it on first use.
    pub(super) fn dispatcher(self: &Arc<Self>, key: &DispatcherKey) -> Arc<PieceDispatcher> {
        let mut dispatchers = self.dispatchers();
        if let Some(dispatcher) = dispatchers.get(key) {
            return Arc::clone(dispatcher);
        }
        let dispatcher = PieceDispatcher::start(Arc::clone(self), key);
        dispatchers.insert(key.clone(), Arc::clone(&dispatcher));
        dispatcher
    }

    /// Returns the admission of this entry for a shard, and starts it on first use.
    pub(super) fn plan_admission(self: &Arc<Self>, shard: &WorkShard) -> Arc<PlanAdmission> {
        let mut plan_admissions = self
            .plan_admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(plan_admission) = plan_admissions.get(shard) {
            return Arc::clone(plan_admission);
        }
        let plan_admission = PlanAdmission::start(Arc::clone(self), shard);
        plan_admissions.insert(shard.clone(), Arc::clone(&plan_admission));
        plan_admission
    }

    /// Returns the admissions that have been started at this entry, with their shards.
    pub(super) fn all_plan_admissions(&self) -> Vec<(WorkShard, Arc<PlanAdmission>)> {
        let plan_admissions = self
            .plan_admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let all = plan_admissions.iter();
        all.map(|(shard, plan_admission)| (shard.clone(), Arc::clone(plan_admission)))
            .collect()
    }

    /// Reports released results to the dispatchers of a shard.
    pub(super) fn record_released(&self, shard: &WorkShard, handles: &[ResultHandle]) {
        let dispatchers = self.dispatchers();
        let of_shard = dispatchers.iter().filter(|(key, _)| key.shard == *shard);
        for (_, dispatcher) in of_shard {
            dispatcher.record_released(handles);
        }
    }

    fn dispatchers(
        &self,
    ) -> std::sync::MutexGuard<'_, FastMap<DispatcherKey, Arc<PieceDispatcher>>> {
        self.dispatchers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "gateway_node_tests.rs"]
mod tests;
