use std::net::Ipv4Addr;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::replacement_callers::{CallKind, ReplacementCallers};
use super::replacement_step::{Removal, RemovalKind, RemovalVictim, SideStep};
use super::troubled_endpoint::{POOL, TroubledEndpoints};
use super::{ReplacementReport, Result};
use crate::gateway_fleet::{FleetPlan, ProcessFleet, call_once, wait_until};
use crate::run_address;

const ENDPOINTS: usize = 4;

/// Last octet of the endpoints' address.
const ENDPOINT_OCTET: u8 = 250;

/// Time between two steps.
const STEP_TIME: Duration = Duration::from_millis(500);

/// Probability of a fault or change beside the replacements, at each step.
const SIDE_STEP_PROBABILITY: f64 = 0.6;

/// Time that a control VM has from its start until the next one may be lost (`catchUpS`).
const CATCH_UP: Duration = Duration::from_secs(4);

/// Longest time for a document, a read of it or a served request once all is back (`recoverS`).
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Most memory of a gateway: that of the smallest VM.
const MAX_MEMORY: u64 = 256 << 20;

/// Callers of each gateway.
const CALLERS_PER_GATEWAY: usize = 4;

/// One run.
#[derive(Clone, Debug)]
pub struct ReplacementPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Control VMs.
    pub registries: usize,
    /// Gateways, 200 at most.
    pub gateways: usize,
    /// Control VMs to replace, 30 at most.
    pub replacements: usize,
    /// Seed of what is drawn.
    pub seed: u64,
}

/// What a run consists of.
struct ReplacementRun {
    random: ChaCha8Rng,
    fleet: ProcessFleet,
    registries: usize,
    gateways: usize,
    /// Position at which no registry runs.
    spare: usize,
    /// Positions of the registries, the oldest first.
    by_age: Vec<usize>,
    endpoints: TroubledEndpoints,
    frozen: Vec<usize>,
    /// Gateways that were asked to stop.
    stopped: Vec<usize>,
    /// Gateways that were killed, or have ended by themselves.
    ended: Vec<usize>,
    document: u64,
    report: ReplacementReport,
}

/// Runs gateways and registries as processes while control VMs are replaced one after the other,
/// gateways are stopped, killed and frozen, and endpoints answer without end or in small pieces.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started or signalled.
pub async fn run_replacements(plan: &ReplacementPlan) -> Result<ReplacementReport> {
    let base = run_address::next_network();
    let fleet_plan = FleetPlan::new(plan.registries + 1, plan.gateways);
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    for index in (0..fleet.len()).filter(|index| *index != plan.registries) {
        fleet.start_at(index)?;
    }
    let [first, second, third, _] = base.octets();
    let ip = Ipv4Addr::new(first, second, third, ENDPOINT_OCTET);
    let endpoints = TroubledEndpoints::start(ENDPOINTS, ip, fleet.registries());
    let (end, ended) = watch::channel(false);
    let callers = Arc::new(ReplacementCallers::new(fleet.gateways(), ended));
    let mut run = ReplacementRun {
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        fleet,
        registries: plan.registries,
        gateways: plan.gateways,
        spare: plan.registries,
        by_age: (0..plan.registries).collect(),
        endpoints,
        frozen: Vec::new(),
        stopped: Vec::new(),
        ended: Vec::new(),
        document: 0,
        report: ReplacementReport::default(),
    };
    run.publish().await;
    run.fleet.set_founded();
    run.check_served(&callers).await;
    tokio::time::sleep(CATCH_UP).await;
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS_PER_GATEWAY * plan.gateways {
        tasks.spawn(Arc::clone(&callers).run(caller));
    }
    for _ in 0..plan.replacements {
        if !run.replace().await? {
            break;
        }
    }
    run.heal().await?;
    run.publish().await;
    run.check_read_back().await;
    run.check_served(&callers).await;
    end.send_replace(true);
    while tasks.join_next().await.is_some() {}
    run.measure_memory();
    let mut report = run.report;
    report.statuses = callers.statuses();
    report.endless_answers = run.endpoints.state.endless_answers();
    report
        .breaches
        .extend(callers.breaches(&run.endpoints.state));
    run.fleet.end().await?;
    Ok(report)
}

