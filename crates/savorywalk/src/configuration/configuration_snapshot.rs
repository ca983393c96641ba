use super::{
    Configuration, ConfigurationError, ConfigurationProblem, ConfigurationReport, Result,
    StageKind, TokenDigest,
};
use crate::claims::{DEFAULT_RETENTION, MAX_RETENTION, MIN_RETENTION};
use crate::prelude::*;

const MAX_DEADLINE_MS: u32 = 600_000;
const MAX_STAGES: usize = 16;
const MAX_NAME_BYTES: usize = 64;
const DEFAULT_MAX_TOKENS: u32 = 256;
const DEFAULT_TOP_DOCUMENTS: u32 = 8;
const DEFAULT_MAX_LEASE: Duration = Duration::from_secs(15);

/// One checked configuration with its version, in the form that the request
/// path reads: names resolved, defaults filled in.
#[derive(Debug)]
pub struct ConfigurationSnapshot {
    /// Number of the version; 0 is the empty one before the first change.
    pub version: u64,
    /// The configuration as its operators wrote it.
    pub source: Configuration,
    /// Longest lease that an endpoint may ask for.
    pub max_lease: Duration,
    pipelines: FastMap<String, Arc<PipelinePlan>>,
    workspaces: Vec<Arc<WorkspacePlan>>,
    callers: FastMap<TokenDigest, usize>,
    operators: FastMap<TokenDigest, String>,
    endpoints: FastMap<TokenDigest, String>,
}

/// A pipeline, resolved.
#[derive(Debug)]
pub struct PipelinePlan {
    /// Name of the pipeline.
    pub name: String,
    /// Longest time a request may take.
    pub deadline: Duration,
    /// Stages in order.
    pub stages: Vec<StagePlan>,
}

/// A stage, resolved.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// Name of the stage.
    pub name: String,
    /// Kind of work, from its pool.
    pub kind: StageKind,
    /// Pool that serves it.
    pub pool: String,
    /// Model that it needs; empty when any endpoint will do.
    pub model: String,
    /// False when the stage may run at most once for a request.
    pub idempotent: bool,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Documents kept.
    pub top_documents: u32,
    /// Path of a service's call.
    pub path: String,
}

/// A workspace, resolved.
#[derive(Debug)]
pub struct WorkspacePlan {
    /// Name of the workspace.
    pub name: String,
    /// Weight of its share.
    pub share: u32,
    /// Pipelines it may call; empty allows all.
    pub pipelines: Vec<String>,
}

impl WorkspacePlan {
    /// Whether this workspace may call `pipeline`.
    pub fn may_call(&self, pipeline: &str) -> bool {
        self.pipelines.is_empty() || self.pipelines.iter().any(|name| name == pipeline)
    }
}

/// Reads the JSON form of a configuration.
pub fn configuration_from_json(json: &[u8]) -> Result<Configuration> {
    serde_json::from_slice(json).map_err(|error| {
        let problem = ConfigurationProblem::Unreadable(error.to_string());
        report_one(
            "$",
            problem,
            "send the JSON form that docs/API.md describes",
        )
    })
}

fn report_one(path: &str, problem: ConfigurationProblem, remedy: &str) -> ConfigurationReport {
    ConfigurationReport {
        errors: vec![ConfigurationError {
            path: path.into(),
            problem,
            remedy: remedy.into(),
        }],
    }
}

impl ConfigurationSnapshot {
    /// Checks `source` as a whole and resolves it; the report names every error.
    pub fn build(version: u64, source: Configuration) -> Result<Self> {
        let mut check = SnapshotCheck::default();
        let pipelines = check.pipelines(&source);
        check.models(&source);
        check.claim_retention(&source);
        let (workspaces, callers) = check.workspaces(&source);
        let operators = check.credentials("operators", &source.operators);
        let endpoints = check.credentials("endpoint_credentials", &source.endpoint_credentials);
        if !check.errors.is_empty() {
            return Err(ConfigurationReport {
                errors: check.errors,
            });
        }
        let lease_ms = source
            .limits
            .as_ref()
            .map_or(0, |limits| limits.max_lease_ms);
        let max_lease = match lease_ms {
            0 => DEFAULT_MAX_LEASE,
            given => Duration::from_millis(u64::from(given)),
        };
        Ok(Self {
            version,
            source,
            max_lease,
            pipelines,
            workspaces,
            callers,
            operators,
            endpoints,
        })
    }

    /// The pipeline of that name.
    pub fn pipeline(&self, name: &str) -> Option<&Arc<PipelinePlan>> {
        self.pipelines.get(name)
    }

    /// All pipelines, in no order.
    pub fn pipelines(&self) -> impl Iterator<Item = &Arc<PipelinePlan>> {
        self.pipelines.values()
    }

    /// All workspaces, by name.
    pub fn workspaces(&self) -> &[Arc<WorkspacePlan>] {
        &self.workspaces
    }

