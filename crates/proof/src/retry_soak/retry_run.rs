use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::counted_endpoint::{
    ENGINE_POOL, EndpointState, EngineMode, STAGE_POOL, start_endpoints,
};
use super::retry_callers::RetryCallers;
use super::retry_play::{PlayStep, STEP_TIME, STEPS};
use super::{BudgetLimits, BudgetUse, Result, RetryPlay, RetryReport};
use crate::gateway_fleet::{FleetPlan, KeptConnection, ProcessFleet, STOP_TIME_MS, wait_until};
use crate::run_address;

const REGISTRIES: usize = 3;
const ENGINES: usize = 8;
const STAGE_ENDPOINTS: usize = 4;

/// Last octet of the endpoints' address.
const ENDPOINT_OCTET: u8 = 250;

/// Callers for each gateway.
const CALLERS_PER_GATEWAY: usize = 2;

/// Limits of retries.
const LIMITS: BudgetLimits = BudgetLimits {
    share: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

/// Time after the fleet serves until faults begin; longer than the window, so that all entries know
/// what they used in it.
const WARM_UP: Duration = Duration::from_secs(17);

/// Time after the last step in which calls end.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Metric of a gateway: sends beyond the first.
const REPEATS_METRIC: &str = "savorywalk_gateway_repeat_sends";

/// Configuration: routes to one pool of engines, one of them with a stage.
const DOCUMENT: &str = r#"{"version": 1, "routes": [
    {"name": "safe", "host": "h.example", "pathPrefix": "/safe/", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 1000, "service": "p", "maxAttempts": 3},
    {"name": "rejected", "host": "h.example", "pathPrefix": "/rejected/", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 1000, "service": "p", "maxAttempts": 3},
    {"name": "unsafe", "host": "h.example", "pathPrefix": "/unsafe/", "kind": "unsafe", "timeoutMs": 4000, "targetLatencyMs": 1000, "service": "p", "maxAttempts": 2},
    {"name": "staged", "host": "h.example", "pathPrefix": "/staged/", "kind": "safe", "timeoutMs": 4000, "targetLatencyMs": 1000, "service": "p", "maxAttempts": 3,
     "stages": [{"service": "st", "after": [], "bytes": 1000}]}],
    "services": [{"name": "p", "maxConnections": 1000},
    {"name": "st", "maxConnections": 1000, "segments": {"slots": 1, "queue": 2, "batch": 8, "callMs": 10, "itemMs": 2, "headroomMb": 10, "handleS": 4, "linkMbps": 10000}}],
    "tenants": [{"name": "w", "apiKeys": ["key-w"]}]}"#;

/// One run.
#[derive(Clone, Debug)]
pub struct RetryPlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Program of every second gateway, of an earlier version; the usual one without it.
    pub earlier_program: Option<PathBuf>,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Gateways to start, 200 at most.
    pub gateways: usize,
    /// What goes wrong.
    pub play: RetryPlay,
    /// Seed of what is drawn.
    pub seed: u64,
}

/// Runs gateways and registries as processes before endpoints that count what reaches them, and
/// compares it with the retry limits.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started or signalled.
pub async fn run_retries(plan: &RetryPlan) -> Result<RetryReport> {
    let base = run_address::next_network();
    let fleet_plan = FleetPlan {
        registries: REGISTRIES,
        gateways: plan.gateways,
        retry_share: LIMITS.share,
        retry_extra: LIMITS.extra,
        retry_window_ms: LIMITS.window.as_millis() as u64,
        stop_time_ms: STOP_TIME_MS,
        log_level: "info",
        limits: "",
    };
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    fleet.mix_versions(plan.earlier_program.clone());
    fleet.start_stopped().await?;
    if !fleet.publish(DOCUMENT).await {
        log::error!("event=document_not_accepted");
    }
    let state = Arc::<EndpointState>::default();
    let [first, second, third, _] = base.octets();
    let ip = Ipv4Addr::new(first, second, third, ENDPOINT_OCTET);
    let registries = fleet.registries();
    let _engines = start_endpoints(ENGINE_POOL, ENGINES, ip, &registries, &state);
    let _stages = start_endpoints(STAGE_POOL, STAGE_ENDPOINTS, ip, &registries, &state);
    let (end, ended) = watch::channel(false);
    let callers = RetryCallers::new(fleet.gateways(), Arc::clone(&state), ended);
    let callers = Arc::new(callers);
    wait_until_served(&callers).await;
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS_PER_GATEWAY * plan.gateways {
        let (callers, play) = (Arc::clone(&callers), plan.play);
        tasks.spawn(async move {
            match play {
                RetryPlay::OneGateway => callers.send_rejected_to_first(caller).await,
                _ => callers.send_all_routes(caller).await,
            }
        });
    }
    tokio::time::sleep(WARM_UP).await;
    play_steps(plan, &mut fleet, &state).await?;
    state.set_mode(EngineMode::Serve);
    state.set_breaks_stages(false);
    heal(&mut fleet).await?;
    end.send_replace(true);
    tokio::time::sleep(SETTLING_TIME).await;
    tasks.shutdown().await;
    let report = report(plan, &fleet, &callers).await;
    fleet.end().await?;
    Ok(report)
}

