//! Simulated bursts for the load tests of the scheduler. Callers, stages and time are
//! simulated; the decisions are those of the real scheduler.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::tests::{chain, rates};
use super::*;
use crate::gateway::{UtilityScale, rank_utility};

const OBJECTIVE: Duration = Duration::from_millis(1_900);
const TIMEOUT: Duration = Duration::from_secs(15);
const BURST_DURATION: Duration = Duration::from_secs(40);

/// Request rate of one route. The pools can serve about 60 requests a second in total.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteLoad {
    pub(super) route: &'static str,
    pub(super) rank: u8,
    pub(super) per_second: f64,
}

/// A caller with one request, which is retried once.
#[derive(Clone, Debug)]
struct Caller {
    load: RouteLoad,
    size: u64,
    sent_at: Instant,
    is_retry: bool,
    digest: RequestDigest,
}

/// A time with a multiple of the usual request rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadPeak {
    pub(super) from: Duration,
    pub(super) until: Duration,
    pub(super) factor: f64,
}

/// A return at an appointment.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppointedReturn {
    pub(super) at: Instant,
    /// Work in the pool that is short, in seconds of one endpoint.
    pub(super) work_seconds: f64,
}

/// An event of the simulation; events are handled in the order of their times.
#[derive(Debug)]
enum SimulationEvent {
    Send(Caller),
    Finish(PlanNumber, usize),
}

/// Result of a caller's request.
#[derive(Clone, Copy, Debug)]
struct RequestResult {
    route: &'static str,
    size: u64,
    is_retry: bool,
    /// Class with which the plan began; `None` when the request was refused twice.
    begun: Option<PlanClass>,
}

/// Simulation of callers that request more than the pools can serve. A refused caller retries
/// once. Uses simulated time.
pub(super) struct BurstSimulation {
    loads: Vec<RouteLoad>,
    scheduler: PlanScheduler,
    scale: UtilityScale,
    rates: PoolRates,
    events: BTreeMap<(Instant, u64), SimulationEvent>,
    count: u64,
    waiting: FastMap<PlanNumber, (Caller, PlanDemand)>,
    results: Vec<RequestResult>,
    random: StdRng,
    peak: Option<LoadPeak>,
    pub(super) appointed: Vec<AppointedReturn>,
    first_refusals: usize,
}

/// Time from the end of the stages to the engine's first event: 110 ms, and 20 ms per thousand
/// of size.
fn tail(size: u64) -> Duration {
    Duration::from_millis(110 + size / 50)
}

fn stable_digest(route: &str, number: u64) -> RequestDigest {
    let hash = crate::hashing::stable_hash(&[route.as_bytes()]);
    let bytes = [hash.to_le_bytes(), number.to_le_bytes()].concat();
    RequestDigest::from_bytes(&bytes).unwrap()
}

impl BurstSimulation {
    pub(super) fn new(seed: u64, loads: &[RouteLoad]) -> Self {
        Self {
            loads: loads.to_vec(),
            scheduler: PlanScheduler::default(),
            scale: UtilityScale::default(),
            rates: rates(),
            events: BTreeMap::new(),
            count: 0,
            waiting: FastMap::default(),
            results: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            peak: None,
            appointed: Vec::new(),
            first_refusals: 0,
        }
    }

    pub(super) fn with_peak(mut self, peak: LoadPeak) -> Self {
        self.peak = Some(peak);
        self
    }

    pub(super) fn with_scheduler(mut self, scheduler: PlanScheduler) -> Self {
        self.scheduler = scheduler;
        self
    }

    /// Draws a size from a distribution with a median of 19,400, a tenth below 12,200 and a
    /// tenth above 33,500.
    fn size(&mut self) -> u64 {
        let uniforms = (0..12).map(|_| self.random.random::<f64>());
        let normal = uniforms.sum::<f64>() - 6.0;
        (19_400.0 * (0.426 * normal).exp()) as u64
    }

    fn schedule(&mut self, at: Instant, event: SimulationEvent) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn demand(&mut self, now: Instant, caller: &Caller) -> PlanDemand {
        let tail = tail(caller.size);
        let due = caller.sent_at + OBJECTIVE;
        let route: Arc<str> = caller.load.route.into();
        let size_factor = self.scale.size_factor(&route, caller.size);
        PlanDemand {
            route,
            size: caller.size,
            utility: rank_utility(caller.load.rank) * size_factor,
            turn_utility: size_factor,
            due: due.checked_sub(tail).unwrap_or(now),
            deadline: caller.sent_at + TIMEOUT - tail,
            returning: caller.is_retry,
            digest: Some(caller.digest),
            ..chain(now, 0, 0)
        }
    }

    fn send(&mut self, now: Instant, caller: Caller) {
        let demand = self.demand(now, &caller);
        match self.scheduler.submit(now, demand.clone(), &self.rates) {
            Ok(number) => drop(self.waiting.insert(number, (caller, demand))),
            Err(return_time) => self.refuse(now, caller, return_time),
        }
    }

