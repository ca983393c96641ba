use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, Response};

use super::crash_detector::CrashDetector;
use super::gateway_node::{GatewayNode, NodeParts};
use super::{
    CallerHead, EndpointHead, EndpointTarget, ForwardHeaders, GatewayRefusal, InvalidCall,
    LoadFeatures, PieceOutcome, PieceRequest, PoolProfile, PoolShare, RegistryAnswer, RegistryCall,
    ResultHandle, RetryLimits, RouteKind, RouteRule, RouteTable, ShareRule, TableError, TableParts,
    TcpNetwork, WireFormat, WorkspaceRule, cluster_hub,
};
use crate::prelude::*;
use crate::registry::{EntryCapacity, EntryFollower, FollowOptions};
use crate::settings::{ClusterSettings, DaemonLimits, DaemonSettings};
use crate::telemetry::MetricSet;
use crate::transport::LinkHub;

/// Header with a caller's key.
pub(super) const KEY: &str = "x-key";

/// Wire format whose documents read `NUMBER PATH KEY` and have one route.
#[derive(Debug)]
pub(super) struct PlainWire;

fn parse(content: &[u8]) -> TableParts {
    let text = std::str::from_utf8(content).unwrap();
    let mut words = text.split(' ');
    let mut word = || words.next().unwrap().to_string();
    let mut parts = TableParts {
        number: word().parse().unwrap(),
        routes: vec![RouteRule {
            name: "r".into(),
            host: "h".into(),
            path_prefix: word(),
            kind: RouteKind::Idempotent,
            timeout: Duration::from_secs(15),
            objective: Duration::from_secs(2),
            pause: None,
            rank: 0,
            shares: vec![PoolShare {
                pool: "p".into(),
                weight: 1,
            }],
            max_endpoints: 1,
            stages: Arc::default(),
            is_open: false,
            allowed_regions: Vec::new(),
        }],
        pools: vec![PoolProfile {
            name: "p".into(),
            ..Default::default()
        }],
        workspaces: Some(vec![WorkspaceRule {
            name: "w".into(),
            keys: vec![word()],
            rank: None,
            allowed_regions: Vec::new(),
            share: ShareRule::default(),
        }]),
        limits: Default::default(),
    };
    if let Some(weight) = words.next() {
        let workspaces = parts.workspaces.as_mut().unwrap();
        workspaces[0].share.weight = weight.parse().unwrap();
    }
    parts
}

impl WireFormat for PlainWire {
    fn load_features(&self, _: &[String]) -> LoadFeatures {
        LoadFeatures::default()
    }

    fn read_document(&self, content: &[u8]) -> Result<RouteTable, TableError> {
        RouteTable::build(parse(content))
    }

    fn read_caller(&self, head: &request::Parts) -> CallerHead {
        let key = head.headers.get(KEY).and_then(|key| key.to_str().ok());
        CallerHead {
            request_id: "1".into(),
            host: "h".into(),
            key: key.map(Into::into),
            ..Default::default()
        }
    }

    fn read_registry_call(
        &self,
        _: &request::Parts,
        _: &Bytes,
    ) -> Option<Result<RegistryCall, InvalidCall>> {
        None
    }

    fn carries_document(&self, _: &request::Parts) -> bool {
        false
    }

    fn registry_answer(&self, _: &RegistryAnswer) -> Response<Bytes> {
        Response::default()
    }

    fn asks_readiness(&self, _: &request::Parts) -> bool {
        true
    }

    fn endpoint_request(&self, _: &request::Parts, _: &ForwardHeaders<'_>) -> Request<()> {
        Request::default()
    }

    fn read_endpoint(&self, _: &response::Parts) -> EndpointHead {
        EndpointHead::default()
    }

    fn caller_headers(&self, _: &response::Parts) -> HeaderMap {
        HeaderMap::default()
    }

    fn refusal(&self, _: &GatewayRefusal, _: &str) -> Response<Bytes> {
        Response::default()
    }

    fn piece_request(&self, _: &[PieceRequest<'_>], _: &EndpointTarget<'_>) -> Request<Bytes> {
        Request::default()
    }

    fn read_pieces(&self, _: &[u8]) -> Result<Vec<PieceOutcome>, String> {
        Ok(Vec::new())
    }

    fn probe_request(&self, _: &EndpointTarget<'_>) -> Request<Bytes> {
        Request::default()
    }

    fn release_request(&self, _: &[ResultHandle], _: SocketAddr) -> Request<Bytes> {
        Request::default()
    }
}

/// Age up to which the entry's keys may be used.
const MAX_KEY_AGE: Duration = Duration::from_millis(4_500);

/// An entry without control; a test supplies the replies of control.
pub(super) fn node() -> Arc<GatewayNode> {
    let hub = cluster_hub::start(&ClusterSettings {
        address: "127.0.8.3:0".into(),
        ..Default::default()
    });
    node_over(hub.unwrap())
}

/// An entry whose links to others are those of `hub`.
pub(super) fn node_over(hub: LinkHub) -> Arc<GatewayNode> {
    let options = FollowOptions {
        seeds: Vec::new(),
        order_key: 0,
        max_age: MAX_KEY_AGE,
        announce_interval: Duration::from_millis(1_200),
        capacity: EntryCapacity::default(),
    };
    let follower = EntryFollower::start(hub.clone(), options);
    let metric_set = Arc::new(MetricSet::new().unwrap());
    GatewayNode::start(NodeParts {
        features: LoadFeatures::default(),
        crash_detector: CrashDetector::start(&follower, Arc::new(TcpNetwork), metric_set.meter()),
        follower,
        hub,
        network: Arc::new(TcpNetwork),
        wire: Arc::new(PlainWire),
        data_center: "a".into(),
        max_key_age: MAX_KEY_AGE,
        retry_limits: RetryLimits {
            window: Duration::from_secs(10),
            share: 0.2,
            extra: 10.0,
        },
        metric_set,
        cold_bounds: Default::default(),
        region_map: Default::default(),
        announce_interval: Duration::from_millis(1_200),
        limits: DaemonLimits::new(&DaemonSettings::default()),
    })
}
