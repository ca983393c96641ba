use std::path::PathBuf;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::prompt_engine::{CRASHING_PART, EngineLog, start_engines};
use super::soak_callers::SoakCallers;
use super::{PromptReport, Result};
use crate::gateway_fleet::{FleetPlan, KeptConnection, ProcessFleet, STOP_TIME_MS, wait_until};
use crate::run_address;

/// Registries of a run, of which one at a time is ended or frozen.
const REGISTRIES: usize = 3;

const ENGINES: usize = 9;

/// Last octet of the engines' address.
const ENGINE_OCTET: u8 = 250;

/// Steps of a run, and the pause after each, in which callers go on.
const STEPS: usize = 16;
const STEP_TIME: Duration = Duration::from_millis(200);

/// Callers of sound requests, and of those with the crashing part.
const SOUND_CALLERS: usize = 12;
const CRASHING_CALLERS: usize = 2;

/// Requests of each kind after the faults.
const FINAL_REQUESTS: usize = 40;

/// Retry limits that no run reaches, so that nothing but a quarantine ends retries.
const RETRY_SHARE: f64 = 10.0;
const RETRY_EXTRA: f64 = 1_000.0;
const RETRY_WINDOW_MS: u64 = 10_000;

/// Metric of a gateway: number of quarantined parts.
const QUARANTINED_METRIC: &str = "savorywalk_gateway_quarantined_parts";

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct PromptPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Gateways to start, 200 at most.
    pub gateways: usize,
    /// Seed of the faults.
    pub seed: u64,
}

/// What the steps of one run change.
struct PromptRun {
    random: ChaCha8Rng,
    fleet: ProcessFleet,
    log: Arc<EngineLog>,
    /// Number of the newest document.
    document: u64,
    /// Registry that is ended or frozen, if one is.
    lost_registry: Option<usize>,
}

/// Runs gateways and registries as processes under a seeded series of overlapping faults, and checks
/// what reaches engines, and what is refused, after them.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started or signalled.
pub async fn run_prompts(plan: &PromptPlan) -> Result<PromptReport> {
    let base = run_address::next_network();
    let fleet_plan = FleetPlan {
        registries: REGISTRIES,
        gateways: plan.gateways,
        retry_share: RETRY_SHARE,
        retry_extra: RETRY_EXTRA,
        retry_window_ms: RETRY_WINDOW_MS,
        stop_time_ms: STOP_TIME_MS,
        log_level: "warn",
        limits: "",
    };
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    fleet.start_stopped().await?;
    let mut run = PromptRun {
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        fleet,
        log: Arc::default(),
        document: 0,
        lost_registry: None,
    };
    run.publish().await;
    let [first, second, third, _] = base.octets();
    let engine_ip = std::net::Ipv4Addr::new(first, second, third, ENGINE_OCTET);
    let _engines = start_engines(ENGINES, engine_ip, &run.fleet.registries(), &run.log);
    let (end, ended) = watch::channel(false);
    let callers = Arc::new(SoakCallers::new(run.fleet.gateways(), ended));
    wait_until_served(&callers, plan.gateways).await;
    let mut tasks = JoinSet::new();
    for caller in 0..SOUND_CALLERS + CRASHING_CALLERS {
        let callers = Arc::clone(&callers);
        tasks.spawn(async move {
            match caller < SOUND_CALLERS {
                true => callers.send_sound(caller).await,
                false => callers.send_crashing(caller).await,
            }
        });
    }
    for _ in 0..STEPS {
        run.take_step().await?;
        tokio::time::sleep(STEP_TIME).await;
    }
    run.heal().await?;
    for _ in 0..STEPS {
        // A process may start before the end of its predecessor has freed its ports.
        tokio::time::sleep(STEP_TIME).await;
        run.fleet.start_stopped().await?;
    }
    let is_found = run.fleet.wait_for_metric(QUARANTINED_METRIC).await;
    end.send_replace(true);
    while tasks.join_next().await.is_some() {}
    let mut report = PromptReport {
        is_found,
        sends: run.log.crashing_prompts.load(Ordering::Relaxed),
        served: callers.served.load(Ordering::Relaxed),
        blamed: callers.blamed.load(Ordering::Relaxed),
        final_requests: FINAL_REQUESTS,
        final_served: send_final(&callers).await,
        ..PromptReport::default()
    };
    report.crashes = run.log.crashes.load(Ordering::Relaxed);
    report.further_sends = run.log.crashing_prompts.load(Ordering::Relaxed) - report.sends;
    // The next run has the same addresses.
    run.fleet.end().await?;
    Ok(report)
}