    /// The workspace whose token this is.
    pub fn workspace_of(&self, token: &str) -> Option<&Arc<WorkspacePlan>> {
        let index = owner(&self.callers, token)?;
        self.workspaces.get(*index)
    }

    /// The operator whose token this is.
    pub fn operator_of(&self, token: &str) -> Option<&str> {
        owner(&self.operators, token).map(String::as_str)
    }

    /// The name of the endpoint credential whose token this is.
    pub fn endpoint_credential_of(&self, token: &str) -> Option<&str> {
        owner(&self.endpoints, token).map(String::as_str)
    }
}

/// Finds by digest, then compares in constant time.
fn owner<'a, T>(owners: &'a FastMap<TokenDigest, T>, token: &str) -> Option<&'a T> {
    let digest = TokenDigest::of(token);
    let (held, owner) = owners.get_key_value(&digest)?;
    held.matches(&digest).then_some(owner)
}

#[derive(Debug, Default)]
struct SnapshotCheck {
    errors: Vec<ConfigurationError>,
    digests: FastSet<TokenDigest>,
}

impl SnapshotCheck {
    fn fail(&mut self, path: String, problem: ConfigurationProblem, remedy: &str) {
        self.errors.push(ConfigurationError {
            path,
            problem,
            remedy: remedy.into(),
        });
    }

    fn name(&mut self, path: &str, name: &str) {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !fits || !name.bytes().all(allowed) {
            let problem = ConfigurationProblem::BadName(name.into());
            let remedy = "use 1 to 64 letters, digits, `-`, `_` or `.`";
            self.fail(path.into(), problem, remedy);
        }
    }

    fn pipelines(&mut self, source: &Configuration) -> FastMap<String, Arc<PipelinePlan>> {
        for (name, pool) in &source.pools {
            let path = format!("pools.{name}");
            self.name(&path, name);
            if StageKind::try_from(pool.kind).unwrap_or_default() == StageKind::Unspecified {
                let remedy = "set kind to encode, retrieve, rerank, generate or service";
                self.fail(format!("{path}.kind"), ConfigurationProblem::Empty, remedy);
            }
        }
        let mut plans = FastMap::default();
        for (name, pipeline) in &source.pipelines {
            let path = format!("pipelines.{name}");
            self.name(&path, name);
            if pipeline.deadline_ms == 0 || pipeline.deadline_ms > MAX_DEADLINE_MS {
                let problem = ConfigurationProblem::OutOfBounds(pipeline.deadline_ms.into());
                self.fail(format!("{path}.deadline_ms"), problem, "use 1 to 600000");
            }
            let stages = self.stages(&path, source, &pipeline.stages);
            let plan = PipelinePlan {
                name: name.clone(),
                deadline: Duration::from_millis(pipeline.deadline_ms.into()),
                stages,
            };
            plans.insert(name.clone(), Arc::new(plan));
        }
        plans
    }

    /// Checks the models, and that stages ask for models that are kept; with
    /// no models the endpoints bring their own.
    fn models(&mut self, source: &Configuration) {
        for (name, model) in &source.models {
            let path = format!("models.{name}");
            self.name(&path, name);
            self.name(&format!("{path}.version"), &model.version);
            if model.pools.is_empty() {
                let remedy = "name the pools whose endpoints hold it";
                self.fail(format!("{path}.pools"), ConfigurationProblem::Empty, remedy);
            }
            for (index, pool) in model.pools.iter().enumerate() {
                if !source.pools.contains_key(pool) {
                    let path = format!("{path}.pools[{index}]");
                    self.dangling(path, "pool", pool, "add it under pools or leave it out");
                }
            }
            for (index, adapter) in model.adapters.iter().enumerate() {
                self.name(&format!("{path}.adapters[{index}]"), adapter);
            }
        }
        if source.models.is_empty() {
            return;
        }
        for (name, pipeline) in &source.pipelines {
            for (index, stage) in pipeline.stages.iter().enumerate() {
                if !stage.model.is_empty() && !source.models.contains_key(&stage.model) {
                    let path = format!("pipelines.{name}.stages[{index}].model");
                    let remedy = "add it under models or name another one";
                    self.dangling(path, "model", &stage.model, remedy);
                }
            }
        }
    }

    fn dangling(&mut self, path: String, kind: &'static str, name: &str, remedy: &str) {
        let name = name.into();
        self.fail(path, ConfigurationProblem::Dangling { kind, name }, remedy);
    }

    /// A claim must outlive its run, so the retention has a least value.
    fn claim_retention(&mut self, source: &Configuration) {
        let retention = claim_retention(source);
        if !(MIN_RETENTION..=MAX_RETENTION).contains(&retention) {
            let problem = ConfigurationProblem::OutOfBounds(retention.as_secs());
            let path = "limits.claim_retention_s".into();
            self.fail(path, problem, "use 3600 to 604800 seconds");
        }
    }

