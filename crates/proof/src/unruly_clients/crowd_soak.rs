use std::net::Ipv4Addr;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::crowd_step::CrowdStep;
use super::{ClientCrowd, CrowdSoakReport, CrowdTarget, ProcessUsage, Result, crowd_run};
use crate::gateway_fleet::{FleetPlan, ProcessFleet, wait_until};
use crate::replacement_soak::{CallKind, ReplacementCallers, TroubledEndpoints, document};
use crate::run_address;

const ENDPOINTS: usize = 4;

/// Last octet of the endpoints' address.
const ENDPOINT_OCTET: u8 = 250;

/// Steps of a run, and the time between two of them.
const STEPS: usize = 24;
const STEP_TIME: Duration = Duration::from_millis(400);

/// Most crowds that are connected at the same time.
const MAX_CROWDS: usize = 6;

/// Ordinary callers of each gateway.
const CALLERS_PER_GATEWAY: usize = 2;

/// Most memory of a process: that of its VM.
const MAX_MEMORY: u64 = 256 << 20;

/// Most descriptors of a process: those of its VM, less those that it reserves for other files.
const MAX_DESCRIPTORS: usize = 4_096 - 200;

/// One run.
#[derive(Clone, Debug)]
pub struct CrowdSoakPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Control VMs.
    pub registries: usize,
    /// Gateways.
    pub gateways: usize,
    /// Most clients of a crowd.
    pub clients: usize,
    /// Seed of what is drawn.
    pub seed: u64,
}

/// What a run consists of.
struct CrowdSoak {
    random: ChaCha8Rng,
    fleet: ProcessFleet,
    plan: CrowdSoakPlan,
    crowds: VecDeque<ClientCrowd>,
    /// Processes that were asked to stop or killed, and those that are frozen.
    ended: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    document: u64,
    report: CrowdSoakReport,
}

/// Runs gateways and registries as processes while crowds of clients that keep to no limits come and
/// go, beside ordinary callers, and processes are stopped, killed, frozen and started again.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started or signalled.
pub async fn run_crowd_soak(plan: &CrowdSoakPlan) -> Result<CrowdSoakReport> {
    let base = run_address::next_network();
    let fleet_plan = FleetPlan {
        limits: limits(plan.seed),
        ..FleetPlan::new(plan.registries, plan.gateways)
    };
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    fleet.start_stopped().await?;
    let [first, second, third, _] = base.octets();
    let ip = Ipv4Addr::new(first, second, third, ENDPOINT_OCTET);
    let endpoints = TroubledEndpoints::start(ENDPOINTS, ip, fleet.registries());
    let (end, ended) = watch::channel(false);
    let callers = Arc::new(ReplacementCallers::new(fleet.gateways(), ended));
    let mut soak = CrowdSoak {
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        fleet,
        plan: plan.clone(),
        crowds: VecDeque::new(),
        ended: BTreeSet::new(),
        frozen: BTreeSet::new(),
        document: 0,
        report: CrowdSoakReport::default(),
    };
    soak.publish().await;
    soak.fleet.set_founded();
    soak.check_served(&callers).await;
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS_PER_GATEWAY * plan.gateways {
        tasks.spawn(Arc::clone(&callers).run(caller));
    }
    for _ in 0..STEPS {
        soak.take_step().await?;
        tokio::time::sleep(STEP_TIME).await;
        soak.check_processes();
    }
    soak.heal().await?;
    soak.publish().await;
    soak.check_served(&callers).await;
    end.send_replace(true);
    while tasks.join_next().await.is_some() {}
    soak.check_processes();
    let mut report = soak.report;
    report.statuses = callers.statuses();
    report.breaches.extend(callers.breaches(&endpoints.state));
    soak.fleet.end().await?;
    Ok(report)
}

/// Lines of the section `limits`: with every second seed crowds take all places.
fn limits(seed: u64) -> &'static str {
    match seed.is_multiple_of(2) {
        true => "connections = 64\n",
        false => "",
    }
}

impl CrowdSoak {
    async fn take_step(&mut self) -> Result<()> {
        let step = CrowdStep::draw(&mut self.random);
        log::info!("event=step step={step:?}");
        let process = self.random.random_range(0..self.fleet.len());
        match step {
            CrowdStep::Begin => self.begin_crowd(),
            CrowdStep::End => drop(self.crowds.pop_front()),
            CrowdStep::Stop => self.end_process(process, Signal::SIGTERM).await?,
            CrowdStep::Kill => self.end_process(process, Signal::SIGKILL).await?,
            CrowdStep::Freeze if self.may_lose(process) => {
                self.fleet.signal(process, Signal::SIGSTOP)?;
                self.frozen.insert(process);
            }
            CrowdStep::Freeze => {}
            CrowdStep::Reload => self.fleet.signal(process, Signal::SIGHUP)?,
            CrowdStep::Heal => self.bring_back().await?,
            CrowdStep::Publish => self.publish().await,
        }
        Ok(())
    }

