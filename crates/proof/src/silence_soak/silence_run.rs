use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorywalk::prelude::*;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::endpoint_switch::SilenceKind;
use super::gateway_timeline::GatewayTimeline;
use super::silence_step::{
    MIN_ROUTE_TIMEOUT_MS, RegistryLoss, STEP_TIME, STEPS, SilenceStep, StepScope, draw_planned,
};
use super::silent_endpoint::{ENGINE_POOL, EndpointPool, STAGE_POOL};
use super::stream_callers::StreamCallers;
use super::stream_check::StreamCheck;
use super::{Result, SilencePlay, SilenceReport, StreamEnd};
use crate::gateway_fleet::{FleetPlan, ProcessFleet, wait_until};
use crate::run_address;

const REGISTRIES: usize = 3;
const ENGINES: usize = 6;
const STAGE_ENDPOINTS: usize = 3;

/// Last octets of the engines' address and of the stage endpoints'.
const ENGINE_OCTET: u8 = 250;
const STAGE_OCTET: u8 = 251;

/// Events of a stream in a fixed play.
const EVENTS: u64 = 40;

/// Events of a stream that is to run until shortly before its gateway's stop time ends.
const STOPPING_EVENTS: u64 = 55;

/// Silences of sound engines, in milliseconds.
const SHORT_SILENCE_MS: std::ops::Range<u64> = 1_200..1_300;

/// Silence of idle engines, longer than callers wait.
const IDLE_SILENCE: Duration = Duration::from_millis(2_500);

/// Silence of the endpoints of stages.
const STAGE_SILENCE: Duration = Duration::from_secs(4);

/// Pause of a stream of a stopping gateway, and the part of the stop time after which it begins.
const STOPPING_PAUSE: Duration = Duration::from_millis(1_400);
const STOPPING_PAUSE_START: f64 = 0.6;

/// Engines that go on in a play in which most are silent.
const SPEAKING_ENGINES: usize = 2;

/// Retry limits that allow no more than a retry or two, and those that no play reaches.
const SPENT_SHARE: f64 = 0.01;
const SPENT_EXTRA: f64 = 1.0;
const AMPLE_SHARE: f64 = 10.0;
const AMPLE_EXTRA: f64 = 1_000.0;
const RETRY_WINDOW_MS: u64 = 2_000;

/// Time after which all entries know what they sent in a window, and grant the extra retries; see
/// docs/design/retry-budget.md.
const WARM_UP: Duration = Duration::from_millis(RETRY_WINDOW_MS + 6_000);

/// Route timeout and idle timeout of the first document, in milliseconds.
const FIRST_TIMEOUT_MS: u64 = 15_000;

/// Callers of each gateway in a series, and the events of their streams.
const CALLERS_PER_GATEWAY: usize = 4;
const SERIES_EVENTS: [u64; 4] = [10, 20, 30, 40];

/// One run.
#[derive(Clone, Debug)]
pub struct SilencePlan {
    /// The `savorywalk` program.
    pub program: PathBuf,
    /// Folder for the run's files.
    pub folder: PathBuf,
    /// Gateways to start, 200 at most.
    pub gateways: usize,
    /// What goes wrong.
    pub play: SilencePlay,
    /// Seed of what is drawn.
    pub seed: u64,
}

/// What a run consists of.
struct SilenceRun {
    play: SilencePlay,
    random: ChaCha8Rng,
    fleet: ProcessFleet,
    engines: EndpointPool,
    stages: EndpointPool,
    callers: Arc<StreamCallers>,
    gateways: GatewayTimeline,
    /// Number of the newest document.
    document: u64,
    /// Whether a registry is killed or frozen.
    has_lost_registry: bool,
}

