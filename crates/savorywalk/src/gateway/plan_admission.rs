use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use super::gateway_node::GatewayNode;
use super::piece_dispatcher::{DispatcherKey, PieceDispatcher};
use super::plan_request::PlanRequest;
use super::plan_results::PlanFailure;
use super::shard_balance::{ShardChoice, ShardReport};
use super::usage_exchange;
use super::work_shard::WorkShard;
use super::workspace_shares::WaitingPlans;
use super::{
    PlanClass, PlanDemand, PlanNumber, PlanOutcome, PlanScheduler, PoolRates, ReturnTime,
    RouteTable, StageDemand, StageForecast, UtilityScale, rank_utility,
};
use crate::prelude::*;

/// Maximum age of cached pool rates: a tenth of a call, in which hardly any endpoint joins or
/// leaves.
const MAX_RATES_AGE: Duration = Duration::from_millis(30);

/// Longest sleep of the admission task when no plan waits.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(5);

/// Admits the plans of one shard: the async front of [`PlanScheduler`].
#[derive(Debug)]
pub(super) struct PlanAdmission {
    node: Arc<GatewayNode>,
    shard: WorkShard,
    state: Mutex<AdmissionState>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct AdmissionState {
    scheduler: PlanScheduler,
    waiters: FastMap<PlanNumber, oneshot::Sender<PlanOutcome>>,
    scale: UtilityScale,
    rates: Arc<PoolRates>,
    rates_at: Option<Instant>,
}

/// Permission to execute the stages of one request. Dropping it ends the plan.
#[derive(Debug)]
pub(super) struct PlanPermit {
    plan_admission: Arc<PlanAdmission>,
    number: PlanNumber,
    forecast: StageForecast,
    due: Instant,
    rank: u8,
}

/// A plan that waits for its decision.
type WaitingPlan = (PlanPermit, oneshot::Receiver<PlanOutcome>);

impl Drop for PlanPermit {
    fn drop(&mut self) {
        let mut state = self.plan_admission.state();
        state.waiters.remove(&self.number);
        state.scheduler.end(self.number);
        drop(state);
        self.plan_admission.wake.notify_one();
    }
}

impl PlanPermit {
    /// Forecast of the time that the stages take.
    pub(super) fn forecast(&self) -> &StageForecast {
        &self.forecast
    }

    /// When the request should be answered. For [`PlanClass::SizeBoost`] and
    /// [`PlanClass::Appointed`] it is the expected time of the answer, so that the pieces are
    /// scheduled like those of timely plans.
    pub(super) fn due(&self) -> Instant {
        self.due
    }

    /// Rank of the pieces. For [`PlanClass::RouteBoost`] it is the request's turn rank; at
    /// their own rank the pieces would wait behind those of better ranks until the answer is
    /// late.
    pub(super) fn rank(&self) -> u8 {
        self.rank
    }

    /// Records that all pieces of a stage are done.
    pub(super) fn finish_stage(&self, stage: usize) {
        self.plan_admission
            .state()
            .scheduler
            .finish_stage(self.number, stage);
        self.plan_admission.wake.notify_one();
    }
}

impl PlanAdmission {
    /// Starts the admission task of a shard.
    pub(super) fn start(node: Arc<GatewayNode>, shard: &WorkShard) -> Arc<Self> {
        let mut state = AdmissionState::default();
        if node.features.appointments {
            state.scheduler = PlanScheduler::with_appointments();
        }
        let plan_admission = Arc::new(Self {
            node,
            shard: shard.clone(),
            state: Mutex::new(state),
            wake: Notify::new(),
        });
        tokio::spawn(Arc::clone(&plan_admission).run());
        plan_admission.start_shares();
        plan_admission
    }