pub(crate) fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"service":"{POOL}","maxAttempts":2}},{{"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"service":"{POOL}","maxAttempts":2}},{{"name":"stream","host":"h.example","pathPrefix":"/stream/","kind":"stream","timeoutMs":3000,"targetLatencyMs":500,"targetGapMs":100,"service":"{POOL}","maxAttempts":2,"resumable":true}}],"services":[{{"name":"{POOL}","maxConnections":1000}}],"tenants":[{{"name":"w","apiKeys":["key-w"]}}]}}"#
    )
}

impl ReplacementRun {
    /// Replaces a control VM, with other faults and changes meanwhile. Returns false if there is no
    /// further address.
    async fn replace(&mut self) -> Result<bool> {
        let removal = Removal::draw(&mut self.random);
        let leader = self
            .fleet
            .find_leader()
            .filter(|index| *index != self.spare);
        let victim = match (removal.victim, leader) {
            (RemovalVictim::Leader, Some(leader)) => leader,
            (RemovalVictim::Leader, None) | (RemovalVictim::Oldest, _) => self.by_age[0],
        };
        log::info!("event=control_vm_replaced removal={removal:?} position={victim}");
        let successor = self.spare;
        if removal.kind == RemovalKind::Planned {
            if !self.fleet.start_successor(successor)? {
                return Ok(false);
            }
            self.pass(CATCH_UP).await?;
            self.remove(victim, Signal::SIGTERM).await?;
        } else {
            let signal = match removal.kind {
                RemovalKind::Killed => Signal::SIGKILL,
                RemovalKind::Stopped | RemovalKind::Planned => Signal::SIGTERM,
            };
            self.remove(victim, signal).await?;
            self.pass(removal.absence).await?;
            if !self.fleet.start_successor(successor)? {
                return Ok(false);
            }
        }
        self.spare = victim;
        self.by_age.retain(|index| *index != victim);
        self.by_age.push(successor);
        self.endpoints.state.set_registries(self.fleet.registries());
        self.report.replaced += 1;
        self.pass(CATCH_UP).await?;
        self.publish().await;
        Ok(true)
    }

    /// Ends the process of a control VM for good.
    async fn remove(&mut self, index: usize, signal: Signal) -> Result<()> {
        self.fleet.signal(index, signal)?;
        let fleet = &mut self.fleet;
        wait_until(async || !fleet.is_running(index)).await;
        self.fleet.kill(index).await
    }