/// Runs gateways and registries as processes before engines that fall silent, and checks that no
/// stream is broken off whose engine goes on.
///
/// # Errors
///
/// [`crate::ProcessError`] if a process can't be started or signalled.
pub async fn run_silences(plan: &SilencePlan) -> Result<SilenceReport> {
    let base = run_address::next_network();
    let (retry_share, retry_extra) = match plan.play.has_spent_budget(plan.seed) {
        true => (SPENT_SHARE, SPENT_EXTRA),
        false => (AMPLE_SHARE, AMPLE_EXTRA),
    };
    let fleet_plan = FleetPlan {
        registries: REGISTRIES,
        gateways: plan.gateways,
        retry_share,
        retry_extra,
        retry_window_ms: RETRY_WINDOW_MS,
        stop_time_ms: plan.play.stop_time().as_millis() as u64,
        log_level: "info",
        limits: "",
    };
    let mut fleet = ProcessFleet::new(&plan.program, &plan.folder, base, fleet_plan);
    fleet.start_stopped().await?;
    if !fleet
        .publish(&document(1, FIRST_TIMEOUT_MS, FIRST_TIMEOUT_MS))
        .await
    {
        log::error!("event=document_not_accepted");
    }
    let [first, second, third, _] = base.octets();
    let ip = |octet| Ipv4Addr::new(first, second, third, octet);
    let registries = fleet.registries();
    let engines = EndpointPool::start(ENGINE_POOL, ENGINES, ip(ENGINE_OCTET), &registries);
    let stages = EndpointPool::start(STAGE_POOL, STAGE_ENDPOINTS, ip(STAGE_OCTET), &registries);
    let (end, ended) = watch::channel(false);
    let callers = Arc::new(StreamCallers::new(fleet.gateways(), ended));
    let mut run = SilenceRun {
        play: plan.play,
        random: ChaCha8Rng::seed_from_u64(plan.seed),
        fleet,
        engines,
        stages,
        callers,
        gateways: GatewayTimeline::default(),
        document: 1,
        has_lost_registry: false,
    };
    run.wait_until_served(plan.gateways).await;
    tokio::time::sleep(WARM_UP).await;
    match plan.play.is_drawn() {
        true => run.play_series(plan.gateways, &end).await?,
        false => run.play_silences(plan.gateways).await?,
    }
    let report = run.report();
    run.fleet.end().await?;
    Ok(report)
}

/// Configuration: one route of streams with a stage.
fn document(version: u64, timeout_ms: u64, idle_timeout_ms: u64) -> String {
    format!(
        r#"{{"version": {version}, "routes": [
        {{"name": "stream", "host": "h.example", "pathPrefix": "/stream/", "kind": "stream", "timeoutMs": {timeout_ms}, "targetLatencyMs": 500, "service": "{ENGINE_POOL}", "maxAttempts": 2, "resumable": true, "targetGapMs": 200,
         "stages": [{{"service": "{STAGE_POOL}", "after": [], "bytes": 1000}}]}}],
        "services": [{{"name": "{ENGINE_POOL}", "maxConnections": 1000}},
        {{"name": "{STAGE_POOL}", "maxConnections": 1000, "segments": {{"slots": 1, "queue": 2, "batch": 8, "callMs": 20, "itemMs": 2, "headroomMb": 10, "handleS": 4, "linkMbps": 10000}}}}],
        "limits": {{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": {idle_timeout_ms}}},
        "tenants": [{{"name": "w", "apiKeys": ["key-w"]}}]}}"#
    )
}

impl SilenceRun {
    async fn wait_until_served(&self, gateways: usize) {
        for gateway in 0..gateways {
            let is_served = wait_until(async || {
                let mut connection = self.callers.connection(gateway);
                self.callers.send(&mut connection, 1).await == StreamEnd::Whole
            });
            if !is_served.await {
                log::error!("event=gateway_not_serving gateway={gateway}");
            }
        }
        self.callers.take_outcomes();
        self.callers.begun.store(0, Ordering::Relaxed);
    }

    /// Begins streams at all gateways at once, brings about the faults, and waits for the streams.
    async fn play_silences(&mut self, gateways: usize) -> Result<()> {
        let events = match self.play {
            SilencePlay::StoppingGateway => STOPPING_EVENTS,
            _ => EVENTS,
        };
        let streams_per_gateway = self.play.streams_per_gateway();
        let count = streams_per_gateway * self.play.used_gateways(gateways);
        let mut streams = JoinSet::new();
        for position in 0..count {
            let callers = Arc::clone(&self.callers);
            let gateway = position / streams_per_gateway;
            streams.spawn(async move {
                callers.send(&mut callers.connection(gateway), events).await;
            });
        }
        wait_until(async || self.callers.begun.load(Ordering::Relaxed) >= count).await;
        self.begin_silences().await?;
        while streams.join_next().await.is_some() {}
        Ok(())
    }

