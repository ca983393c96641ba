use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{EntryStatus, FollowerStanding, ReadinessState, ReadinessView};
use crate::admission::RefusalReason;
use crate::api::ClientIntake;
use crate::claims::ClaimClient;
use crate::configuration::ConfigurationCell;
use crate::control::ControlClient;
use crate::cost::CostLedger;
use crate::directory::{CacheEvent, DirectoryHandle};
use crate::http_bodies::BodyMemory;
use crate::pipeline::{PipelineAnswer, PipelineRequest, PipelineRunner, Result};
use crate::prelude::*;
use crate::queueing::{QueueTable, UsageReport};
use crate::settings::NodeSettings;
use crate::telemetry::MetricSet;

/// Advice to a caller who met a full daemon.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Advice to a caller who met a daemon whose configuration is not confirmed;
/// others may serve.
const STALE_RETRY: Duration = Duration::from_secs(2);

/// What the request path of one daemon shares.
#[derive(Debug)]
pub struct EntryNode {
    pub(super) settings: NodeSettings,
    pub(super) configuration: ConfigurationCell,
    pub(super) directory: DirectoryHandle,
    pub(super) runner: PipelineRunner,
    pub(super) metrics: Arc<MetricSet>,
    pub(super) request_memory: Arc<BodyMemory>,
    pub(super) intake: ClientIntake,
    pub(super) ledger: Arc<CostLedger>,
    pub(super) readiness: watch::Sender<ReadinessState>,
    pub(super) standing: ArcSwap<FollowerStanding>,
    pub(super) in_progress: AtomicU32,
    pub(super) max_requests: u32,
    /// Connections of all listeners.
    pub(super) max_connections: u32,
    pub(super) control: ControlClient,
    pub(super) claims: ClaimClient,
    /// Runs that their callers' leaving doesn't stop.
    pub(super) detached: TaskTracker,
}

/// Counts one request in progress until it is dropped.
struct ProgressGuard<'a> {
    node: &'a EntryNode,
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        self.node.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryNode {
    /// Name of the daemon.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &ConfigurationCell {
        &self.configuration
    }

    /// The directory of endpoints.
    pub fn directory(&self) -> &DirectoryHandle {
        &self.directory
    }

    /// Memory of the bodies that are read.
    pub(crate) fn request_memory(&self) -> &Arc<BodyMemory> {
        &self.request_memory
    }

    /// What the listeners take.
    pub(crate) fn intake(&self) -> &ClientIntake {
        &self.intake
    }

    /// The metrics.
    pub fn metrics(&self) -> &MetricSet {
        &self.metrics
    }

    /// What decides on changes.
    pub fn control(&self) -> &ControlClient {
        &self.control
    }

    /// What decides who runs a non-idempotent request.
    pub fn claims(&self) -> &ClaimClient {
        &self.claims
    }

    /// Puts the newest configuration that control decided in force here.
    pub async fn refresh_configuration(&self) -> crate::control::Result<()> {
        let known = self.configuration.load().version;
        if let Some(snapshot) = self.control.configuration(known).await? {
            let version = snapshot.version;
            if self.configuration.advance(snapshot) {
                log_event!(info, "configuration_in_force", version = version);
            }
        }
        Ok(())
    }

    /// The queues of the pools: their usage, for the other entries, and the
    /// number of entries between which capacity is shared.
    pub fn queues(&self) -> &QueueTable {
        self.runner.admission().queues()
    }

    /// Takes in what an endpoint announces of its prefix cache.
    pub fn apply_cache_events(&self, endpoint: &str, events: &[CacheEvent]) {
        let router = self.runner.router();
        router.apply_cache_events(Instant::now(), endpoint, events);
    }

    /// Takes in endpoint time that other entries gave, by the shares in force.
    pub fn add_remote_usage(&self, now: Instant, reports: &[UsageReport]) {
        let configuration = self.configuration.load();
        let workspaces = &configuration.source.workspaces;
        let weight_of = |name: &str| {
            let share = workspaces.get(name).map_or(1, |workspace| workspace.share);
            share.max(1)
        };
        self.queues().add_remote_usage(now, reports, weight_of);
    }

    /// Whether the balancer may send requests here.
    pub fn is_ready(&self) -> bool {
        self.readiness() == ReadinessState::Ready && self.standing().admits()
    }

    /// How far the daemon is between its start and its stop.
    pub fn readiness(&self) -> ReadinessState {
        *self.readiness.borrow()
    }

    /// What the readiness gate looks at.
    pub(super) fn readiness_view(&self, now: Instant) -> ReadinessView {
        let directory = self.directory.snapshot();
        let configuration = self.configuration.load();
        let mut stages = configuration
            .pipelines()
            .flat_map(|plan| plan.stages.iter());
        let is_served = |pool: &str| {
            directory
                .pool(pool)
                .iter()
                .any(|record| record.takes_work(now))
        };
        ReadinessView {
            pools_served: self.standing().admits() && stages.all(|stage| is_served(&stage.pool)),
            directory_synced: false,
        }
    }

    /// Lets requests in, now that the listeners are there.
    pub(super) fn open(&self) {
        self.readiness.send_replace(ReadinessState::Ready);
    }

    /// Whether the configuration in force may be relied on.
    pub fn standing(&self) -> FollowerStanding {
        **self.standing.load()
    }

    /// Sets whether it may, and returns what was set before.
    pub(super) fn set_standing(&self, standing: FollowerStanding) -> FollowerStanding {
        *self.standing.swap(Arc::new(standing))
    }

    /// Runs a request, or refuses it when the daemon is full.
    pub async fn run(&self, request: PipelineRequest) -> Result<PipelineAnswer> {
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let _guard = ProgressGuard { node: self };
        if let Some((reason, retry_after)) = self.refusal(before) {
            if let Some(unstarted) = request.phase.into_unstarted() {
                return Err(unstarted.refuse(reason, retry_after).into());
            }
            unreachable!("a request that was never dispatched is unstarted");
        }
        self.runner.run(request).await
    }

    /// Why one more request is refused, when as many are in progress.
    fn refusal(&self, in_progress: u32) -> Option<(RefusalReason, Duration)> {
        if !self.standing().admits() {
            return Some((RefusalReason::StaleConfiguration, STALE_RETRY));
        }
        let is_full = in_progress >= self.max_requests;
        is_full.then_some((RefusalReason::TooMany, BUSY_RETRY))
    }

    /// What operators see.
    pub fn status(&self) -> EntryStatus {
        let now = Instant::now();
        let admission = self.runner.admission();
        let directory = self.directory.snapshot();
        let mut endpoints: Vec<_> = directory
            .endpoints()
            .map(|record| record.announcement.clone())
            .collect();
        endpoints.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        EntryStatus {
            name: self.settings.name.clone(),
            data_center: self.settings.data_center.clone(),
            ready: self.is_ready(),
            configuration_version: self.configuration.load().version,
            requests_in_progress: self.in_progress.load(Ordering::Relaxed),
            endpoints,
            costs: self.ledger.report(),
            queues: admission.queues().status(now),
            estimates: admission.estimates(now),
        }
    }
}