    /// Lets workspaces have shares if that part is on.
    fn start_shares(self: &Arc<Self>) {
        if !self.node.features.workspace_shares {
            return;
        }
        self.with_waiting(|waiting| waiting.enable_shares(rand::random()));
        let node = Arc::clone(&self.node);
        let shard = self.shard.clone();
        tokio::spawn(usage_exchange::run(node, shard, Arc::clone(self)));
    }

    /// Accesses the waiting plans.
    pub(super) fn with_waiting<T>(&self, act: impl FnOnce(&mut WaitingPlans) -> T) -> T {
        act(self.state().scheduler.waiting_plans_mut())
    }

    /// Waits until the scheduler begins or refuses a plan.
    pub(super) async fn admit(
        self: &Arc<Self>,
        request: &PlanRequest,
    ) -> Result<PlanPermit, PlanFailure> {
        let arrived = Instant::now();
        let forecast = self.forecast(request);
        let demand = self.demand(arrived, request, &forecast);
        let due_ms = demand.due.saturating_duration_since(arrived).as_millis();
        let total_ms = demand.total.as_millis();
        let left_ms = demand
            .deadline
            .saturating_duration_since(arrived)
            .as_millis();
        let tail_ms = request.tail.as_millis();
        let may_send = demand.timely_only && self.node.features.shard_balance;
        let sendable = may_send.then(|| demand.clone());
        let submitted = self.enqueue_or_send(arrived, request, demand, forecast);
        let (waiting, mut other_shard) = submitted;
        let (mut permit, decision) = match waiting {
            Ok(waiting) => waiting,
            Err(return_time) => {
                log_event!(
                    info,
                    "plan_refused",
                    request = request.request_id,
                    shard = self.shard.name(),
                    route = request.route,
                    workspace = request.workspace,
                    size = request.size,
                    due_ms = due_ms,
                    left_ms = left_ms,
                    needs_ms = total_ms,
                    tail_ms = tail_ms,
                    waiting = self.state().scheduler.waiting(),
                    retry_after_ms = delay_ms(Some(return_time)),
                    returns = return_time.name(),
                    other_shard = other_shard.as_ref().map_or("", WorkShard::name)
                );
                return Err(PlanFailure::Overload {
                    begun: false,
                    return_time,
                    other_shard,
                });
            }
        };
        self.wake.notify_one();
        let Ok(outcome) = decision.await else {
            log_event!(warn, "plan_undecided", request = request.request_id);
            return Err(PlanFailure::Failed);
        };
        if let (PlanOutcome::Refused(_), Some(demand), None) = (outcome, sendable, &other_shard) {
            let choice = self.choose_other_shard(Instant::now(), request, &demand);
            other_shard = self.shard_to_ask(choice);
        }
        log_event!(
            info,
            "plan_decided",
            request = request.request_id,
            shard = self.shard.name(),
            route = request.route,
            workspace = request.workspace,
            size = request.size,
            due_ms = due_ms,
            left_ms = left_ms,
            needs_ms = total_ms,
            tail_ms = tail_ms,
            returning = request.returning,
            waited_ms = arrived.elapsed().as_millis(),
            outcome = outcome.name(),
            retry_after_ms = delay_ms(outcome.return_time()),
            returns = outcome.return_time().map_or("", ReturnTime::name),
            other_shard = other_shard.as_ref().map_or("", WorkShard::name)
        );
        match outcome {
            PlanOutcome::Begun(PlanClass::Appointed | PlanClass::SizeBoost) => {
                permit.due = Instant::now() + permit.forecast.total() + request.tail;
                Ok(permit)
            }
            PlanOutcome::Begun(PlanClass::RouteBoost) => {
                permit.rank = request.turn_rank;
                Ok(permit)
            }
            PlanOutcome::Begun(PlanClass::Timely | PlanClass::Late) => Ok(permit),
            PlanOutcome::Refused(return_time) => Err(PlanFailure::Overload {
                begun: false,
                return_time,
                other_shard,
            }),
        }
    }

