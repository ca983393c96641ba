use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use savorywalk::configuration::ConfigurationSnapshot;
use savorywalk::entry::EntryDaemon;
use savorywalk::settings::{self, DaemonSettings};
use savorywalk_standin::{
    AnnounceTarget, Deployment, DeploymentPlan, EndpointFault, EndpointServer, start_announcer,
    token_for,
};

use crate::{CommandError, Result};

const FREE_PORT: &str = "127.0.0.1:0";
const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CONFIGURATION_VERSION: u64 = 1;

/// A whole deployment in this process.
pub(crate) struct DemoDeployment {
    pub(crate) plan: DeploymentPlan,
    pub(crate) entry: EntryDaemon,
    _endpoints: Vec<Arc<EndpointServer>>,
}

impl DemoDeployment {
    /// Starts an entry and the stand-ins; those of `failing_pool` fail at
    /// every request.
    pub(crate) async fn start(deployment: Deployment, failing_pool: Option<&str>) -> Result<Self> {
        let plan = deployment.plan();
        check_pool(&plan, failing_pool)?;
        let source = plan.configuration.clone();
        let configuration = ConfigurationSnapshot::build(CONFIGURATION_VERSION, source)?;
        let entry = EntryDaemon::start(demo_settings(&plan)?, configuration).await?;
        let target = AnnounceTarget {
            entries: vec![entry.endpoints_address()],
            token: token_for("endpoint"),
            everywhere: true,
            address: None,
        };
        let mut endpoints = Vec::new();
        for planned in &plan.endpoints {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Arc::new(EndpointServer::start(planned.options.clone(), address).await?);
            if Some(planned.options.pool.as_str()) == failing_pool {
                server.faults().set(EndpointFault::Fail);
            }
            start_announcer(&server, target.clone());
            endpoints.push(server);
        }
        wait_for_endpoints(&entry, endpoints.len()).await;
        Ok(Self {
            plan,
            entry,
            _endpoints: endpoints,
        })
    }
}

fn check_pool(plan: &DeploymentPlan, pool: Option<&str>) -> Result<()> {
    let pools = &plan.configuration.pools;
    match pool {
        Some(pool) if !pools.contains_key(pool) => Err(CommandError::Pool {
            pool: pool.into(),
            known: pools.keys().cloned().collect::<Vec<_>>().join(", "),
        }),
        Some(_) | None => Ok(()),
    }
}

fn demo_settings(plan: &DeploymentPlan) -> Result<DaemonSettings> {
    let text = format!(
        "[node]\nname = demo\ndata_center = {}\n[callers]\naddress = {FREE_PORT}\n\
         [operators]\naddress = {FREE_PORT}\n[endpoints]\naddress = {FREE_PORT}\n[entry]\n",
        plan.data_centers[0]
    );
    Ok(settings::parse(&text)?)
}

async fn wait_for_endpoints(entry: &EntryDaemon, count: usize) {
    let deadline = Instant::now() + ANNOUNCEMENT_WAIT;
    while entry.node().directory().snapshot().endpoints().count() < count {
        if Instant::now() > deadline {
            log::warn!("event=endpoints_missing wanted={count}");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