    /// Lets time pass, with faults and changes beside the replacements.
    async fn pass(&mut self, time: Duration) -> Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.thaw()?;
            if self.random.random_bool(SIDE_STEP_PROBABILITY) {
                let step = SideStep::draw(&mut self.random, self.gateways, ENDPOINTS);
                self.take_step(step).await?;
            }
            let rest = end.saturating_duration_since(Instant::now());
            tokio::time::sleep(STEP_TIME.min(rest)).await;
            self.measure_memory();
            self.check_running();
        }
        Ok(())
    }

    async fn take_step(&mut self, step: SideStep) -> Result<()> {
        log::info!("event=side_step step={step:?}");
        let gateway = |index: usize| self.registries + 1 + index;
        match step {
            SideStep::Kill(index) => {
                let index = gateway(index);
                self.ended.push(index);
                self.fleet.signal(index, Signal::SIGKILL)
            }
            SideStep::Stop(index) => {
                let index = gateway(index);
                self.stopped.push(index);
                self.fleet.signal(index, Signal::SIGTERM)
            }
            SideStep::Freeze(index) => {
                let index = gateway(index);
                self.frozen.push(index);
                self.fleet.signal(index, Signal::SIGSTOP)
            }
            SideStep::Reload(index) => self.fleet.signal(gateway(index), Signal::SIGHUP),
            SideStep::Start => self.start_gateways(),
            SideStep::Trouble(index, kind) => {
                self.endpoints.state.set_kind(index, Some(kind));
                Ok(())
            }
            SideStep::Recover => {
                self.recover_endpoints();
                Ok(())
            }
            SideStep::Publish => {
                self.publish().await;
                Ok(())
            }
        }
    }

    fn recover_endpoints(&self) {
        (0..ENDPOINTS).for_each(|index| self.endpoints.state.set_kind(index, None));
    }

    fn thaw(&mut self) -> Result<()> {
        for index in std::mem::take(&mut self.frozen) {
            self.fleet.signal(index, Signal::SIGCONT)?;
        }
        Ok(())
    }

    fn start_gateways(&mut self) -> Result<()> {
        for index in self.registries + 1..self.fleet.len() {
            if !self.fleet.is_running(index) {
                self.fleet.start_at(index)?;
                self.stopped.retain(|stopped| *stopped != index);
                self.ended.retain(|ended| *ended != index);
            }
        }
        Ok(())
    }

    async fn heal(&mut self) -> Result<()> {
        self.thaw()?;
        self.recover_endpoints();
        // One that is still stopping would not be started again.
        for index in std::mem::take(&mut self.stopped) {
            let fleet = &mut self.fleet;
            wait_until(async || !fleet.is_running(index)).await;
        }
        self.start_gateways()
    }

    /// Publishes the next document, and checks that it is accepted in time.
    async fn publish(&mut self) {
        self.document += 1;
        let start = Instant::now();
        let is_accepted = self.fleet.publish(&document(self.document)).await;
        let time = start.elapsed();
        self.report.slowest_document = self.report.slowest_document.max(time);
        self.report.documents += u64::from(is_accepted);
        if !is_accepted || time > RECOVERY_TIME {
            let breach = format!(
                "document {} was not accepted within {} ms, after {} replacements",
                self.document,
                time.as_millis(),
                self.report.replaced
            );
            self.report.breaches.push(breach);
        }
    }

    /// Checks that the newest document is read back as it was sent.
    async fn check_read_back(&mut self) {
        let expected = document(self.document);
        let deadline = Instant::now() + RECOVERY_TIME;
        while Instant::now() < deadline {
            for registry in self.fleet.registries() {
                let answer = call_once(registry, "GET /config/get", "").await;
                if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                    if answer.body != expected {
                        let breach = format!("read back another document: {}", answer.body);
                        self.report.breaches.push(breach);
                    }
                    return;
                }
            }
            tokio::time::sleep(STEP_TIME).await;
        }
        let breach = "no registry returns the document".to_string();
        self.report.breaches.push(breach);
    }

    /// Checks that every gateway serves a request in time.
    async fn check_served(&mut self, callers: &ReplacementCallers) {
        let deadline = Instant::now() + RECOVERY_TIME;
        for gateway in 0..self.gateways {
            let mut connection = callers.connection(gateway);
            while callers
                .send(&mut connection, CallKind::Idempotent, false)
                .await
                != 200
            {
                if Instant::now() > deadline {
                    let breach = format!("gateway {gateway} serves nothing");
                    self.report.breaches.push(breach);
                    break;
                }
                tokio::time::sleep(STEP_TIME / 5).await;
            }
        }
    }

    /// Checks that no gateway has ended by itself.
    fn check_running(&mut self) {
        for index in self.registries + 1..self.fleet.len() {
            let is_expected = self.ended.contains(&index) || self.stopped.contains(&index);
            if !is_expected && !self.fleet.is_running(index) {
                self.ended.push(index);
                let breach = format!("gateway {index} has ended by itself");
                self.report.breaches.push(breach);
            }
        }
    }

    fn measure_memory(&mut self) {
        for index in self.registries + 1..self.fleet.len() {
            let memory = self.fleet.peak_memory(index).unwrap_or_default();
            if memory > MAX_MEMORY && self.report.peak_memory <= MAX_MEMORY {
                let breach = format!("gateway {index} has {} MB", memory >> 20);
                self.report.breaches.push(breach);
            }
            self.report.peak_memory = self.report.peak_memory.max(memory);
        }
    }
}