    /// Enqueues a plan. Names another shard for a plan that is refused and may go there, or
    /// this shard if it decides on the plan finally since no other has room.
    fn enqueue_or_send(
        self: &Arc<Self>,
        now: Instant,
        request: &PlanRequest,
        demand: PlanDemand,
        forecast: StageForecast,
    ) -> (Result<WaitingPlan, ReturnTime>, Option<WorkShard>) {
        if !(demand.timely_only && self.node.features.shard_balance) {
            return (self.enqueue(now, request, demand, forecast), None);
        }
        let first = self.enqueue(now, request, demand.clone(), forecast.clone());
        let Err(return_time) = first else {
            return (first, None);
        };
        let choice = self.choose_other_shard(now, request, &demand);
        let decided = match choice {
            ShardChoice::Named(_) | ShardChoice::Unknown => Err(return_time),
            ShardChoice::NoneHasRoom => {
                let demand = PlanDemand {
                    timely_only: false,
                    ..demand
                };
                self.enqueue(now, request, demand, forecast)
            }
        };
        (decided, self.shard_to_ask(choice))
    }

    /// Returns the shard to name in a refusal: this one if the refusal is final.
    fn shard_to_ask(&self, choice: ShardChoice) -> Option<WorkShard> {
        match choice {
            ShardChoice::Named(shard) => Some(shard),
            ShardChoice::NoneHasRoom => Some(self.shard.clone()),
            ShardChoice::Unknown => None,
        }
    }

    fn choose_other_shard(
        &self,
        now: Instant,
        request: &PlanRequest,
        demand: &PlanDemand,
    ) -> ShardChoice {
        let wait = self.scheduled_wait(now, demand);
        let node = &self.node;
        node.choose_other_shard(now, &self.shard, request, demand, wait)
    }

    /// Expected wait of a plan, and the share of the whole backlog that precedes it.
    fn scheduled_wait(&self, now: Instant, demand: &PlanDemand) -> (Duration, f64) {
        let rates = self.rates(now);
        let state = self.state();
        let wait = state.scheduler.timely_wait(now, demand, &rates);
        let report = ShardReport::new(&state.scheduler.backlogs(now, &rates), &rates);
        drop(state);
        let whole = report.wait(demand, 1.0, |_| 0.0).unwrap_or_default();
        let share = match whole.is_zero() {
            true => 1.0,
            false => (wait.as_secs_f64() / whole.as_secs_f64()).min(1.0),
        };
        (wait, share)
    }

    /// Whether any plan waits or has begun.
    pub(super) fn has_work(&self) -> bool {
        self.state().scheduler.has_work()
    }

    /// Reports the load of the shard's pools.
    pub(super) fn report(&self, now: Instant) -> ShardReport {
        let rates = self.rates(now);
        let state = self.state();
        ShardReport::new(&state.scheduler.backlogs(now, &rates), &rates)
    }

    fn enqueue(
        self: &Arc<Self>,
        now: Instant,
        request: &PlanRequest,
        demand: PlanDemand,
        forecast: StageForecast,
    ) -> Result<WaitingPlan, ReturnTime> {
        let rates = self.rates(now);
        let mut state = self.state();
        let number = state.scheduler.submit(now, demand, &rates)?;
        let (sender, decision) = oneshot::channel();
        state.waiters.insert(number, sender);
        drop(state);
        let permit = PlanPermit {
            plan_admission: Arc::clone(self),
            number,
            forecast,
            due: request.due,
            rank: request.rank,
        };
        Ok((permit, decision))
    }

    /// Forecasts the time of each stage of a plan at this entry.
    fn forecast(&self, request: &PlanRequest) -> StageForecast {
        let stages = 0..request.graph.len();
        let calls: Vec<Duration> = stages
            .map(|stage| match request.pieces_of(stage) {
                0 => Duration::ZERO,
                _ => self
                    .dispatcher(request, stage)
                    .full_call(request.result_bytes_of(stage)),
            })
            .collect();
        StageForecast::new(&request.graph, &calls)
    }

