use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use savorywalk::configuration::ConfigurationSnapshot;
use savorywalk::cost::CostLine;
use savorywalk::entry::EntryDaemon;
use savorywalk::settings;
use savorywalk_standin::{
    AnnounceTarget, DeploymentPlan, EndpointServer, start_announcer, token_for,
};
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::usage_exchange::UsageExchange;
use crate::{BenchError, Result, bench_plan};

const FREE_PORT: &str = "127.0.0.1:0";
const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Entries and stand-ins of one run.
#[derive(Debug)]
pub(crate) struct BenchDeployment {
    pub(crate) entries: Vec<EntryDaemon>,
    pub(crate) endpoints: Vec<Arc<EndpointServer>>,
    announcers: Vec<JoinHandle<()>>,
    exchange: JoinHandle<()>,
}

/// Where a deployment's parts run, and how its entries route.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentHost {
    pub(crate) entry: Handle,
    pub(crate) standin: Handle,
    pub(crate) routing: String,
    pub(crate) entries: usize,
}

impl BenchDeployment {
    /// Starts everything and waits until every entry knows every endpoint.
    pub(crate) async fn start(plan: &DeploymentPlan, host: &DeploymentHost) -> Result<Self> {
        let mut entries = Vec::new();
        for number in 0..host.entries {
            entries.push(start_entry(plan, host, number).await?);
        }
        let target = AnnounceTarget {
            entries: entries.iter().map(EntryDaemon::endpoints_address).collect(),
            token: token_for("endpoint"),
            everywhere: true,
            address: None,
        };
        let endpoints = start_endpoints(plan, host).await?;
        let announcers = endpoints.iter().map(|server| {
            let _inside = host.standin.enter();
            start_announcer(server, target.clone())
        });
        let nodes = entries.iter().map(|entry| Arc::clone(entry.node()));
        let exchange = UsageExchange::new(nodes.collect(), plan);
        let deployment = Self {
            announcers: announcers.collect(),
            exchange: host.entry.spawn(exchange.run()),
            entries,
            endpoints,
        };
        deployment.wait_for_endpoints().await?;
        Ok(deployment)
    }

    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        entries.map(EntryDaemon::callers_address).collect()
    }

    pub(crate) fn engines(&self) -> Vec<Arc<EndpointServer>> {
        let engines = self.pool(bench_plan::ENGINES).into_iter();
        engines.cloned().collect()
    }

    pub(crate) fn pool(&self, name: &str) -> Vec<&Arc<EndpointServer>> {
        let endpoints = self.endpoints.iter();
        endpoints
            .filter(|server| server.options().pool == name)
            .collect()
    }

    /// Cost by workspace, pipeline and stage at all entries.
    pub(crate) fn costs(&self) -> Vec<CostLine> {
        let entries = self.entries.iter();
        entries
            .flat_map(|entry| entry.node().status().costs)
            .collect()
    }

    /// Stops announcing, then the entries; endpoints go when this is dropped.
    pub(crate) async fn stop(self) {
        self.exchange.abort();
        for announcer in &self.announcers {
            announcer.abort();
        }
        for entry in self.entries {
            if !entry.stop().await {
                log::warn!("event=entry_cut_requests");
            }
        }
    }

    async fn wait_for_endpoints(&self) -> Result<()> {
        let deadline = Instant::now() + ANNOUNCEMENT_WAIT;
        for entry in &self.entries {
            let directory = entry.node().directory();
            while directory.snapshot().endpoints().count() < self.endpoints.len() {
                if Instant::now() > deadline {
                    return Err(BenchError::NoEndpoints);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

async fn start_entry(
    plan: &DeploymentPlan,
    host: &DeploymentHost,
    number: usize,
) -> Result<EntryDaemon> {
    let data_center = &plan.data_centers[number % plan.data_centers.len()];
    let settings = settings::parse(&format!(
        "[node]\nname = entry-{number}\ndata_center = {data_center}\n\
         [callers]\naddress = {FREE_PORT}\n[operators]\naddress = {FREE_PORT}\n\
         [endpoints]\naddress = {FREE_PORT}\n\
         [entry]\nrouting = {}\ndrain_notice_ms = 0\ndrain_timeout_ms = 1000\n",
        host.routing
    ))?;
    let configuration = ConfigurationSnapshot::build(1, plan.configuration.clone())?;
    let start = EntryDaemon::start(settings, configuration);
    Ok(host.entry.spawn(start).await??)
}

async fn start_endpoints(
    plan: &DeploymentPlan,
    host: &DeploymentHost,
) -> Result<Vec<Arc<EndpointServer>>> {
    let mut endpoints = Vec::new();
    for planned in &plan.endpoints {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let start = EndpointServer::start(planned.options.clone(), address);
        endpoints.push(Arc::new(host.standin.spawn(start).await??));
    }
    Ok(endpoints)
}
