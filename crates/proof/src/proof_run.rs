use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};

use savorywalk::prelude::*;
use savorywalk_standin::{
    AnnounceTarget, Deployment, DeploymentPlan, EndpointServer, PathProxy, PathState, StandinError,
    StandinKind, start_announcer, token_for,
};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::fleet_watch::FleetWatch;
use crate::run_address;
use crate::{
    CallOutcome, EndpointName, EntryFleet, FaultScript, FaultStep, GuaranteeChecker, HistoryBook,
    HistoryEvent, LoadCaller, LoadRequest, ProcessError, ProofReport, RequestMark, mark_in,
};

/// Times that a caller sends a request again after a refusal or a cut.
const RESENDS: usize = 3;
/// Pause of a caller before it sends again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Every so many requests one is a booking.
const BOOKING_EVERY: usize = 4;

/// One run: a deployment at today's size, a load, and what goes wrong.
#[derive(Clone, Debug)]
pub struct ProofPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Which deployment.
    pub deployment: Deployment,
    /// Entries to start.
    pub entries: usize,
    /// Requests to send.
    pub requests: usize,
    /// Callers at once.
    pub callers: usize,
    /// What goes wrong.
    pub script: FaultScript,
}

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum ProofError {
    /// A daemon's process could not be used.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A stand-in could not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The run's files could not be written.
    #[error("the run's folder can't be written: {0}; name one that can")]
    Folder(#[from] std::io::Error),
    /// The configuration could not be written as JSON.
    #[error("the configuration can't be written as JSON: {0}")]
    Configuration(#[from] serde_json::Error),
}

/// What the tasks of one run share.
struct ProofRun {
    plan: ProofPlan,
    deployment: DeploymentPlan,
    book: Arc<HistoryBook>,
    fleet: EntryFleet,
    endpoints: Vec<Arc<EndpointServer>>,
    /// Paths of each entry to the endpoints.
    paths: Vec<watch::Sender<PathState>>,
    next: AtomicUsize,
    finished: watch::Sender<usize>,
    tally: Mutex<ProofReport>,
}

/// Runs `plan` and checks every promise over the history it made.
pub async fn run_proof(plan: ProofPlan) -> Result<ProofReport, ProofError> {
    let run = Arc::new(ProofRun::start(plan).await?);
    let mut callers = JoinSet::new();
    for _ in 0..run.plan.callers {
        let run = Arc::clone(&run);
        callers.spawn(async move { run.call_until_done().await });
    }
    let script = tokio::spawn({
        let run = Arc::clone(&run);
        async move { run.play_script().await }
    });
    while callers.join_next().await.is_some() {}
    let mut stops_ended_well = match script.await {
        Ok(played) => played?,
        Err(_) => false,
    };
    run.read_costs().await;
    stops_ended_well &= run.fleet.stop_all().await?;
    let mut report = std::mem::take(&mut *run.tally());
    report.requests = run.plan.requests;
    report.stops_ended_well = stops_ended_well;
    report.breaches = GuaranteeChecker::check(&run.book.records());
    Ok(report)
}

impl ProofRun {
    async fn start(plan: ProofPlan) -> Result<Self, ProofError> {
        let deployment = plan.deployment.plan();
        let configuration = serde_json::to_vec(&deployment.configuration)?;
        std::fs::write(plan.folder.join("configuration.json"), configuration)?;
        let book = Arc::new(HistoryBook::default());
        let ip = run_address::next();
        let fleet = EntryFleet::start(
            &plan.program,
            &plan.folder,
            ip,
            &deployment.data_centers,
            plan.entries,
            Arc::clone(&book),
        )
        .await?;
        let paths: Vec<_> = (0..plan.entries)
            .map(|_| watch::Sender::default())
            .collect();
        let endpoints = start_endpoints(&deployment, ip, &fleet, &paths, &book).await?;
        FleetWatch::new(&fleet)
            .wait_for_endpoints(endpoints.len())
            .await;
        Ok(Self {
            plan,
            deployment,
            book,
            fleet,
            endpoints,
            paths,
            next: AtomicUsize::new(0),
            finished: watch::Sender::new(0),
            tally: Mutex::default(),
        })
    }

    fn tally(&self) -> std::sync::MutexGuard<'_, ProofReport> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call_until_done(&self) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.plan.requests {
                return;
            }
            self.call(number).await;
            self.finished.send_modify(|finished| *finished += 1);
        }
    }

    /// Sends one request, and again as a caller would after a refusal or a cut.
    async fn call(&self, number: usize) {
        let request = self.request(number);
        let workspaces = self.deployment.configuration.workspaces.keys();
        let workspaces: Vec<&String> = workspaces.collect();
        let token = token_for(workspaces[number % workspaces.len()]);
        let caller = LoadCaller::new(Arc::clone(&self.book), token);
        for resend in 0..=RESENDS {
            let routes = self.fleet.routes();
            if routes.is_empty() {
                tokio::time::sleep(RESEND_PAUSE).await;
                continue;
            }
            let (entry, addresses) = &routes[(number + resend) % routes.len()];
            match caller.call(entry, addresses.callers, &request).await {
                CallOutcome::Answered => {
                    self.tally().answered += 1;
                    return;
                }
                CallOutcome::Refused(kind) => {
                    let is_final = kind != "not_run";
                    *self.tally().errors.entry(kind).or_default() += 1;
                    if is_final {
                        return;
                    }
                }
                CallOutcome::Cut => *self.tally().errors.entry("cut".into()).or_default() += 1,
                CallOutcome::Unreached => {
                    *self.tally().errors.entry("unreached".into()).or_default() += 1;
                    tokio::time::sleep(RESEND_PAUSE).await;
                    continue;
                }
            }
            if request.non_idempotent && !self.plan.script.resends_bookings {
                return;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
    }

    fn request(&self, number: usize) -> LoadRequest {
        let pipelines = &self.deployment.pipelines;
        let (booking, others) = pipelines.split_last().expect("a deployment has pipelines");
        let is_booking = number.is_multiple_of(BOOKING_EVERY);
        let pipeline = if is_booking {
            booking
        } else {
            &others[number % others.len()]
        };
        LoadRequest {
            mark: RequestMark(format!("request-{number}")),
            pipeline: pipeline.clone(),
            non_idempotent: is_booking,
        }
    }

    /// Takes the steps as their counts are reached; tells whether every
    /// planned stop ended well.
    async fn play_script(&self) -> Result<bool, ProcessError> {
        let mut finished = self.finished.subscribe();
        let mut ended_well = true;
        for timed in &self.plan.script.steps {
            let reached = finished
                .wait_for(|finished| *finished >= timed.after)
                .await
                .is_ok();
            if !reached {
                break;
            }
            log::info!(
                "event=fault_step after={} step={:?}",
                timed.after,
                timed.step
            );
            ended_well &= self.take_step(timed.step).await?;
        }
        Ok(ended_well)
    }

    async fn take_step(&self, step: FaultStep) -> Result<bool, ProcessError> {
        match step {
            FaultStep::KillEntry(entry) => self.fleet.kill(entry).await?,
            FaultStep::StartEntry(entry) => {
                self.fleet.start_one(entry).await?;
                let watch = FleetWatch::new(&self.fleet);
                watch.wait_for_endpoints(self.endpoints.len()).await;
            }
            FaultStep::StopEntry(entry) => {
                let keeps_connections = self.plan.script.keeps_connections;
                return self.fleet.stop(entry, keeps_connections).await;
            }
            FaultStep::SetPaths(entry, state) => drop(self.paths[entry].send_replace(state)),
            FaultStep::SetEndpoint(endpoint, fault) => self.endpoints[endpoint].faults().set(fault),
        }
        Ok(true)
    }

    async fn read_costs(&self) {
        let costs = FleetWatch::new(&self.fleet).costs().await;
        let mut report = self.tally();
        for line in costs {
            *report
                .endpoint_seconds
                .entry(line.stage.clone())
                .or_default() += line.endpoint_seconds;
            *report.wasted_seconds.entry(line.stage).or_default() += line.wasted_seconds;
        }
    }
}

async fn start_endpoints(
    deployment: &DeploymentPlan,
    ip: Ipv4Addr,
    fleet: &EntryFleet,
    paths: &[watch::Sender<PathState>],
    book: &Arc<HistoryBook>,
) -> Result<Vec<Arc<EndpointServer>>, ProofError> {
    let mut servers = Vec::new();
    for planned in &deployment.endpoints {
        let address = SocketAddr::from((ip, 0));
        let server = Arc::new(EndpointServer::start(planned.options.clone(), address).await?);
        observe(&server, book);
        // Each entry reaches the endpoint through a proxy of its own.
        for ((_, addresses), path) in fleet.routes().iter().zip(paths) {
            let ip = address.ip();
            let proxy = PathProxy::start(ip, server.address(), path.subscribe()).await?;
            let target = AnnounceTarget {
                entries: vec![addresses.endpoints],
                token: token_for("endpoint"),
                everywhere: true,
                address: Some(proxy),
            };
            start_announcer(&server, target);
        }
        servers.push(server);
    }
    Ok(servers)
}

/// Records what a stand-in receives, by the mark in the body.
fn observe(server: &Arc<EndpointServer>, book: &Arc<HistoryBook>) {
    let endpoint = EndpointName(server.options().name.clone());
    let stage = stage_name(server.options().kind);
    let book = Arc::clone(book);
    server.observe(Box::new(move |body| {
        let Some(request) = mark_in(&String::from_utf8_lossy(body)) else {
            return;
        };
        book.record(HistoryEvent::Received {
            endpoint: endpoint.clone(),
            request,
            stage: stage.to_string(),
        });
    }));
}

fn stage_name(kind: StandinKind) -> &'static str {
    match kind {
        StandinKind::Encoder => "encode",
        StandinKind::Retriever => "retrieve",
        StandinKind::Reranker => "rerank",
        StandinKind::Engine => "generate",
        StandinKind::Service => "service",
    }
}