    async fn begin_silences(&mut self) -> Result<()> {
        match self.play {
            SilencePlay::SpentBudget => self.silence_engines(0),
            SilencePlay::SilentStages => {
                for index in 0..STAGE_ENDPOINTS {
                    let time = Some(STAGE_SILENCE);
                    self.stages.fall_silent(index, SilenceKind::Calls, time);
                }
                self.silence_engines(0);
            }
            SilencePlay::FullEngines => {
                self.fill_engines(true);
                self.silence_engines(SPEAKING_ENGINES);
            }
            SilencePlay::PreemptedStreams => {
                self.fill_engines(true);
                for index in 0..ENGINES {
                    let time = self.draw_short_silence();
                    self.engines.switches[index].preempt(time);
                }
            }
            SilencePlay::StoppingGateway => {
                self.fleet.signal(REGISTRIES, Signal::SIGTERM)?;
                let start = self.play.stop_time().mul_f64(STOPPING_PAUSE_START);
                tokio::time::sleep(start).await;
                self.engines.switches[0].preempt(STOPPING_PAUSE);
            }
            SilencePlay::LostEngine => self.engines.fall_silent(0, SilenceKind::Process, None),
            SilencePlay::LostPath => self.engines.fall_silent(0, SilenceKind::Path, None),
            SilencePlay::IdleEngines | SilencePlay::SilentAfterHead => self.silence_idle_engines(),
            SilencePlay::Series | SilencePlay::PlannedWork => {}
        }
        Ok(())
    }

    /// Makes all engines silent for a second, but the first `speaking`.
    fn silence_engines(&mut self, speaking: usize) {
        for index in speaking..ENGINES {
            let time = Some(self.draw_short_silence());
            self.engines.fall_silent(index, SilenceKind::Calls, time);
        }
    }

    /// Makes the engines that work on streams silent for a second, and the others for longer: at once,
    /// or once they have sent a head.
    fn silence_idle_engines(&mut self) {
        for index in 0..ENGINES {
            let is_idle = !self.engines.timeline.has_runs(index);
            if is_idle && self.play == SilencePlay::SilentAfterHead {
                self.engines.switches[index].fall_silent_after_head(IDLE_SILENCE);
                continue;
            }
            let time = match is_idle {
                true => IDLE_SILENCE,
                false => self.draw_short_silence(),
            };
            self.engines
                .fall_silent(index, SilenceKind::Calls, Some(time));
        }
    }