    fn record_result(&mut self, caller: &Caller, begun: Option<PlanClass>) {
        self.results.push(RequestResult {
            route: caller.load.route,
            size: caller.size,
            is_retry: caller.is_retry,
            begun,
        });
    }

    fn refuse(&mut self, now: Instant, caller: Caller, return_time: ReturnTime) {
        self.first_refusals += usize::from(!caller.is_retry);
        let delay = return_time.delay().filter(|_| !caller.is_retry);
        let Some(delay) = delay else {
            self.record_result(&caller, None);
            return;
        };
        let half = delay / 2;
        let spread = match return_time {
            ReturnTime::Appointed(_) => half,
            ReturnTime::After(_) | ReturnTime::Hopeless => {
                half.mul_f64(self.random.random::<f64>())
            }
        };
        if let ReturnTime::Appointed(_) = return_time {
            let stages = chain(now, 0, 0).stages;
            self.appointed.push(AppointedReturn {
                at: now + delay,
                work_seconds: stages[2].work.as_secs_f64(),
            });
        }
        let retry = Caller {
            is_retry: true,
            ..caller
        };
        self.schedule(now + half + spread, SimulationEvent::Send(retry));
    }

    fn decide(&mut self, now: Instant) {
        for (number, outcome) in self.scheduler.decide(now, &self.rates) {
            let (caller, demand) = self.waiting.remove(&number).unwrap();
            match outcome {
                PlanOutcome::Begun(class) => {
                    self.record_result(&caller, Some(class));
                    for (index, stage) in demand.stages.iter().enumerate() {
                        self.schedule(
                            now + stage.completion_time,
                            SimulationEvent::Finish(number, index),
                        );
                    }
                }
                PlanOutcome::Refused(return_time) => self.refuse(now, caller, return_time),
            }
        }
    }

    fn send_all(&mut self, start: Instant, load: RouteLoad) {
        let mut sent_at = start;
        let mut sent = 0_u64;
        while sent_at < start + BURST_DURATION {
            let size = self.size();
            sent += 1;
            let digest = stable_digest(load.route, sent);
            let caller = Caller {
                load,
                size,
                sent_at,
                is_retry: false,
                digest,
            };
            self.schedule(sent_at, SimulationEvent::Send(caller));
            let since = sent_at - start;
            let factor = self.peak.map_or(1.0, |peak| match since {
                since if (peak.from..peak.until).contains(&since) => peak.factor,
                _ => 1.0,
            });
            let rate = load.per_second * factor;
            let pause = -self.random.random::<f64>().max(1e-9).ln() / rate;
            sent_at += Duration::from_secs_f64(pause);
        }
    }

    pub(super) fn run(mut self) -> Self {
        let start = Instant::now();
        for load in self.loads.clone() {
            self.send_all(start, load);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            while let Some(due) = self.scheduler.next_due().filter(|due| *due < at) {
                self.decide(due);
            }
            match event {
                SimulationEvent::Send(caller) => self.send(at, caller),
                SimulationEvent::Finish(number, stage) => {
                    self.scheduler.finish_stage(number, stage);
                    if stage == 2 {
                        self.scheduler.end(number);
                    }
                }
            }
            self.decide(at);
        }
        self
    }

    /// Share of requests begun, among those whose size is between two quantiles of all sizes.
    pub(super) fn served_share(&self, from: f64, to: f64) -> f64 {
        let mut sizes: Vec<u64> = self.results.iter().map(|result| result.size).collect();
        sizes.sort_unstable();
        let cut = |part: f64| match part {
            1.0 => u64::MAX,
            _ => sizes[(sizes.len() as f64 * part) as usize],
        };
        let range = cut(from)..cut(to);
        let of_size = self
            .results
            .iter()
            .filter(|result| range.contains(&result.size));
        let (served, refused): (Vec<&RequestResult>, Vec<&RequestResult>) =
            of_size.partition(|result| result.begun.is_some());
        served.len() as f64 / (served.len() + refused.len()).max(1) as f64
    }

    /// Share of those refused at first that were begun on their return.
    pub(super) fn returned_share(&self) -> f64 {
        let returned = self.results.iter();
        let returned = returned.filter(|result| result.is_retry && result.begun.is_some());
        returned.count() as f64 / self.first_refusals.max(1) as f64
    }

    /// Share of the requests of some routes that were begun in time.
    pub(super) fn timely_share(&self, routes: &[&str]) -> f64 {
        let of_routes = self
            .results
            .iter()
            .filter(|result| routes.contains(&result.route));
        let (timely, other): (Vec<&RequestResult>, Vec<&RequestResult>) =
            of_routes.partition(|result| result.begun.is_some_and(PlanClass::is_timely));
        timely.len() as f64 / (timely.len() + other.len()).max(1) as f64
    }
}