async fn wait_until_served(callers: &SoakCallers, gateways: usize) {
    for gateway in 0..gateways {
        let is_served = wait_until(async || {
            let mut connection = KeptConnection::new(callers.gateway(gateway));
            let answer = callers.send(&mut connection, "b0").await;
            answer.is_some_and(|answer| answer.status == 200)
        });
        if !is_served.await {
            log::error!("event=gateway_not_serving gateway={gateway}");
        }
    }
}

/// Sends requests of both kinds to all gateways, and returns how many sound ones are served.
async fn send_final(callers: &SoakCallers) -> usize {
    let mut served = 0;
    for number in 0..FINAL_REQUESTS {
        let mut connection = KeptConnection::new(callers.gateway(number));
        callers.send(&mut connection, CRASHING_PART).await;
        let answer = callers.send(&mut connection, "b0").await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    served
}

impl PromptRun {
    /// One fault, or the end of one. The first gateway is never ended, so that callers find one.
    async fn take_step(&mut self) -> Result<()> {
        let gateway = self.random.random_range(REGISTRIES + 1..self.fleet.len());
        match self.random.random_range(0..9) {
            0 => self.fleet.signal(gateway, Signal::SIGKILL)?,
            1 => self.fleet.signal(gateway, Signal::SIGTERM)?,
            2 => self.fleet.signal(gateway, Signal::SIGSTOP)?,
            3 => self.fleet.signal(gateway, Signal::SIGCONT)?,
            4 => self.fleet.signal(gateway, Signal::SIGHUP)?,
            5 => self.lose_registry()?,
            6 => self.heal().await?,
            7 => self.publish().await,
            _ => {
                for _ in 0..self.random.random_range(1..4) {
                    self.log.failure.notify_one();
                }
            }
        }
        Ok(())
    }

    /// Kills or freezes a registry, if no other one is lost; the leader may be among them.
    fn lose_registry(&mut self) -> Result<()> {
        if self.lost_registry.is_some() {
            return Ok(());
        }
        let registry = self.random.random_range(0..REGISTRIES);
        self.lost_registry = Some(registry);
        let signal = match self.random.random_bool(0.5) {
            true => Signal::SIGKILL,
            false => Signal::SIGSTOP,
        };
        self.fleet.signal(registry, signal)
    }

    /// Lets frozen processes go on and starts the ended ones again.
    async fn heal(&mut self) -> Result<()> {
        for index in 0..self.fleet.len() {
            self.fleet.signal(index, Signal::SIGCONT)?;
        }
        self.lost_registry = None;
        self.fleet.start_stopped().await?;
        Ok(())
    }

    async fn publish(&mut self) {
        self.document += 1;
        let document = format!(
            r#"{{"version": {}, "routes": [{{"name": "safe", "host": "h.example", "pathPrefix": "/safe/", "kind": "safe", "timeoutMs": 15000, "targetLatencyMs": 10000, "service": "p", "maxAttempts": 2}}], "services": [{{"name": "p", "maxConnections": 1000}}], "tenants": [{{"name": "w", "apiKeys": ["key-w"]}}]}}"#,
            self.document
        );
        if !self.fleet.publish(&document).await {
            log::error!("event=document_not_accepted number={}", self.document);
        }
    }
}