    fn draw_short_silence(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(SHORT_SILENCE_MS))
    }

    fn fill_engines(&self, is_full: bool) {
        for switch in &self.engines.switches {
            switch.set_refuses(is_full);
        }
    }

    /// Sends streams to all gateways while drawn faults overlap.
    async fn play_series(&mut self, gateways: usize, end: &watch::Sender<bool>) -> Result<()> {
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS_PER_GATEWAY * gateways {
            let sender = Arc::clone(&self.callers);
            callers.spawn(async move {
                let events = |number| SERIES_EVENTS[(caller + number) % SERIES_EVENTS.len()];
                sender.send_until_ended(caller, events).await;
            });
        }
        let scope = StepScope {
            engines: ENGINES,
            stages: STAGE_ENDPOINTS,
            registries: REGISTRIES,
            gateways,
        };
        for _ in 0..STEPS {
            for step in self.draw_steps(scope) {
                log::info!("event=silence_step step={step:?}");
                self.take_step(step).await?;
            }
            tokio::time::sleep(STEP_TIME).await;
        }
        self.heal().await?;
        end.send_replace(true);
        while callers.join_next().await.is_some() {}
        Ok(())
    }

    fn draw_steps(&mut self, scope: StepScope) -> Vec<SilenceStep> {
        match self.play {
            SilencePlay::PlannedWork => draw_planned(scope, &mut self.random),
            _ => vec![SilenceStep::draw(scope, &mut self.random)],
        }
    }

    async fn take_step(&mut self, step: SilenceStep) -> Result<()> {
        let now = Instant::now();
        match step {
            SilenceStep::SilenceEngines(indexes, kind, time) => {
                for index in indexes {
                    self.engines.fall_silent(index, kind, time);
                }
            }
            SilenceStep::SilenceStage(index, time) => {
                self.stages
                    .fall_silent(index, SilenceKind::Calls, Some(time));
            }
            SilenceStep::Preempt(index, time) => self.engines.switches[index].preempt(time),
            SilenceStep::FillEngines(is_full) => self.fill_engines(is_full),
            SilenceStep::Publish(timeout_ms, idle_timeout_ms) => {
                self.document += 1;
                let document = document(self.document, timeout_ms, idle_timeout_ms);
                if !self.fleet.publish(&document).await {
                    log::error!("event=document_not_accepted number={}", self.document);
                }
            }
            SilenceStep::Kill(gateway) => {
                self.gateways.record_kill(gateway, now);
                self.signal_gateway(gateway, Signal::SIGKILL)?;
            }
            SilenceStep::Stop(gateway) => {
                self.gateways.record_stop(gateway, now);
                self.signal_gateway(gateway, Signal::SIGTERM)?;
            }
            SilenceStep::Freeze(gateway) => {
                self.gateways.record_freeze(gateway, now);
                self.signal_gateway(gateway, Signal::SIGSTOP)?;
            }
            SilenceStep::Thaw => self.thaw()?,
            SilenceStep::Start => self.start_stopped().await?,
            SilenceStep::Reload(gateway) => self.signal_gateway(gateway, Signal::SIGHUP)?,
            SilenceStep::LoseRegistry(_, _) if self.has_lost_registry => {}
            SilenceStep::LoseRegistry(registry, loss) => {
                self.has_lost_registry = true;
                let signal = match loss {
                    RegistryLoss::Killed => Signal::SIGKILL,
                    RegistryLoss::Frozen => Signal::SIGSTOP,
                };
                self.fleet.signal(registry, signal)?;
            }
            SilenceStep::Heal => self.heal().await?,
        }
        Ok(())
    }

    fn signal_gateway(&mut self, gateway: usize, signal: Signal) -> Result<()> {
        self.fleet.signal(REGISTRIES + gateway, signal)
    }

    fn thaw(&mut self) -> Result<()> {
        for gateway in self.gateways.frozen() {
            self.signal_gateway(gateway, Signal::SIGCONT)?;
            self.gateways.record_thaw(gateway, Instant::now());
        }
        Ok(())
    }

    /// Lets frozen processes and engines that are silent for good go on, and starts the ended ones
    /// again.
    async fn heal(&mut self) -> Result<()> {
        self.thaw()?;
        for registry in 0..REGISTRIES {
            self.fleet.signal(registry, Signal::SIGCONT)?;
        }
        self.has_lost_registry = false;
        self.fill_engines(false);
        for index in 0..ENGINES {
            self.engines.go_on(index);
        }
        self.start_stopped().await
    }

    async fn start_stopped(&mut self) -> Result<()> {
        for process in self.fleet.start_stopped().await? {
            if let Some(gateway) = process.checked_sub(REGISTRIES) {
                self.gateways.record_start(gateway, Instant::now());
            }
        }
        Ok(())
    }

    fn report(&self) -> SilenceReport {
        let outcomes = self.callers.take_outcomes();
        let engines = &self.engines.timeline;
        let check = StreamCheck {
            engines,
            gateways: &self.gateways,
            has_excuses: self.play.is_drawn(),
            stop_time: self.play.stop_time(),
            route_timeout: Duration::from_millis(MIN_ROUTE_TIMEOUT_MS),
        };
        let mut report = SilenceReport::default();
        for outcome in &outcomes {
            *report.counts.entry(outcome.end).or_default() += 1;
            if engines.runs(&outcome.id).len() > 1 {
                report.resumed_gaps.push(outcome.longest_gap);
            }
            let overlap = engines.longest_overlap(&outcome.id);
            report.longest_overlap = report.longest_overlap.max(overlap);
            report.breaches.extend(check.breach(outcome));
            if let Some(excuse) = check.excuse(outcome) {
                *report.excused.entry(excuse).or_default() += 1;
            }
        }
        report
    }
}
