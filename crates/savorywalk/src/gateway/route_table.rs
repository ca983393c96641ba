use super::{RouteRule, ShareRule, TableError, WorkspaceRule};
use crate::api::ConnectionLimits;
use crate::prelude::*;

/// The validated contents of a document, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    number: u64,
    routes: Vec<Arc<RouteRule>>,
    /// Routes by host, longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<RouteRule>>>,
    pools: BTreeMap<String, Arc<PoolProfile>>,
    /// Whether the document lists workspaces, be it none.
    needs_keys: bool,
    workspaces: Vec<Arc<WorkspaceRule>>,
    keys: BTreeMap<String, Arc<WorkspaceRule>>,
    limits: RequestLimits,
}

/// Properties of a pool's endpoints, as defined by a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolProfile {
    /// Name of the pool.
    pub name: String,
    /// Maximum connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Requests per second that one endpoint can serve while it is cold, from all callers
    /// together; 0 if a cold start makes no difference.
    pub cold_rate: f64,
    /// Set for pools of model engines.
    pub engine: Option<EngineProfile>,
    /// Set for pools that work on pieces of stages.
    pub pieces: Option<PieceProfile>,
}

/// Capacity of one model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineProfile {
    /// Requests that an engine processes concurrently.
    pub slots: u32,
    /// Tokens that fit in the engine's cache memory, including those of running requests.
    pub cache_tokens: u64,
}

/// Capacity of one endpoint of a stage pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceProfile {
    /// Calls that an endpoint processes concurrently.
    pub slots: u32,
    /// Further calls that may queue at an endpoint.
    pub queue: u32,
    /// Maximum number of pieces in one call.
    pub batch: u32,
    /// Fixed time of a call, without its pieces.
    pub call_time: Duration,
    /// Approximate time that each piece adds to a call.
    pub piece_time: Duration,
    /// Capacity for results, in bytes.
    pub result_capacity_bytes: u64,
    /// Time for which a result is stored after its call.
    pub result_lifetime: Duration,
}

impl PieceProfile {
    /// Approximate time of a call with `pieces` pieces.
    pub fn call_duration(&self, pieces: u32) -> Duration {
        self.call_time + self.piece_time * pieces
    }
}

/// Limits on the size and timing of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum request head size, in bytes.
    pub head_bytes: u64,
    /// Maximum request body size, in bytes.
    pub body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub head_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Shortest and longest time limit of a connection, whatever a document names: a shorter one would
/// close connections that are in use.
const MIN_CONNECTION_TIME: Duration = Duration::from_secs(1);
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(3_600);

/// Most bytes of a head, whatever a document names.
const MAX_HEAD_BYTES: u64 = 1 << 20;

/// Room for a request's line beside the fields of its head, in bytes.
const HEAD_LINE_BYTES: u64 = 4 << 10;

impl RequestLimits {
    /// Limits of a connection on which requests come.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        let time = |time: Duration| time.clamp(MIN_CONNECTION_TIME, MAX_CONNECTION_TIME);
        ConnectionLimits {
            head_bytes: (self.head_bytes.min(MAX_HEAD_BYTES) + HEAD_LINE_BYTES) as usize,
            head_time: time(self.head_time),
            idle_time: time(self.idle_time),
        }
    }
}

/// The contents of a document, before validation.
#[derive(Clone, Debug, Default)]
pub struct TableParts {
    /// Number of the document; newer documents have higher numbers.
    pub number: u64,
    /// Routes, in any order.
    pub routes: Vec<RouteRule>,
    /// Pools, in any order.
    pub pools: Vec<PoolProfile>,
    /// Workspaces, or `None` if requests need no key. An empty list admits no key, so requests
    /// are served on open routes only.
    pub workspaces: Option<Vec<WorkspaceRule>>,
    /// Limits on the requests of all callers.
    pub limits: RequestLimits,
}

impl RouteTable {
    /// Validates the parts and indexes them.
    ///
    /// # Errors
    ///
    /// The first problem that makes the table unusable or ambiguous.
    pub fn build(parts: TableParts) -> Result<Self, TableError> {
        let mut table = Self {
            number: parts.number,
            needs_keys: parts.workspaces.is_some(),
            limits: parts.limits,
            ..Self::default()
        };
        for pool in parts.pools {
            let name = pool.name.clone();
            if table.pools.insert(name.clone(), Arc::new(pool)).is_some() {
                return Err(TableError::DuplicatePool(name));
            }
        }
        for route in parts.routes {
            table.add_route(route)?;
        }
        let workspaces = parts.workspaces.unwrap_or_default();
        let shares = workspaces.iter();
        let shares = shares.map(|workspace| (workspace.name.as_str(), workspace.share));
        ShareRule::check_all(shares)?;
        for workspace in workspaces {
            table.add_workspace(workspace)?;
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Ok(table)
    }

    fn add_route(&mut self, route: RouteRule) -> Result<(), TableError> {
        route.check()?;
        let pools = route.shares.iter().map(|share| &share.pool);
        let pools = pools.chain(route.stages.rules().iter().map(|stage| &stage.pool));
        for pool in pools {
            if !self.pools.contains_key(pool) {
                return Err(TableError::UnknownPool {
                    route: route.name.clone(),
                    pool: pool.clone(),
                });
            }
        }
        let route = Arc::new(route);
        let host_routes = self.hosts.entry(route.host.clone()).or_default();
        let is_taken = host_routes
            .iter()
            .any(|other| other.path_prefix == route.path_prefix);
        if is_taken {
            return Err(TableError::DuplicateRoute(route.name.clone()));
        }
        host_routes.push(Arc::clone(&route));
        self.routes.push(route);
        Ok(())
    }

    fn add_workspace(&mut self, workspace: WorkspaceRule) -> Result<(), TableError> {
        let workspace = Arc::new(workspace);
        for key in &workspace.keys {
            let other = self.keys.insert(key.clone(), Arc::clone(&workspace));
            if let Some(other) = other {
                return Err(TableError::DuplicateKey {
                    first: other.name.clone(),
                    second: workspace.name.clone(),
                });
            }
        }
        self.workspaces.push(workspace);
        Ok(())
    }

    /// Number of the document.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the route at `host` with the longest prefix of `path`. A port in `host` is
    /// ignored if no route names it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host).or_else(|| self.hosts.get(name))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key, except on open routes.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the workspace that `key` belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<WorkspaceRule>> {
        self.keys.get(key)
    }

    /// All workspaces, in the order of the document.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.workspaces.iter()
    }

    /// Returns the profile of a pool.
    pub fn pool(&self, name: &str) -> Option<&Arc<PoolProfile>> {
        self.pools.get(name)
    }

    /// All pools, sorted by name.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolProfile>> {
        self.pools.values()
    }

    /// All routes, in the order of the document.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.iter()
    }

    /// Limits on the requests of all callers.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }
}

#[cfg(test)]
#[path = "route_table_tests.rs"]
mod tests;
