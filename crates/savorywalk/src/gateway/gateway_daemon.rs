use std::net::SocketAddrV4;

use super::call_handler::{CallHandler, CallHandlerKind};
use super::crash_detector::CrashDetector;
use super::endpoint_paths::{EndpointNetwork, TcpNetwork};
use super::gateway_node::{GatewayNode, NodeParts};
use super::permit_gate::ColdBounds;
use super::region_map::RegionMap;
use super::{GatewayError, Result, RetryLimits, WireFormat, cluster_hub};
use crate::api::{ClientIntake, HttpServer};
use crate::prelude::*;
use crate::registry::{EntryCapacity, EntryFollower, FollowOptions};
use crate::settings::{ClusterSettings, DaemonLimits, DaemonSettings, GatewaySettings};
use crate::telemetry::MetricSet;
use crate::transport::{LinkHub, LinkThread};

/// Share of the bound on revoked keys for which a view counts as fresh; the rest covers the
/// clock drift between two VMs in that time.
const KEY_AGE_PERMILLE: u32 = 900;

/// Time after SIGTERM for which new connections are still accepted. The platform polls
/// readiness once a second and acts on the second negative answer.
const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Part of the stop time left unused, so that the process exits by itself before that time is
/// over.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// A running entry that routes requests by host and path.
#[derive(Debug)]
pub struct GatewayDaemon {
    hub: LinkHub,
    node: Arc<GatewayNode>,
    callers: HttpServer,
    probes: HttpServer,
    _metrics: Option<HttpServer>,
    stop_time: Duration,
    control_hub: LinkHub,
    /// Dropped last, because the links to control run on this thread.
    _links: LinkThread,
}

impl GatewayDaemon {
    /// Opens the listeners and starts following the registry.
    ///
    /// # Errors
    ///
    /// When a settings section is missing or an address can't be used.
    pub async fn start(settings: &DaemonSettings, wire: Arc<dyn WireFormat>) -> Result<Self> {
        Self::start_on(settings, wire, Arc::new(TcpNetwork)).await
    }

    /// Like [`start`](Self::start), with another network to endpoints.
    ///
    /// # Errors
    ///
    /// As for [`start`](Self::start).
    pub async fn start_on(
        settings: &DaemonSettings,
        wire: Arc<dyn WireFormat>,
        network: Arc<dyn EndpointNetwork>,
    ) -> Result<Self> {
        let missing_section = GatewayError::MissingSection;
        let node_settings = settings.node.as_ref().ok_or(missing_section("node"))?;
        let cluster = settings
            .cluster
            .as_ref()
            .ok_or(missing_section("cluster"))?;
        let gateway = settings
            .gateway
            .as_ref()
            .ok_or(missing_section("gateway"))?;
        let links = LinkThread::start().map_err(GatewayError::Thread)?;
        let key_bound = Duration::from_millis(gateway.key_bound_ms.into());
        let max_key_age = key_bound * KEY_AGE_PERMILLE / 1_000;
        let metric_set = Arc::new(MetricSet::new()?);
        // Binds its configured port before the other links, which bind any free port.
        let hub = cluster_hub::start_occasional(cluster)?;
        let announce_interval = Duration::from_millis(gateway.announce_interval_ms.into());
        let capacity = EntryCapacity::from_cores(gateway.processor_cores);
        let (control_hub, follower) =
            start_follower(&links, cluster, max_key_age, announce_interval, capacity)?;
        let crash_detector = start_crash_detector(&links, &follower, &network, &metric_set);
        let features = wire.load_features(&gateway.platform_terms);
        let features = features.with_settings(gateway);
        let limits = DaemonLimits::new(settings);
        let intake = ClientIntake::new(&limits, metric_set.meter());
        let node = GatewayNode::start(NodeParts {
            features,
            hub: hub.clone(),
            network,
            wire,
            follower,
            data_center: node_settings.data_center.clone(),
            max_key_age,
            retry_limits: retry_limits(gateway),
            metric_set,
            crash_detector,
            cold_bounds: ColdBounds {
                overage: gateway.cold_overage,
                slack: gateway.cold_slack,
            },
            region_map: RegionMap::parse(&cluster.data_centers)?,
            announce_interval,
            limits,
        });
        let serve_probes = |address| {
            let connections = limits.probe_connections;
            serve(
                address,
                &node,
                CallHandlerKind::Probes,
                &intake,
                connections,
            )
        };
        let callers = serve(
            &gateway.callers,
            &node,
            CallHandlerKind::Callers,
            &intake,
            limits.connections,
        )
        .await?;
        let probes = serve_probes(&gateway.probes).await?;
        let metrics = match gateway.metrics.as_str() {
            "" => None,
            address => Some(serve_probes(address).await?),
        };
        log_event!(
            info,
            "gateway_started",
            node = node_settings.name,
            data_center = node_settings.data_center,
            callers = gateway.callers,
            features = format!("{features:?}")
        );
        Ok(Self {
            hub,
            node,
            callers,
            probes,
            _metrics: metrics,
            stop_time: Duration::from_millis(gateway.stop_time_ms.into()),
            control_hub,
            _links: links,
        })
    }

