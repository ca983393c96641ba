//! Simulated coordinators of one pool each, for the load tests of shares. Callers, endpoints
//! and time are simulated; the decisions are those of the real scheduler.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::ShareRule;
use crate::gateway::{
    PlanDemand, PlanNumber, PlanOutcome, PlanScheduler, PoolRate, PoolRates, StageDemand,
};
use crate::prelude::*;

const WORK: Duration = Duration::from_millis(50);
pub(super) const CALL: Duration = Duration::from_millis(350);
const SLACK: Duration = Duration::from_secs(2);
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Plans per second that `endpoints` can serve.
pub(super) fn capacity(endpoints: f64) -> f64 {
    endpoints / WORK.as_secs_f64()
}

/// Plans of one workspace during some seconds.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceLoad {
    pub(super) workspace: String,
    pub(super) per_second: f64,
    pub(super) seconds: std::ops::Range<f64>,
}

/// Outcome of one plan.
#[derive(Clone, Debug)]
struct PlanRecord {
    workspace: Arc<str>,
    sent: f64,
    begun: Option<f64>,
}

#[derive(Debug)]
enum SimulationEvent {
    Send(Arc<str>),
    Finish(usize, PlanNumber),
    Notices,
    Restart,
}

/// A coordinator with endpoints of its own.
#[derive(Debug, Default)]
struct Coordinator {
    scheduler: PlanScheduler,
    waiting: FastMap<PlanNumber, PlanRecord>,
    /// When the endpoints have done all begun work.
    idle_at: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct SharesSimulation {
    start: Instant,
    coordinators: Vec<Coordinator>,
    rates: PoolRates,
    endpoints: f64,
    rules: FastMap<Arc<str>, ShareRule>,
    epochs: u64,
    events: BTreeMap<(Instant, u64), SimulationEvent>,
    event_count: u64,
    records: Vec<PlanRecord>,
    pub(super) decisions: u64,
    random: StdRng,
}

impl SharesSimulation {
    /// `endpoints` is the number at each of the coordinators.
    pub(super) fn new(coordinators: usize, endpoints: f64, loads: &[WorkspaceLoad]) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            coordinators: (0..coordinators).map(|_| Coordinator::default()).collect(),
            rates: FastMap::from_iter([("pool".into(), PoolRate { endpoints })]),
            endpoints,
            rules: FastMap::default(),
            epochs: 0,
            events: BTreeMap::new(),
            event_count: 0,
            records: Vec::new(),
            decisions: 0,
            random: StdRng::seed_from_u64(1),
        };
        for load in loads {
            simulation.send_all(load);
        }
        simulation.schedule(start + NOTICE_INTERVAL, SimulationEvent::Notices);
        simulation
    }

    pub(super) fn with_shares(mut self, rules: &[(&str, ShareRule)]) -> Self {
        let rules = rules.iter().map(|(name, rule)| (Arc::from(*name), *rule));
        self.rules = rules.collect();
        for index in 0..self.coordinators.len() {
            self.enable(index);
        }
        self
    }

    /// Loses the first coordinator, so that another one begins with nothing.
    pub(super) fn restarted_at(mut self, seconds: f64) -> Self {
        let at = self.start + Duration::from_secs_f64(seconds);
        self.schedule(at, SimulationEvent::Restart);
        self
    }

    fn enable(&mut self, index: usize) {
        self.epochs += 1;
        let waiting = self.coordinators[index].scheduler.waiting_plans_mut();
        waiting.enable_shares(self.epochs);
        let queues = waiting.queues_mut().unwrap();
        queues.set_rules(self.rules.clone());
    }

    fn send_all(&mut self, load: &WorkspaceLoad) {
        let workspace: Arc<str> = load.workspace.as_str().into();
        let mut at = load.seconds.start;
        while at < load.seconds.end {
            at += -self.random.random::<f64>().max(1e-9).ln() / load.per_second;
            let sent_at = self.start + Duration::from_secs_f64(at);
            self.schedule(sent_at, SimulationEvent::Send(Arc::clone(&workspace)));
        }
    }

    fn schedule(&mut self, at: Instant, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    fn send(&mut self, now: Instant, workspace: Arc<str>) {
        let index = self.random.random_range(0..self.coordinators.len());
        let record = PlanRecord {
            workspace: Arc::clone(&workspace),
            sent: self.seconds(now),
            begun: None,
        };
        let coordinator = &mut self.coordinators[index];
        match coordinator
            .scheduler
            .submit(now, demand(now, workspace), &self.rates)
        {
            Ok(number) => drop(coordinator.waiting.insert(number, record)),
            Err(_) => self.records.push(record),
        }
        self.decide(now, index);
    }

    fn decide(&mut self, now: Instant, index: usize) {
        self.decisions += 1;
        let outcomes = self.coordinators[index].scheduler.decide(now, &self.rates);
        for (number, outcome) in outcomes {
            let begun = self.seconds(now);
            let coordinator = &mut self.coordinators[index];
            let mut record = coordinator.waiting.remove(&number).unwrap();
            if let PlanOutcome::Begun(_) = outcome {
                record.begun = Some(begun);
                let free_at = coordinator.idle_at.map_or(now, |at| at.max(now));
                let done_at = free_at + WORK.div_f64(self.endpoints);
                coordinator.idle_at = Some(done_at);
                let finish = SimulationEvent::Finish(index, number);
                self.schedule(done_at.max(now + CALL), finish);
            }
            self.records.push(record);
        }
    }

    fn exchange_notices(&mut self, now: Instant) {
        let mut notices = Vec::new();
        for coordinator in &mut self.coordinators {
            let queues = coordinator.scheduler.waiting_plans_mut().queues_mut();
            notices.extend(queues.and_then(|queues| queues.next_notice("")));
        }
        for coordinator in &mut self.coordinators {
            let queues = coordinator.scheduler.waiting_plans_mut().queues_mut();
            if let Some(queues) = queues {
                notices.iter().for_each(|notice| queues.adopt(now, notice));
            }
        }
    }

    pub(super) fn run(mut self, until: f64) -> Self {
        let end = self.start + Duration::from_secs_f64(until);
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            for index in 0..self.coordinators.len() {
                let due = self.coordinators[index].scheduler.next_due();
                if let Some(due) = due.filter(|due| *due < at) {
                    self.decide(due, index);
                }
            }
            match event {
                SimulationEvent::Send(workspace) => self.send(at, workspace),
                SimulationEvent::Finish(index, number) => {
                    self.coordinators[index].scheduler.end(number);
                    self.decide(at, index);
                }
                SimulationEvent::Notices => {
                    self.exchange_notices(at);
                    self.schedule(at + NOTICE_INTERVAL, SimulationEvent::Notices);
                }
                SimulationEvent::Restart => {
                    self.coordinators[0] = Coordinator::default();
                    self.enable(0);
                }
            }
        }
        self
    }

    /// Plans of a workspace that began within some seconds, per second.
    pub(super) fn begun_rate(&self, workspace: &str, seconds: std::ops::Range<f64>) -> f64 {
        let begun = self.records.iter();
        let begun = begun.filter(|record| *record.workspace == *workspace);
        let begun = begun.filter_map(|record| record.begun);
        begun.filter(|at| seconds.contains(at)).count() as f64 / (seconds.end - seconds.start)
    }

    /// Longest wait of the plans of a workspace that began, in seconds.
    pub(super) fn longest_wait(&self, workspace: &str) -> f64 {
        let records = self.records.iter();
        let records = records.filter(|record| *record.workspace == *workspace);
        let waits = records.filter_map(|record| Some(record.begun? - record.sent));
        waits.fold(0.0, f64::max)
    }

    /// Part of the plans of a workspace that began.
    pub(super) fn begun_part(&self, workspace: &str) -> f64 {
        let records = self.records.iter();
        let records: Vec<_> = records
            .filter(|record| *record.workspace == *workspace)
            .collect();
        let begun = records.iter().filter(|record| record.begun.is_some());
        begun.count() as f64 / records.len().max(1) as f64
    }

    /// Plans and turns that one coordinator has looked at.
    pub(super) fn steps(&mut self) -> u64 {
        let waiting = self.coordinators[0].scheduler.waiting_plans_mut();
        waiting.queues().unwrap().steps()
    }
}

fn demand(now: Instant, workspace: Arc<str>) -> PlanDemand {
    PlanDemand {
        digest: None,
        stages: vec![StageDemand {
            pool: "pool".into(),
            work: WORK,
            completion_time: CALL,
        }],
        total: CALL,
        route: "route".into(),
        workspace,
        size: 1_000,
        utility: 1.0,
        turn_utility: 1.0,
        due: now + CALL + SLACK,
        deadline: now + Duration::from_secs(14),
        returning: false,
        timely_only: false,
    }
}