    fn dispatcher(&self, request: &PlanRequest, stage: usize) -> Arc<PieceDispatcher> {
        self.node.dispatcher(&DispatcherKey {
            pool: request.graph.rules()[stage].pool.clone(),
            shard: self.shard.clone(),
        })
    }

    fn demand(&self, now: Instant, request: &PlanRequest, forecast: &StageForecast) -> PlanDemand {
        let rules = request.graph.rules().iter().enumerate();
        let stages = rules.map(|(stage, rule)| StageDemand {
            pool: rule.pool.as_str().into(),
            work: match request.pieces_of(stage) {
                0 => Duration::ZERO,
                pieces => {
                    let dispatcher = self.dispatcher(request, stage);
                    dispatcher.piece_work(request.result_bytes_of(stage)) * pieces
                }
            },
            completion_time: forecast.completion_time(stage),
        });
        let mut state = self.state();
        let size_factor = state.scale.size_factor(&request.route, request.size);
        drop(state);
        PlanDemand {
            stages: stages.collect(),
            total: forecast.total(),
            route: Arc::clone(&request.route),
            workspace: Arc::clone(&request.workspace),
            size: request.size,
            utility: rank_utility(request.rank) * size_factor,
            turn_utility: rank_utility(request.turn_rank) * size_factor,
            due: request.due.checked_sub(request.tail).unwrap_or(now),
            deadline: request.deadline.checked_sub(request.tail).unwrap_or(now),
            returning: request.returning,
            timely_only: request.timely_only,
            digest: request.digest.filter(|_| !request.no_reservation),
        }
    }

    async fn run(self: Arc<Self>) {
        loop {
            let now = Instant::now();
            self.decide(now);
            let wake_at = self.state().scheduler.next_due();
            let wake_at = wake_at.unwrap_or(now + MAX_IDLE_SLEEP);
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(wake_at.into()) => {}
            }
        }
    }

    fn decide(&self, now: Instant) {
        let rates = self.rates(now);
        let mut state = self.state();
        for (number, outcome) in state.scheduler.decide(now, &rates) {
            let waiter = state.waiters.remove(&number);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(outcome).is_ok());
            if !is_delivered {
                // The request was cancelled; dropping its permit ends the plan.
                log_event!(debug, "plan_abandoned", shard = self.shard.name());
            }
        }
        let counts = state.scheduler.take_return_counts();
        drop(state);
        self.node.metrics.record_appointments(counts);
    }

    /// Returns the rates of the shard's pools, at most [`MAX_RATES_AGE`] old.
    fn rates(&self, now: Instant) -> Arc<PoolRates> {
        let is_fresh = |at: Instant| now < at + MAX_RATES_AGE;
        let state = self.state();
        if state.rates_at.is_some_and(is_fresh) {
            return Arc::clone(&state.rates);
        }
        drop(state);
        let view = self.node.view.load_full();
        let rates = view.table.as_deref().map(|table| self.current_rates(table));
        let rates = Arc::new(rates.unwrap_or_default());
        let mut state = self.state();
        state.rates = Arc::clone(&rates);
        state.rates_at = Some(now);
        rates
    }

    fn current_rates(&self, table: &RouteTable) -> PoolRates {
        let pools = table.pools().filter(|pool| pool.pieces.is_some());
        let rates = pools.map(|pool| {
            let key = DispatcherKey {
                pool: pool.name.clone(),
                shard: self.shard.clone(),
            };
            (pool.name.as_str().into(), self.node.dispatcher(&key).rate())
        });
        rates.collect()
    }

    fn state(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Delay before a return in milliseconds, for logs; 0 if there is none.
fn delay_ms(return_time: Option<ReturnTime>) -> u128 {
    let delay = return_time.and_then(ReturnTime::delay);
    delay.unwrap_or_default().as_millis()
}
