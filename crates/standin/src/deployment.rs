use std::time::Duration;

use savorywalk::configuration::{
    Configuration, CredentialConfiguration, PipelineConfiguration, PoolConfiguration,
    StageConfiguration, StageKind, WorkspaceConfiguration, digest_hex,
};

use crate::{StandinKind, StandinOptions};

const ENGINES: usize = 9;
const STAGE_WORKERS: usize = 3;
const DEADLINE_MS: u32 = 7_000;
const MODEL: &str = "dispatch-8b";
const LARGE_SHARE: u32 = 4;

/// The two deployments of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The roadside association's.
    Roadside,
    /// The airport company's.
    Airport,
}

/// One stand-in of a deployment.
#[derive(Clone, Debug)]
pub struct PlannedEndpoint {
    /// How it behaves.
    pub options: StandinOptions,
}

/// Configuration and endpoints of a deployment at today's size.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Data centres.
    pub data_centers: Vec<String>,
    /// Configuration to start from.
    pub configuration: Configuration,
    /// Stand-ins to start.
    pub endpoints: Vec<PlannedEndpoint>,
    /// Pipelines, in the order in which a demo calls them.
    pub pipelines: Vec<String>,
}

/// The bearer token of a demo's workspace, operator or endpoint.
pub fn token_for(name: &str) -> String {
    format!("demo-{name}")
}

impl Deployment {
    /// The deployment of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "roadside" => Some(Self::Roadside),
            "airport" => Some(Self::Airport),
            _ => None,
        }
    }

    fn data_centers(self) -> [&'static str; 3] {
        match self {
            Self::Roadside => ["bole", "kality", "piassa"],
            Self::Airport => ["terminal", "gate-area", "dispatch"],
        }
    }

    fn workspaces(self) -> [(&'static str, u32); 5] {
        match self {
            Self::Roadside => [
                ("addis-dispatch", LARGE_SHARE),
                ("adama-dispatch", LARGE_SHARE),
                ("bishoftu-branch", 1),
                ("mojo-branch", 1),
                ("donor-office", 1),
            ],
            Self::Airport => [
                ("gate-agents", LARGE_SHARE),
                ("handling-desks", LARGE_SHARE),
                ("own-dispatch", 2),
                ("medical-desk", 1),
                ("shift-leads", 1),
            ],
        }
    }

    /// Plain services: pool and workers.
    fn services(self) -> [(&'static str, usize); 4] {
        match self {
            Self::Roadside => [
                ("dispatch-application", 3),
                ("crew-roster", 3),
                ("text-gateway", 5),
                ("fuel-ledger", 5),
            ],
            Self::Airport => [
                ("dispatch-application", 3),
                ("desk-portal", 3),
                ("chair-tracker", 4),
                ("notification", 5),
            ],
        }
    }

    /// Name of the pipeline whose last stage may run at most once, and its path.
    fn booking(self) -> (&'static str, &'static str) {
        match self {
            Self::Roadside => ("book-tow", "/v1/tows"),
            Self::Airport => ("assign-escort", "/v1/escorts"),
        }
    }

    /// The plan of this deployment.
    pub fn plan(self) -> DeploymentPlan {
        let mut plan = DeploymentPlan {
            data_centers: self.data_centers().map(String::from).to_vec(),
            configuration: Configuration::default(),
            endpoints: Vec::new(),
            pipelines: Vec::new(),
        };
        plan.add_pool("encoders", StageKind::Encode, STAGE_WORKERS);
        plan.add_pool("retrievers", StageKind::Retrieve, STAGE_WORKERS);
        plan.add_pool("rerankers", StageKind::Rerank, STAGE_WORKERS);
        plan.add_pool("engines", StageKind::Generate, ENGINES);
        for (pool, workers) in self.services() {
            plan.add_pool(pool, StageKind::Service, workers);
        }
        self.add_pipelines(&mut plan);
        self.add_owners(&mut plan);
        plan
    }

    fn add_pipelines(self, plan: &mut DeploymentPlan) {
        let encode = stage("encode", "encoders");
        let retrieve = stage("retrieve", "retrievers");
        let rerank = stage("rerank", "rerankers");
        let generate = StageConfiguration {
            model: MODEL.into(),
            max_tokens: 64,
            ..stage("generate", "engines")
        };
        let (booking, path) = self.booking();
        let book = StageConfiguration {
            non_idempotent: true,
            path: path.into(),
            ..stage("book", "dispatch-application")
        };
        let lookup = StageConfiguration {
            path: "/v1/lookup".into(),
            ..stage("lookup", self.services()[1].0)
        };
        plan.add_pipeline(
            "summarise",
            vec![encode.clone(), retrieve.clone(), rerank, generate.clone()],
        );
        plan.add_pipeline("brief", vec![encode, retrieve, generate.clone()]);
        plan.add_pipeline("draft", vec![lookup, generate.clone()]);
        plan.add_pipeline(booking, vec![generate, book]);
    }

    fn add_owners(self, plan: &mut DeploymentPlan) {
        for (name, share) in self.workspaces() {
            let workspace = WorkspaceConfiguration {
                share,
                token_sha256: vec![digest_hex(&token_for(name))],
                pipelines: Vec::new(),
            };
            plan.configuration.workspaces.insert(name.into(), workspace);
        }
        let credential = |name: &str| CredentialConfiguration {
            token_sha256: vec![digest_hex(&token_for(name))],
        };
        let configuration = &mut plan.configuration;
        configuration
            .operators
            .insert("operator".into(), credential("operator"));
        configuration
            .endpoint_credentials
            .insert("endpoint".into(), credential("endpoint"));
    }
}

impl DeploymentPlan {
    fn add_pool(&mut self, pool: &str, kind: StageKind, workers: usize) {
        let configuration = PoolConfiguration {
            kind: kind.into(),
            ..PoolConfiguration::default()
        };
        self.configuration.pools.insert(pool.into(), configuration);
        for number in 1..=workers {
            let data_center = &self.data_centers[(number - 1) % self.data_centers.len()];
            let options = options(pool, kind, number, data_center);
            self.endpoints.push(PlannedEndpoint { options });
        }
    }

    fn add_pipeline(&mut self, name: &str, stages: Vec<StageConfiguration>) {
        let pipeline = PipelineConfiguration {
            deadline_ms: DEADLINE_MS,
            stages,
        };
        self.configuration.pipelines.insert(name.into(), pipeline);
        self.pipelines.push(name.into());
    }
}

fn stage(name: &str, pool: &str) -> StageConfiguration {
    StageConfiguration {
        name: name.into(),
        pool: pool.into(),
        ..StageConfiguration::default()
    }
}

fn options(pool: &str, kind: StageKind, number: usize, data_center: &str) -> StandinOptions {
    let (kind, base_ms, slots) = match kind {
        StageKind::Encode => (StandinKind::Encoder, 4, 16),
        StageKind::Retrieve => (StandinKind::Retriever, 8, 16),
        StageKind::Rerank => (StandinKind::Reranker, 6, 16),
        StageKind::Generate => (StandinKind::Engine, 20, 8),
        StageKind::Service | StageKind::Unspecified => (StandinKind::Service, 5, 32),
    };
    let model = match kind {
        StandinKind::Engine => MODEL.to_string(),
        _ => String::new(),
    };
    StandinOptions {
        name: format!("{pool}-{number}"),
        kind,
        pool: pool.into(),
        data_center: data_center.into(),
        model,
        slots,
        base_time: Duration::from_millis(base_ms),
        time_per_kilobyte: Duration::from_micros(500),
        time_per_token: Duration::from_millis(2),
        ..StandinOptions::default()
    }
}
