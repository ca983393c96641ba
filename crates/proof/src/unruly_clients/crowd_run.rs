use std::net::Ipv4Addr;
use std::path::PathBuf;

use savorywalk::prelude::*;

use super::{ClientCrowd, CrowdKind, CrowdRequest, ProcessUsage, Result};
use crate::gateway_fleet::{FleetPlan, KeptConnection, ProcessFleet, wait_until};
use crate::replacement_soak::{POOL, TroubledEndpoints};
use crate::run_address;

/// Endpoints, which answer properly.
const ENDPOINTS: usize = 2;

/// Last octet of the endpoints' address.
const ENDPOINT_OCTET: u8 = 250;

/// Positions of the processes.
const REGISTRY: usize = 0;
const GATEWAY: usize = 1;

/// Port that a crowd meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdTarget {
    /// The callers' port of a gateway.
    Callers,
    /// The same, on a route with a stage, of which a request asks for twenty million pieces.
    Pieces,
    /// The port for readiness and metrics of a gateway.
    Probes,
    /// The port for operators and endpoints of a registry.
    Registry,
    /// The same, for announcements.
    Announcements,
}

/// Crowds that come one after the other.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Port that they meet.
    pub target: CrowdTarget,
    /// What each client sends.
    pub kind: CrowdKind,
    /// Clients of a crowd.
    pub clients: usize,
    /// Number of crowds.
    pub crowds: usize,
    /// What clients of further crowds send, which connect to the same port, and their number.
    pub beside: Vec<(CrowdKind, usize)>,
    /// Lines of the section `limits` of all settings.
    pub limits: &'static str,
}

/// What has become of a crowd.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrowdStanding {
    /// Clients that are connected.
    pub open: usize,
    /// Requests that were refused since their bodies had not arrived in time.
    pub late: f64,
}

/// What the process that a crowd met had used, and whether it still serves.
#[derive(Clone, Copy, Debug)]
pub struct CrowdReport {
    /// Usage with the last crowd connected; `None` if the process has ended.
    pub usage: Option<ProcessUsage>,
    /// Status of an ordinary request while the last crowd is connected and sends nothing more; 0 without
    /// an answer.
    pub status_beside: u16,
    /// What had become of the last crowd when an ordinary request was answered.
    pub beside: CrowdStanding,
    /// Status of an ordinary request after the last crowd has left.
    pub status_after: u16,
    /// Whether a document was accepted after the last crowd had left.
    pub accepts_document: bool,
    /// Whether the gateway held no byte of requests and heads after the last crowd had left.
    pub holds_nothing: bool,
}

/// Plays crowds against a registry and a gateway as processes.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started.
pub async fn run_crowd(plan: &CrowdPlan) -> Result<CrowdReport> {
    let base = run_address::next_network();
    let fleet_plan = FleetPlan {
        limits: plan.limits,
        ..FleetPlan::new(1, 1)
    };
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    fleet.start_stopped().await?;
    let [first, second, third, _] = base.octets();
    let ip = Ipv4Addr::new(first, second, third, ENDPOINT_OCTET);
    let _endpoints = TroubledEndpoints::start(ENDPOINTS, ip, fleet.registries());
    fleet.publish(&document(1)).await;
    let gateway = fleet.gateways()[0];
    wait_until(async || send_ordinary(gateway).await == 200).await;
    let (address, process) = match plan.target {
        CrowdTarget::Callers | CrowdTarget::Pieces => (gateway, GATEWAY),
        CrowdTarget::Probes => (fleet.probes()[0], GATEWAY),
        CrowdTarget::Registry | CrowdTarget::Announcements => (fleet.registries()[0], REGISTRY),
    };
    let request = request(plan.target);
    let mut usage = None;
    let mut status_beside = 0;
    let mut beside = CrowdStanding::default();
    for _ in 0..plan.crowds {
        let begin = |kind, clients| ClientCrowd::start(address, &request, kind, clients);
        let further = plan
            .beside
            .iter()
            .map(|(kind, clients)| begin(*kind, *clients));
        let mut further: Vec<ClientCrowd> = further.collect();
        let mut crowd = begin(plan.kind, plan.clients);
        for crowd in further.iter_mut().chain([&mut crowd]) {
            crowd.settle().await;
        }
        status_beside = send_ordinary(gateway).await;
        usage = fleet.process_id(process).and_then(ProcessUsage::read);
        beside = wait_for_answer(&mut crowd, status_beside, &fleet).await;
        log::info!("event=crowd_settled open={} usage={usage:?}", crowd.open());
    }
    let status_after = send_ordinary(gateway).await;
    let accepts_document = fleet.publish(&document(2)).await;
    let holds_nothing = wait_until(async || {
        let requests = fleet
            .sum_metric("savorywalk_gateway_request_bytes", "")
            .await;
        let heads = fleet.sum_metric("savorywalk_head_bytes", "").await;
        requests + heads == 0.0
    });
    let holds_nothing = holds_nothing.await;
    let is_running = fleet.is_running(process);
    fleet.end().await?;
    Ok(CrowdReport {
        usage: usage.filter(|_| is_running),
        status_beside,
        beside,
        status_after,
        accepts_document,
        holds_nothing,
    })
}

/// Repeats an ordinary request until it is answered or the crowd has left.
async fn wait_for_answer(
    crowd: &mut ClientCrowd,
    mut status: u16,
    fleet: &ProcessFleet,
) -> CrowdStanding {
    while status != 200 && crowd.open() > 0 {
        status = send_ordinary(fleet.gateways()[0]).await;
    }
    CrowdStanding {
        open: crowd.open(),
        late: fleet
            .sum_metric("savorywalk_gateway_requests", "body_late")
            .await,
    }
}

/// Sends one ordinary request over a connection of its own.
async fn send_ordinary(gateway: SocketAddr) -> u16 {
    let mut connection = KeptConnection::new(gateway);
    let headers = caller_headers();
    let answer = connection.call("POST /safe/x", &headers, "request").await;
    answer.map_or(0, |answer| answer.status)
}

fn caller_headers() -> String {
    "X-Request-Id: 9c41d07be2a35f68\r\nX-Api-Key: key-w\r\nX-Deadline-Remaining: 10000\r\n".into()
}

pub(super) fn request(target: CrowdTarget) -> CrowdRequest {
    let (line, headers) = match target {
        CrowdTarget::Callers => ("POST /safe/x", caller_headers()),
        CrowdTarget::Pieces => {
            let pieces = "X-Segment-Key: k\r\nX-Segment-Count: 20000000\r\n";
            ("POST /staged/x", caller_headers() + pieces)
        }
        CrowdTarget::Probes => ("POST /ready", String::new()),
        CrowdTarget::Registry => ("POST /config/put", String::new()),
        CrowdTarget::Announcements => ("POST /instances/x-{client}/heartbeat", String::new()),
    };
    CrowdRequest {
        line: line.into(),
        headers,
    }
}

/// A document with the limits that the pages show.
fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":10000,"targetLatencyMs":500,"service":"{POOL}","maxAttempts":2}},{{"name":"staged","host":"h.example","pathPrefix":"/staged/","kind":"safe","timeoutMs":10000,"targetLatencyMs":5000,"service":"{POOL}","maxAttempts":2,"stages":[{{"service":"{POOL}","after":[],"bytes":1000}}]}}],"services":[{{"name":"{POOL}","maxConnections":1000,"segments":{{"slots":1,"queue":2,"batch":8,"callMs":150,"itemMs":16,"headroomMb":36,"handleS":4,"linkMbps":10000}}}}],"tenants":[{{"name":"w","apiKeys":["key-w"]}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
