use super::{ShareRule, StageGraph, TableError};
use crate::prelude::*;

/// One route: the requests it matches, the pools that serve it, and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host that requests name, with an optional port.
    pub host: String,
    /// Path prefix of the requests; the longest matching prefix wins.
    pub path_prefix: String,
    /// Retry rule of the route.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, has its full utility.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is in time.
    pub pause: Option<Duration>,
    /// Rank among the routes; 0 has the highest priority.
    pub rank: u8,
    /// Pools that serve the route, with their shares of its traffic.
    pub shares: Vec<PoolShare>,
    /// Maximum number of endpoints that may run one request.
    pub max_endpoints: u32,
    /// Stages to be executed before a request can run.
    pub stages: Arc<StageGraph>,
    /// Whether requests are accepted without a key.
    pub is_open: bool,
    /// Regions in which requests may be processed; any if empty.
    pub allowed_regions: Vec<String>,
}

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another endpoint may resume a stream after its last event; if not, a
        /// request runs at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }
}

/// A pool's share of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// One stage of a route, identified by its index in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct StageRule {
    /// Pool that works on the stage's pieces.
    pub pool: String,
    /// Indices of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A workspace and the keys that its callers may present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceRule {
    /// Name of the workspace that owns the keys.
    pub name: String,
    /// Keys that identify the workspace's callers.
    pub keys: Vec<String>,
    /// Rank of the workspace, which takes precedence over the route's rank.
    pub rank: Option<u8>,
    /// Regions in which requests may be processed; any if empty.
    pub allowed_regions: Vec<String>,
    /// Share of the stage pools while they are short.
    pub share: ShareRule,
}

impl RouteRule {
    /// Checks the rules that concern a single route.
    pub(super) fn check(&self) -> Result<(), TableError> {
        let name = || self.name.clone();
        if self.timeout.is_zero() {
            return Err(TableError::ZeroTimeout(name()));
        }
        let weight: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if weight == 0 {
            return Err(TableError::ZeroWeight(name()));
        }
        match self.stages.first_invalid_stage() {
            Some(stage) => Err(TableError::StageOrder {
                route: name(),
                stage,
            }),
            None => Ok(()),
        }
    }

    /// Selects the pool for a request: `ticket` is mapped to the pools in proportion to their
    /// weights.
    pub fn pool_for(&self, ticket: u64) -> &str {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = ticket % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return &share.pool;
            }
            left -= weight;
        }
        self.shares.first().map_or("", |share| share.pool.as_str())
    }
}
