use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use savorywalk_standin::{
    AnnounceTarget, Deployment, EndpointFault, EndpointServer, StandinOptions, start_announcer,
    token_for,
};

use super::http_call::ListenerKind;
use super::serve_test::ServeProcess;

/// Stand-ins of the roadside deployment, announced to one daemon.
pub struct EndpointSet {
    servers: Vec<Arc<EndpointServer>>,
}

impl EndpointSet {
    /// Starts the first `count` stand-ins of each pool and waits until the
    /// daemon knows them all.
    pub async fn start(daemon: &ServeProcess, pools: &[(&str, usize)]) -> Self {
        let target = AnnounceTarget {
            entries: vec![daemon.address(ListenerKind::Endpoints)],
            token: token_for("endpoint"),
            everywhere: true,
            address: None,
        };
        let plan = Deployment::Roadside.plan();
        let mut servers = Vec::new();
        for (pool, count) in pools {
            let members = plan.endpoints.iter().map(|planned| &planned.options);
            let members = members.filter(|options| options.pool == *pool);
            for options in members.take(*count) {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let server = EndpointServer::start(quick(options), address)
                    .await
                    .unwrap();
                servers.push(Arc::new(server));
            }
        }
        for server in &servers {
            start_announcer(server, target.clone());
        }
        let set = Self { servers };
        set.wait_until_known(daemon).await;
        set
    }

    async fn wait_until_known(&self, daemon: &ServeProcess) {
        loop {
            let call = daemon.call(ListenerKind::Operators, "GET", "/v1/status");
            let status = call.token(&token_for("operator")).send().await.json();
            if status["endpoints"].as_array().map(Vec::len) == Some(self.servers.len()) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    pub fn servers(&self) -> &[Arc<EndpointServer>] {
        &self.servers
    }

    /// The first member of a pool.
    pub fn first(&self, pool: &str) -> &EndpointServer {
        let mut servers = self.servers.iter();
        servers
            .find(|server| server.options().pool == pool)
            .unwrap()
    }

    /// Makes the first member of a pool misbehave.
    pub fn fault(&self, pool: &str, fault: EndpointFault) {
        self.first(pool).faults().set(fault);
    }

    /// How often a stage of a request ran, over all endpoints.
    pub fn runs(&self, request: &str, stage: usize) -> u64 {
        let name = format!("{request}/{stage}");
        let runs = self.servers.iter().map(|server| server.runs().runs(&name));
        runs.sum()
    }

    /// Requests that reached any endpoint.
    pub fn seen(&self) -> u64 {
        self.servers
            .iter()
            .map(|server| server.counts().seen())
            .sum()
    }
}

/// As planned, but with no time of its own, so that a test takes little.
fn quick(options: &StandinOptions) -> StandinOptions {
    StandinOptions {
        base_time: Duration::ZERO,
        time_per_kilobyte: Duration::ZERO,
        time_per_token: Duration::ZERO,
        ..options.clone()
    }
}
