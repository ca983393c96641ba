use super::region_map::RegionMap;
use super::registry_handler::RegistryHandler;
use super::registry_metrics::RegistryMetrics;
use super::{GatewayError, Result, WireFormat, cluster_hub};
use crate::api::{ClientIntake, HttpServer};
use crate::control::VoterRoster;
use crate::http_bodies::BodyMemory;
use crate::prelude::*;
use crate::registry::{RegistryNode, RegistryOptions};
use crate::settings::{DaemonLimits, DaemonSettings};
use crate::transport::LinkHub;

/// Time allowed for calls in progress when the daemon stops; each takes at most a second.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A running registry daemon.
#[derive(Debug)]
pub struct RegistryDaemon {
    hub: LinkHub,
    node: Arc<RegistryNode>,
    server: HttpServer,
    _metrics: Option<HttpServer>,
}

impl RegistryDaemon {
    /// Opens the data folder and the listener.
    ///
    /// # Errors
    ///
    /// When a settings section is missing or an address can't be used. A data folder that
    /// can't be used is no error: it is retried forever, since its disk may recover.
    pub async fn start(settings: &DaemonSettings, wire: Arc<dyn WireFormat>) -> Result<Self> {
        let missing_section = GatewayError::MissingSection;
        let node_settings = settings.node.as_ref().ok_or(missing_section("node"))?;
        let cluster = settings
            .cluster
            .as_ref()
            .ok_or(missing_section("cluster"))?;
        let registry = settings
            .registry
            .as_ref()
            .ok_or(missing_section("registry"))?;
        let region_map = RegionMap::parse(&cluster.data_centers)?;
        let hub = cluster_hub::start(cluster)?;
        let options = RegistryOptions {
            folder: registry.data_folder.clone().into(),
            roster: VoterRoster::Discovered {
                seeds: cluster_hub::seeds(cluster)?,
                may_found: cluster.first_start,
            },
            announce_interval: Duration::from_millis(registry.announce_interval_ms.into()),
            max_endpoints: registry.max_endpoints as usize,
            data_centers: region_map.data_centers().cloned().collect(),
        };
        let node = RegistryNode::start(hub.clone(), options);
        let metrics = RegistryMetrics::new()?;
        let limits = DaemonLimits::new(settings);
        let intake = ClientIntake::new(&limits, metrics.meter());
        let call_memory = BodyMemory::new(limits.request_bytes);
        call_memory.register_metrics(metrics.meter(), "savorywalk_registry_call");
        let handler = RegistryHandler {
            call_memory,
            limits: limits.call,
            wire,
            node: Arc::clone(&node),
            fault_counter: Arc::default(),
            metrics: metrics.clone(),
            address: registry.address.parse().ok(),
        };
        let server =
            cluster_hub::listen(&registry.address, handler, &intake, limits.connections).await?;
        let metrics = match registry.metrics.as_str() {
            "" => None,
            address => Some(
                cluster_hub::listen(address, metrics, &intake, limits.probe_connections).await?,
            ),
        };
        log_event!(
            info,
            "registry_started",
            node = node_settings.name,
            data_center = node_settings.data_center,
            address = registry.address,
            first_start = cluster.first_start
        );
        Ok(Self {
            hub,
            node,
            server,
            _metrics: metrics,
        })
    }

    /// Hands over leadership and stops. Returns whether every call was answered.
    pub async fn stop(self) -> bool {
        log_event!(info, "registry_stopping");
        self.node.stop().await;
        let finished = self.server.close(CLOSE_TIMEOUT).await;
        log_event!(info, "registry_closed", finished = finished);
        cluster_hub::close(self.hub).await;
        finished
    }
}