    fn stages(
        &mut self,
        path: &str,
        source: &Configuration,
        stages: &[super::StageConfiguration],
    ) -> Vec<StagePlan> {
        if stages.is_empty() || stages.len() > MAX_STAGES {
            let problem = ConfigurationProblem::OutOfBounds(stages.len() as u64);
            self.fail(format!("{path}.stages"), problem, "use 1 to 16 stages");
        }
        let mut names = BTreeSet::new();
        let mut plans = Vec::new();
        for (index, stage) in stages.iter().enumerate() {
            let path = format!("{path}.stages[{index}]");
            self.name(&format!("{path}.name"), &stage.name);
            if !names.insert(&stage.name) {
                let problem = ConfigurationProblem::Doubled(stage.name.clone());
                self.fail(
                    format!("{path}.name"),
                    problem,
                    "give each stage a name of its own",
                );
            }
            plans.extend(self.stage(&path, source, stage));
        }
        plans
    }

    fn stage(
        &mut self,
        path: &str,
        source: &Configuration,
        stage: &super::StageConfiguration,
    ) -> Option<StagePlan> {
        let Some(pool) = source.pools.get(&stage.pool) else {
            let problem = ConfigurationProblem::Dangling {
                kind: "pool",
                name: stage.pool.clone(),
            };
            self.fail(
                format!("{path}.pool"),
                problem,
                "add it under pools or name another one",
            );
            return None;
        };
        let kind = StageKind::try_from(pool.kind).unwrap_or_default();
        if kind == StageKind::Service && !stage.path.starts_with('/') {
            let remedy = "write the path of the service's call, such as /v1/tows";
            self.fail(format!("{path}.path"), ConfigurationProblem::Empty, remedy);
        }
        Some(StagePlan {
            name: stage.name.clone(),
            kind,
            pool: stage.pool.clone(),
            model: stage.model.clone(),
            idempotent: !stage.non_idempotent,
            max_tokens: or_default(stage.max_tokens, DEFAULT_MAX_TOKENS),
            top_documents: or_default(stage.top_documents, DEFAULT_TOP_DOCUMENTS),
            path: stage.path.clone(),
        })
    }

    fn workspaces(
        &mut self,
        source: &Configuration,
    ) -> (Vec<Arc<WorkspacePlan>>, FastMap<TokenDigest, usize>) {
        let mut plans = Vec::new();
        let mut callers = FastMap::default();
        for (name, workspace) in &source.workspaces {
            let path = format!("workspaces.{name}");
            self.name(&path, name);
            for (index, pipeline) in workspace.pipelines.iter().enumerate() {
                if !source.pipelines.contains_key(pipeline) {
                    let problem = ConfigurationProblem::Dangling {
                        kind: "pipeline",
                        name: pipeline.clone(),
                    };
                    let path = format!("{path}.pipelines[{index}]");
                    self.fail(path, problem, "add it under pipelines or leave it out");
                }
            }
            for digest in self.digests(&path, &workspace.token_sha256) {
                callers.insert(digest, plans.len());
            }
            plans.push(Arc::new(WorkspacePlan {
                name: name.clone(),
                share: or_default(workspace.share, 1),
                pipelines: workspace.pipelines.clone(),
            }));
        }
        (plans, callers)
    }

    fn credentials(
        &mut self,
        section: &str,
        credentials: &BTreeMap<String, super::CredentialConfiguration>,
    ) -> FastMap<TokenDigest, String> {
        let mut owners = FastMap::default();
        for (name, credential) in credentials {
            let path = format!("{section}.{name}");
            self.name(&path, name);
            for digest in self.digests(&path, &credential.token_sha256) {
                owners.insert(digest, name.clone());
            }
        }
        owners
    }

    /// Reads digests; one that stands twice would make a token good for two owners.
    fn digests(&mut self, path: &str, texts: &[String]) -> Vec<TokenDigest> {
        let mut digests = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            let path = format!("{path}.token_sha256[{index}]");
            let Some(digest) = TokenDigest::from_hex(text) else {
                let remedy = "write the token's SHA-256 as 64 hexadecimal digits";
                self.fail(path, ConfigurationProblem::BadDigest, remedy);
                continue;
            };
            if !self.digests.insert(digest) {
                let problem = ConfigurationProblem::Doubled(text.clone());
                self.fail(path, problem, "give each owner a token of its own");
                continue;
            }
            digests.push(digest);
        }
        digests
    }
}

/// How long a claim of a non-idempotent request is remembered.
pub(crate) fn claim_retention(source: &Configuration) -> Duration {
    let limits = source.limits.as_ref();
    match limits.map_or(0, |limits| limits.claim_retention_s) {
        0 => DEFAULT_RETENTION,
        seconds => Duration::from_secs(seconds.into()),
    }
}

fn or_default(value: u32, default: u32) -> u32 {
    if value == 0 { default } else { value }
}

#[cfg(test)]
#[path = "configuration_snapshot_tests.rs"]
mod tests;