    fn begin_crowd(&mut self) {
        if self.crowds.len() == MAX_CROWDS {
            self.crowds.pop_front();
        }
        let (target, kind) = CrowdStep::draw_crowd(&mut self.random);
        let addresses = match target {
            CrowdTarget::Callers | CrowdTarget::Pieces => self.fleet.gateways(),
            CrowdTarget::Probes => self.fleet.probes(),
            CrowdTarget::Registry | CrowdTarget::Announcements => self.fleet.registries(),
        };
        let address = addresses[self.random.random_range(0..addresses.len())];
        let clients = self.random.random_range(1..=self.plan.clients);
        let request = crowd_run::request(target);
        self.report.crowds += 1;
        self.crowds
            .push_back(ClientCrowd::start(address, &request, kind, clients));
    }

    /// Whether a process may be lost: one registry at a time, and never all gateways.
    fn may_lose(&self, process: usize) -> bool {
        let is_registry = |process: &usize| *process < self.plan.registries;
        let lost = || self.ended.union(&self.frozen);
        if lost().any(|lost| *lost == process) {
            return false;
        }
        match is_registry(&process) {
            true => !lost().any(is_registry),
            false => lost().filter(|lost| !is_registry(lost)).count() + 1 < self.plan.gateways,
        }
    }

    async fn end_process(&mut self, process: usize, signal: Signal) -> Result<()> {
        if !self.may_lose(process) {
            return Ok(());
        }
        self.check_process(process);
        self.ended.insert(process);
        match signal {
            Signal::SIGKILL => self.fleet.kill(process).await,
            signal => self.fleet.signal(process, signal),
        }
    }

    /// Ends freezes, and starts what has ended.
    async fn bring_back(&mut self) -> Result<()> {
        for process in std::mem::take(&mut self.frozen) {
            self.fleet.signal(process, Signal::SIGCONT)?;
        }
        let fleet = &mut self.fleet;
        let has_ended = |process: &usize| !fleet.is_running(*process);
        let ended: Vec<usize> = self.ended.iter().copied().filter(has_ended).collect();
        for process in ended {
            self.fleet.start_at(process)?;
            self.ended.remove(&process);
        }
        Ok(())
    }

    /// Ends all faults; crowds stay.
    async fn heal(&mut self) -> Result<()> {
        for process in self.ended.clone() {
            let fleet = &mut self.fleet;
            wait_until(async || !fleet.is_running(process)).await;
        }
        self.bring_back().await
    }

    async fn publish(&mut self) {
        self.document += 1;
        if !self.fleet.publish(&document(self.document)).await {
            self.breach(format!("document {} was not accepted", self.document));
        }
    }

    /// Fails unless an ordinary request is served at each gateway.
    async fn check_served(&mut self, callers: &ReplacementCallers) {
        for gateway in 0..self.plan.gateways {
            let is_served = wait_until(async || {
                let mut connection = callers.connection(gateway);
                let sent = callers.send(&mut connection, CallKind::Idempotent, false);
                sent.await == 200
            });
            if !is_served.await {
                self.breach(format!("gateway {gateway} serves nothing"));
            }
        }
    }

    fn check_processes(&mut self) {
        for process in 0..self.fleet.len() {
            if !self.ended.contains(&process) {
                self.check_process(process);
            }
        }
    }

    fn check_process(&mut self, process: usize) {
        let is_running = self.fleet.is_running(process);
        let usage = self.fleet.process_id(process).and_then(ProcessUsage::read);
        let Some(usage) = usage.filter(|_| is_running) else {
            self.ended.insert(process);
            return self.breach(format!("process {process} has ended by itself"));
        };
        let report = &mut self.report;
        report.peak_memory = report.peak_memory.max(usage.peak_memory);
        report.peak_descriptors = report.peak_descriptors.max(usage.descriptors);
        if usage.peak_memory >= MAX_MEMORY || usage.descriptors >= MAX_DESCRIPTORS {
            self.breach(format!("process {process} used {usage:?}"));
        }
    }

    fn breach(&mut self, breach: String) {
        log::error!("event=breach breach={breach:?}");
        self.report.breaches.push(breach);
    }
}
