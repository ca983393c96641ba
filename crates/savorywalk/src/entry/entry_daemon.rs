use std::sync::atomic::AtomicU32;

use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{
    EntryNode, FollowerStanding, ReadinessGate, ReadinessState, Result, entry_gauges, queue_gauges,
};
use crate::admission::{AdmissionControl, AdmissionMode};
use crate::api::{ApiHandler, ClientIntake, HttpServer, ListenerKind, ServerError};
use crate::attempt::{EndpointClient, StageDispatcher};
use crate::claims::{ClaimClient, LocalClaims};
use crate::configuration::{ConfigurationCell, ConfigurationReport, ConfigurationSnapshot};
use crate::control::{ControlClient, ControlError};
use crate::cost::CostLedger;
use crate::directory::{DirectoryLink, start_directory};
use crate::http_bodies::BodyMemory;
use crate::pipeline::PipelineRunner;
use crate::prelude::*;
use crate::routing::{EndpointRouter, RoutingPolicy};
use crate::settings::{DaemonLimits, DaemonSettings, EntrySettings, ListenerSettings};
use crate::telemetry::{AttemptMetrics, MetricError, MetricSet};
use crate::transport::{InvalidPeerName, LinkError};

const DEFAULT_MAX_REQUESTS: u32 = 4096;
/// Parts into which the connections of a daemon are divided between its listeners.
const PLACE_PARTS: u32 = 8;
/// Longest wait for operators' and endpoints' calls at a stop; they are short,
/// and each may be sent again elsewhere.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a started entry looks whether it is warm.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// Why the entry role could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener could not be opened.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricError),
    /// An actor could not be started.
    #[error("an actor could not be started: {0}; start the daemon again")]
    Actor(String),
    /// The settings lack a section.
    #[error("the settings lack [{0}]; run `savorywalk check` on them")]
    MissingSection(&'static str),
    /// The links could not be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A peer in the settings can't be one.
    #[error(transparent)]
    Peer(#[from] InvalidPeerName),
    /// The control role could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The empty configuration, or another one, is refused.
    #[error(transparent)]
    Configuration(#[from] ConfigurationReport),
}

/// What decides for an entry, and the configuration that it starts with.
#[derive(Debug)]
pub(super) struct EntryParts {
    pub(super) configuration: ConfigurationSnapshot,
    pub(super) control: ControlClient,
    pub(super) claims: ClaimClient,
    pub(super) standing: FollowerStanding,
    /// How the directory reaches the other entries; none for a daemon alone.
    pub(super) link: Option<DirectoryLink>,
}

/// A running entry with its listeners.
#[derive(Debug)]
pub struct EntryDaemon {
    node: Arc<EntryNode>,
    callers: HttpServer,
    operators: HttpServer,
    endpoints: HttpServer,
    entry: EntrySettings,
}

impl EntryDaemon {
    /// Opens the listeners and starts to serve `configuration`, with a control
    /// of its own that ends with the process.
    pub async fn start(
        settings: DaemonSettings,
        configuration: ConfigurationSnapshot,
    ) -> Result<Self> {
        let name = settings.node.as_ref().map(|node| node.name.clone());
        let parts = EntryParts {
            control: ControlClient::local(&configuration),
            claims: ClaimClient::Local(LocalClaims::new(&name.unwrap_or_default())),
            standing: FollowerStanding::Confirmed,
            configuration,
            link: None,
        };
        Self::start_with(settings, parts).await
    }

    /// Opens the listeners before what decides for them.
    pub(super) async fn start_with(settings: DaemonSettings, parts: EntryParts) -> Result<Self> {
        let missing = EntryError::MissingSection;
        let callers = settings.callers.as_ref().ok_or(missing("callers"))?;
        let operators = settings.operators.as_ref().ok_or(missing("operators"))?;
        let endpoints = settings.endpoints.as_ref().ok_or(missing("endpoints"))?;
        let node = build_node(&settings, parts).await?;
        let daemon = Self {
            callers: serve(callers, ListenerKind::Callers, &node).await?,
            operators: serve(operators, ListenerKind::Operators, &node).await?,
            endpoints: serve(endpoints, ListenerKind::Endpoints, &node).await?,
            node,
            entry: settings.entry.unwrap_or_default(),
        };
        let warm_up = Duration::from_millis(daemon.entry.warm_up_ms.into());
        warm_up_node(&daemon.node, ReadinessGate::new(Instant::now(), warm_up));
        log_event!(
            info,
            "entry_ready",
            node = daemon.node.name(),
            callers = daemon.callers.address(),
            operators = daemon.operators.address(),
            endpoints = daemon.endpoints.address(),
        );
        Ok(daemon)
    }

    /// What the request path shares.
    pub fn node(&self) -> &Arc<EntryNode> {
        &self.node
    }

    /// Address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address for endpoints.
    pub fn endpoints_address(&self) -> SocketAddr {
        self.endpoints.address()
    }

    /// Stops gracefully: not ready, wait for the balancer, finish what is in
    /// progress, close. Tells whether every request finished.
    ///
    /// The endpoints' listener outlives the callers': requests in progress
    /// still need endpoints whose leases are renewed.
    pub async fn stop(self) -> bool {
        self.node.readiness.send_replace(ReadinessState::Stopping);
        log_event!(info, "entry_draining", node = self.node.name());
        tokio::time::sleep(Duration::from_millis(self.entry.drain_notice_ms.into())).await;
        let timeout = Duration::from_millis(self.entry.drain_timeout_ms.into());
        let answered = self.callers.close(timeout).await;
        self.node.detached.close();
        let detached = tokio::time::timeout(timeout, self.node.detached.wait()).await;
        let finished = answered && detached.is_ok();
        let (operators, endpoints) = tokio::join!(
            self.operators.close(CLOSE_TIMEOUT),
            self.endpoints.close(CLOSE_TIMEOUT)
        );
        self.node.directory.stop();
        log_event!(
            info,
            "entry_closed",
            node = self.node.name(),
            finished = finished,
            operators = operators,
            endpoints = endpoints,
        );
        finished
    }
}

/// Makes the node ready as soon as it is warm, unless it is stopped before.
fn warm_up_node(node: &Arc<EntryNode>, gate: ReadinessGate) {
    if open_gate(node, gate) {
        return;
    }
    let node = Arc::downgrade(node);
    tokio::spawn(async move {
        let mut looks = tokio::time::interval(READINESS_INTERVAL);
        loop {
            looks.tick().await;
            let is_over = node.upgrade().is_none_or(|node| open_gate(&node, gate));
            if is_over {
                return;
            }
        }
    });
}

/// Tells whether there is nothing left to wait for.
fn open_gate(node: &EntryNode, gate: ReadinessGate) -> bool {
    let now = Instant::now();
    if !gate.is_warm(now, node.readiness_view(now)) {
        return node.readiness() == ReadinessState::Stopping;
    }
    let opened = node.readiness.send_if_modified(|state| {
        let is_warming = *state == ReadinessState::Warming;
        if is_warming {
            *state = ReadinessState::Ready;
        }
        is_warming
    });
    if opened {
        log_event!(info, "entry_warm", node = node.name());
    }
    true
}

pub(super) async fn serve(
    settings: &ListenerSettings,
    kind: ListenerKind,
    node: &Arc<EntryNode>,
) -> Result<HttpServer> {
    let mut settings = settings.clone();
    bound_connections(&mut settings, kind, node.max_connections);
    let listener = HttpServer::bind(&settings).await?;
    let handler = ApiHandler::new(kind, Arc::clone(node), &settings);
    Ok(listener.serve(handler, node.intake().clone()))
}

/// Bounds the connections of a listener by its part of the daemon's.
fn bound_connections(settings: &mut ListenerSettings, kind: ListenerKind, of_daemon: u32) {
    let limit = (of_daemon / PLACE_PARTS * place_parts(kind)).max(1);
    if limit < settings.max_connections {
        log_event!(
            info,
            "listener_bounded",
            listener = kind.name(),
            connections = limit,
            max_connections = settings.max_connections
        );
        settings.max_connections = limit;
    }
}

/// Parts of a daemon's connections that a listener may have, of [`PLACE_PARTS`].
const fn place_parts(kind: ListenerKind) -> u32 {
    match kind {
        ListenerKind::Callers => 4,
        ListenerKind::Endpoints => 3,
        ListenerKind::Operators => 1,
    }
}

/// Makes what the request path of one daemon shares; it is not open yet.
pub(super) async fn build_node(
    settings: &DaemonSettings,
    parts: EntryParts,
) -> Result<Arc<EntryNode>> {
    let node_settings = settings.node.clone();
    let node_settings = node_settings.ok_or(EntryError::MissingSection("node"))?;
    let entry = settings.entry.clone().unwrap_or_default();
    let directory = start_directory(parts.link).await;
    let directory = directory.map_err(|error| EntryError::Actor(error.to_string()))?;
    let metrics = Arc::new(MetricSet::new()?);
    let limits = DaemonLimits::new(settings);
    let intake = ClientIntake::new(&limits, metrics.meter());
    let request_memory = BodyMemory::new(limits.request_bytes);
    request_memory.register_metrics(metrics.meter(), "savorywalk_entry_request");
    let ledger = Arc::new(CostLedger::default());
    let policy = RoutingPolicy::from_name(&entry.routing).unwrap_or(RoutingPolicy::Adaptive);
    let router = EndpointRouter::new(policy, &node_settings.data_center);
    let client = EndpointClient::default();
    let attempt_metrics = AttemptMetrics::new(metrics.meter());
    let dispatcher = StageDispatcher::new(router, client, directory.clone(), attempt_metrics);
    let admission = AdmissionControl::new(AdmissionMode::for_routing(policy), directory.clone());
    let runner = PipelineRunner::new(
        dispatcher,
        admission,
        Arc::clone(&ledger),
        Arc::clone(&metrics),
    );
    let node = Arc::new(EntryNode {
        control: parts.control,
        claims: parts.claims,
        detached: TaskTracker::new(),
        settings: node_settings,
        configuration: ConfigurationCell::new(parts.configuration),
        directory,
        runner,
        metrics,
        request_memory,
        intake,
        ledger,
        readiness: watch::Sender::new(ReadinessState::Warming),
        standing: ArcSwap::from_pointee(parts.standing),
        in_progress: AtomicU32::new(0),
        max_connections: limits.connections,
        max_requests: match entry.max_requests {
            0 => DEFAULT_MAX_REQUESTS,
            given => given,
        },
    });
    entry_gauges::register(&node);
    queue_gauges::register(&node);
    Ok(node)
}