async fn play_steps(
    plan: &RetryPlan,
    fleet: &mut ProcessFleet,
    state: &EndpointState,
) -> Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    state.set_mode(plan.play.first_mode());
    for step in 0..STEPS {
        let steps = plan
            .play
            .steps_at(step, REGISTRIES, plan.gateways, &mut random);
        for step in steps {
            log::info!("event=play_step step={step:?}");
            take_step(step, fleet, state).await?;
        }
        tokio::time::sleep(STEP_TIME).await;
        if !plan.play.keeps_processes() && plan.play != RetryPlay::Series {
            fleet.start_stopped().await?;
        }
    }
    Ok(())
}

async fn take_step(step: PlayStep, fleet: &mut ProcessFleet, state: &EndpointState) -> Result<()> {
    match step {
        PlayStep::SetMode(mode) => state.set_mode(mode),
        PlayStep::SetBreaksStages(breaks) => state.set_breaks_stages(breaks),
        PlayStep::Restart(indexes) => {
            for index in indexes {
                fleet.kill(index).await?;
            }
            fleet.start_stopped().await?;
        }
        PlayStep::Kill(index) => fleet.signal(index, Signal::SIGKILL)?,
        PlayStep::Stop(index) => fleet.signal(index, Signal::SIGTERM)?,
        PlayStep::Freeze(index) => fleet.signal(index, Signal::SIGSTOP)?,
        PlayStep::Heal => heal(fleet).await?,
    }
    Ok(())
}

/// Lets frozen processes continue and starts the ended ones again.
async fn heal(fleet: &mut ProcessFleet) -> Result<()> {
    for index in 0..fleet.len() {
        fleet.signal(index, Signal::SIGCONT)?;
    }
    fleet.start_stopped().await?;
    Ok(())
}

async fn wait_until_served(callers: &RetryCallers) {
    for (index, address) in callers.gateways.iter().enumerate() {
        let is_served = wait_until(async || {
            let mut connection = KeptConnection::new(*address);
            callers.send(&mut connection, "/staged/").await == Some(200)
        });
        if !is_served.await {
            log::error!("event=gateway_not_serving gateway={index}");
        }
    }
}

async fn report(plan: &RetryPlan, fleet: &ProcessFleet, callers: &RetryCallers) -> RetryReport {
    let by_pool = callers.state.log.by_pool();
    let uses = by_pool.iter();
    let uses = uses.map(|(pool, arrivals)| (*pool, BudgetUse::worst(arrivals, LIMITS)));
    let mut counts = BTreeMap::new();
    if plan.play.keeps_processes() && plan.earlier_program.is_none() {
        for (pool, arrivals) in &by_pool {
            let label = format!("pool=\"{pool}\"");
            let counted = fleet.sum_metric(REPEATS_METRIC, &label).await;
            counts.insert(*pool, (counted as u64, arrivals.repeats.len() as u64));
        }
    }
    RetryReport {
        uses: uses.collect(),
        sent: callers.sent.load(Ordering::Relaxed),
        served: callers.served.load(Ordering::Relaxed),
        counts,
    }
}