    /// Applies the seeds of newer settings, the only setting that can change while the daemon
    /// runs.
    pub fn reload(&self, settings: &DaemonSettings) {
        let seeds = settings.cluster.as_ref().map(cluster_hub::seeds);
        match seeds {
            Some(Ok(seeds)) => {
                log_event!(info, "settings_reloaded", seeds = seeds.len());
                self.node.follower.set_seeds(seeds);
            }
            Some(Err(error)) => log_event!(error, "settings_not_reloaded", reason = error),
            None => log_event!(
                error,
                "settings_not_reloaded",
                reason = "no [cluster] section"
            ),
        }
    }

    /// Stops gracefully: reports not ready, then closes the listeners, then the links, once what
    /// it does for other entries is done. Returns whether every request was answered.
    pub async fn stop(self) -> bool {
        let began = Instant::now();
        let usable = self.stop_time.saturating_sub(STOP_MARGIN);
        self.node.stop.begin(began, usable);
        self.node.follower.leave();
        log_event!(info, "gateway_draining");
        tokio::time::sleep(DRAIN_DELAY.min(self.stop_time / 2)).await;
        let left = self.stop_time.saturating_sub(began.elapsed() + STOP_MARGIN);
        let finished = self.callers.close(left).await;
        let left = self.stop_time.saturating_sub(began.elapsed() + STOP_MARGIN);
        self.node.relay_service.drain(left).await;
        let left = self.stop_time.saturating_sub(began.elapsed() + STOP_MARGIN);
        let unanswered = self.hub.finish_served(left).await;
        if unanswered > 0 {
            log_event!(info, "entry_calls_cut", count = unanswered);
        }
        log_event!(info, "gateway_closed", finished = finished);
        drop(self.probes);
        tokio::join!(
            cluster_hub::close(self.control_hub),
            cluster_hub::close(self.hub)
        );
        finished
    }
}

/// Starts the links to control and the follower on the link thread, where they keep up while
/// requests occupy their runtime.
///
/// Links between entries stay on the requests' runtime. On a separate thread they accepted
/// plans that the runtime had no time to execute: in bursts of three and four times the usual
/// load, 0.42 of the utility was served instead of 0.51.
fn start_follower(
    links: &LinkThread,
    cluster: &ClusterSettings,
    max_age: Duration,
    announce_interval: Duration,
    capacity: EntryCapacity,
) -> Result<(LinkHub, Arc<EntryFollower>)> {
    let _entered = links.enter();
    let hub = cluster_hub::start_dialler(cluster)?;
    let options = FollowOptions {
        seeds: cluster_hub::seeds(cluster)?,
        order_key: address_hash(&cluster.address),
        max_age,
        announce_interval,
        capacity,
    };
    let follower = EntryFollower::start(hub.clone(), options);
    Ok((hub, follower))
}

/// Starts the crash detector on the link thread.
fn start_crash_detector(
    links: &LinkThread,
    follower: &Arc<EntryFollower>,
    network: &Arc<dyn EndpointNetwork>,
    metrics: &MetricSet,
) -> CrashDetector {
    let _entered = links.enter();
    CrashDetector::start(follower, Arc::clone(network), metrics.meter())
}

async fn serve(
    address: &str,
    node: &Arc<GatewayNode>,
    kind: CallHandlerKind,
    intake: &ClientIntake,
    max_connections: u32,
) -> Result<HttpServer> {
    let handler = CallHandler {
        node: Arc::clone(node),
        kind,
    };
    cluster_hub::listen(address, handler, intake, max_connections).await
}

/// Hashes the address of an entry, to distribute entries over the registry daemons.
fn address_hash(address: &str) -> u64 {
    let ip = address.parse::<SocketAddrV4>().map(|address| *address.ip());
    let ip = ip.map_or(0, u32::from);
    u64::from(ip.wrapping_mul(0x9e37_79b9) >> 8)
}

fn retry_limits(settings: &GatewaySettings) -> RetryLimits {
    RetryLimits {
        window: Duration::from_millis(settings.retry_window_ms),
        share: settings.retry_share,
        extra: settings.retry_extra,
    }
}

#[cfg(test)]
#[path = "gateway_daemon_tests.rs"]
mod tests;
