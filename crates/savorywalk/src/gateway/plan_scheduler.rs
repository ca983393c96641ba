use super::plan_utility::{UtilityLevel, utility_level};
use super::pool_load::{PoolLoad, PoolRate};
use super::returns::{
    CalendarCounts, PoolOutlook, ReturnCalendar, ReturnClaim, ReturnSpan, ReturnTime, UsualArrivals,
};
use super::route_shares::RouteShares;
use super::size_shares::SizeShares;
use super::workspace_shares::WaitingPlans;
use crate::prelude::*;
use crate::quarantine::RequestDigest;

/// Work in progress allowed beyond what the time through the stages requires, in time of the
/// whole pool. About half of a full call of 280 to 370 ms, so that an endpoint that becomes
/// free finds a full call.
const WORK_SLACK: Duration = Duration::from_millis(140);

/// Share of the limit on work in progress up to which late plans are begun, in thousandths.
/// The rest stays free for timely plans that arrive next.
const LATE_LIMIT_PERMILLE: u32 = 850;

/// Maximum wait of a late plan: an eighth of an objective of two seconds. Callers that would
/// wait longer should retry when the load is lower.
const MAX_LATE_WAIT: Duration = Duration::from_millis(240);

/// Maximum wait of late plans that a retry doesn't help: those of returning callers, and
/// those whose size makes them late at any load.
const MAX_RETURNING_WAIT: Duration = Duration::from_millis(1_500);

/// Longest time after which a refused caller should retry. A burst lasts about five seconds,
/// and a retry during the burst is refused again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Minimum share of a pool's capacity assumed to be left by plans that go first, which keeps
/// the expected wait finite.
const MIN_REMAINING_SHARE: f64 = 0.05;

/// Shortest time after which a refused caller returns at its appointment: the refusal and the
/// new request cross the network, and the pools have begun what waits now.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(250);

/// Added to a plan's `until` for a wake-up strictly after it.
const WAKE_MARGIN: Duration = Duration::from_micros(100);

/// Identifies a plan at its scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlanNumber(u64);

/// Resources that one stage of a plan needs.
#[derive(Clone, Debug, PartialEq)]
pub struct StageDemand {
    /// Pool that works on the stage.
    pub pool: Arc<str>,
    /// Endpoint time that the stage takes; zero for a stage that is left out.
    pub work: Duration,
    /// Expected time from the start of the plan until the stage is done.
    pub completion_time: Duration,
}

/// Requirements by which the scheduler decides when a plan begins.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDemand {
    /// Demand of each stage, including those that are left out.
    pub stages: Vec<StageDemand>,
    /// Expected time for all stages.
    pub total: Duration,
    /// Route of the request.
    pub route: Arc<str>,
    /// Workspace of the request; empty without one.
    pub workspace: Arc<str>,
    /// Size of the request, in equivalent prompt tokens.
    pub size: u64,
    /// Utility of an answer in time; see [`super::UtilityScale`].
    pub utility: f64,
    /// Utility if the route had the first rank; applies to [`PlanClass::RouteBoost`].
    pub turn_utility: f64,
    /// When the stages should be done.
    pub due: Instant,
    /// When the results of the stages become useless.
    pub deadline: Instant,
    /// Whether the caller was refused before; then this is its last try.
    pub returning: bool,
    /// Whether the plan is refused when it can't be in time.
    pub timely_only: bool,
    /// Digest by which the request is recognised when it is sent again.
    pub digest: Option<RequestDigest>,
}

/// Class of a plan among those of equal utility, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlanClass {
    /// The plan can't be in time, and its caller has returned at the time of its appointment.
    Appointed,
    /// The plan can be in time.
    Timely,
    /// The plan can be in time, and its route has a much smaller share of timely plans than
    /// all routes together. It is scheduled with its turn utility.
    RouteBoost,
    /// The plan can't be in time, and requests of its size are begun much less often than
    /// others of its route. It is scheduled with the utility of a timely plan.
    SizeBoost,
    /// The plan can't be in time; it only uses spare capacity.
    Late,
}

impl PlanClass {
    /// Whether plans of this class can be in time.
    pub const fn is_timely(self) -> bool {
        match self {
            Self::Timely | Self::RouteBoost => true,
            Self::Appointed | Self::SizeBoost | Self::Late => false,
        }
    }
}

/// Outcome of a plan that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanOutcome {
    /// The plan begins.
    Begun(PlanClass),
    /// The plan is refused.
    Refused(ReturnTime),
}

impl PlanOutcome {
    /// Name of the outcome in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Begun(PlanClass::Appointed) => "begun_appointed",
            Self::Begun(PlanClass::Timely) => "begun_timely",
            Self::Begun(PlanClass::RouteBoost) => "begun_in_turn",
            Self::Begun(PlanClass::SizeBoost) => "begun_owed",
            Self::Begun(PlanClass::Late) => "begun_late",
            Self::Refused(_) => "refused",
        }
    }

    /// When the caller of a refused plan may return.
    pub const fn return_time(self) -> Option<ReturnTime> {
        match self {
            Self::Begun(_) => None,
            Self::Refused(return_time) => Some(return_time),
        }
    }
}

/// Current rate of each pool.
pub type PoolRates = FastMap<Arc<str>, PoolRate>;

/// Decides when the stages of a request begin, for all requests of a shard. A state machine
/// without I/O. See docs/design/gateway.md.
///
/// Work in progress is limited to what keeps the pools busy, so that results are stored only
/// briefly and plans that have begun proceed without waiting. Other plans wait here, where
/// they hold no resources, ordered by utility and then by latest start. Plans that can't be in
/// time have part of the utility of a timely plan, and begin only with spare capacity.
#[derive(Debug, Default)]
pub struct PlanScheduler {
    next: u64,
    loads: FastMap<Arc<str>, PoolLoad>,
    begun: FastMap<PlanNumber, Vec<StageDemand>>,
    waiting: WaitingPlans,
    sizes: SizeShares,
    routes: RouteShares,
    returns: Option<ReturnState>,
}

/// What the scheduler knows about refused plans that return, while appointments are made.
#[derive(Debug, Default)]
struct ReturnState {
    calendar: ReturnCalendar,
    arrivals: UsualArrivals,
    /// Plans at their appointments that wait as plans that can be in time.
    claimed: FastSet<PlanNumber>,
}

/// Sort key of waiting plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitKey {
    pub(super) level: UtilityLevel,
    pub(super) class: PlanClass,
    /// Latest start to be in time for timely classes; end of the maximum wait for others.
    pub(super) until: Instant,
    pub(super) number: PlanNumber,
}

impl PlanDemand {
    /// Latest start with which the stages are done in time.
    fn latest_begin(&self) -> Option<Instant> {
        self.due.checked_sub(self.total)
    }

    fn is_timely(&self, begin: Instant) -> bool {
        begin + self.total <= self.due
    }

    /// Demands of the stages that are not left out.
    pub(super) fn demands(&self) -> impl Iterator<Item = &StageDemand> {
        self.stages.iter().filter(|stage| !stage.work.is_zero())
    }
}

impl PlanScheduler {
    /// Creates a scheduler that reserves room for the return of plans that it refuses.
    pub fn with_appointments() -> Self {
        Self {
            returns: Some(ReturnState::default()),
            ..Self::default()
        }
    }

    /// Submits a plan. It waits until [`Self::decide`] returns its outcome.
    ///
    /// # Errors
    ///
    /// When the caller may return, if the plan is refused immediately.
    pub fn submit(
        &mut self,
        now: Instant,
        mut plan: PlanDemand,
        rates: &PoolRates,
    ) -> Result<PlanNumber, ReturnTime> {
        let number = PlanNumber(self.next);
        self.next += 1;
        self.sizes.record_size(&plan.route, plan.size);
        let is_due = self.claim(now, &plan);
        plan.returning |= is_due;
        let (class, utility) = self.timely_class(now, &plan);
        let key = WaitKey {
            level: utility_level(utility, true),
            class,
            until: plan.latest_begin().unwrap_or(now),
            number,
        };
        if plan.is_timely(now + self.expected_wait(now, &key, &plan, rates)) {
            if let Some(state) = self.returns.as_mut().filter(|_| is_due) {
                state.claimed.insert(number);
            }
            self.enqueue(now, key, plan);
            return Ok(number);
        }
        match (is_due, plan.timely_only) {
            (true, _) => self.enqueue_appointed(now, number, plan, rates),
            (false, true) => Err(return_time(now, &plan)),
            (false, false) => self.enqueue_late(now, number, plan, rates),
        }
    }

    /// Returns the class and utility of a plan that can be in time.
    ///
    /// Better ranks go first. When bursts of better ranks fill the pools, all requests of the
    /// last route become late, and late answers are worth little to callers. So a route whose
    /// share of timely plans is far below that of all routes is scheduled with the first rank
    /// until it has caught up.
    fn timely_class(&self, now: Instant, plan: &PlanDemand) -> (PlanClass, f64) {
        let is_boosted =
            plan.turn_utility > plan.utility && self.routes.is_underserved(now, &plan.route);
        match is_boosted {
            true => (PlanClass::RouteBoost, plan.turn_utility),
            false => (PlanClass::Timely, plan.utility),
        }
    }

    fn enqueue(&mut self, now: Instant, key: WaitKey, plan: PlanDemand) {
        for stage in plan.demands() {
            let load = self.loads.entry(Arc::clone(&stage.pool)).or_default();
            load.record_arrival(now, key.level, stage.work);
            if let Some(state) = &mut self.returns {
                let arrivals = &mut state.arrivals;
                arrivals.record(now, &stage.pool, key.level, stage.work);
            }
        }
        self.waiting.insert(now, key, plan);
    }

    /// Queues a plan that can't be in time, or refuses it.
    ///
    /// Lateness caused by load ends with the load, so a retry helps. Lateness caused by size
    /// does not, so a size band that has fallen behind its route is boosted. Without the
    /// boost, 0.38 of the largest tenth of a route were served in bursts, against 0.85 of the
    /// whole route; with it 0.66, against 0.84. See docs/incidents/large-requests.md.
    fn enqueue_late(
        &mut self,
        now: Instant,
        number: PlanNumber,
        plan: PlanDemand,
        rates: &PoolRates,
    ) -> Result<PlanNumber, ReturnTime> {
        let is_boosted = self.sizes.is_underserved(now, &plan.route, plan.size);
        let (class, max_wait) = match (is_boosted, plan.returning) {
            (true, _) => (PlanClass::SizeBoost, MAX_RETURNING_WAIT),
            (false, true) => (PlanClass::Late, MAX_RETURNING_WAIT),
            (false, false) => (PlanClass::Late, MAX_LATE_WAIT),
        };
        let key = WaitKey {
            level: utility_level(plan.utility, is_boosted),
            class,
            until: now + max_wait,
            number,
        };
        let wait = self.expected_wait(now, &key, &plan, rates);
        if wait > max_wait || now + wait + plan.total > plan.deadline {
            return Err(self.refuse(now, &plan, rates));
        }
        self.enqueue(now, key, plan);
        Ok(number)
    }

    /// Records that a plan is refused, and returns when its caller may return.
    fn refuse(&mut self, now: Instant, plan: &PlanDemand, rates: &PoolRates) -> ReturnTime {
        self.sizes
            .record_outcome(now, &plan.route, plan.size, false);
        self.routes.record_outcome(now, &plan.route, false);
        self.appoint(now, plan, rates)
    }

    /// Begins and refuses waiting plans according to the current rates of the pools.
    pub fn decide(&mut self, now: Instant, rates: &PoolRates) -> Vec<(PlanNumber, PlanOutcome)> {
        let mut outcomes = self.expire_waiting(now, rates);
        let mut blocked: FastSet<Arc<str>> = FastSet::default();
        let due_work = self.due_work(now);
        let mut order = self.waiting.begin_order();
        while let Some(key) = self.waiting.next(&mut order, &blocked) {
            if !self.may_begin(&key, rates, &due_work, &mut blocked) {
                order.pass_over();
                continue;
            }
            if let Some(plan) = self.waiting.remove(&key) {
                self.routes
                    .record_outcome(now, &plan.route, key.class.is_timely());
                self.begin(now, key.number, plan);
                outcomes.push((key.number, PlanOutcome::Begun(key.class)));
            }
        }
        outcomes
    }

    /// Removes plans whose wait is over. Timely ones are queued again as late if possible; the
    /// others are refused.
    fn expire_waiting(
        &mut self,
        now: Instant,
        rates: &PoolRates,
    ) -> Vec<(PlanNumber, PlanOutcome)> {
        let mut outcomes = Vec::new();
        for key in self.waiting.expired(now) {
            let Some(plan) = self.waiting.remove(&key) else {
                continue;
            };
            let outcome = match key.class {
                PlanClass::Timely | PlanClass::RouteBoost => match self.take_claim(key.number) {
                    true => self.enqueue_appointed(now, key.number, plan, rates),
                    false => self.enqueue_late(now, key.number, plan, rates),
                },
                PlanClass::Appointed | PlanClass::SizeBoost | PlanClass::Late => {
                    Err(self.refuse(now, &plan, rates))
                }
            };
            if let Err(return_time) = outcome {
                outcomes.push((key.number, PlanOutcome::Refused(return_time)));
            }
        }
        outcomes
    }

    /// Whether all pools of a plan have capacity for it. A full pool is then blocked for all
    /// plans behind this one, unless this one is late: they must not overtake it there.
    fn may_begin(
        &self,
        key: &WaitKey,
        rates: &PoolRates,
        due_work: &FastMap<Arc<str>, f64>,
        blocked: &mut FastSet<Arc<str>>,
    ) -> bool {
        let Some(plan) = self.waiting.get(key) else {
            return false;
        };
        if plan.demands().any(|stage| blocked.contains(&stage.pool)) {
            return false;
        }
        let is_late = key.class == PlanClass::Late;
        let permille = if is_late { LATE_LIMIT_PERMILLE } else { 1_000 };
        let full = plan.demands();
        let full = full.filter(|stage| match is_late {
            true => !self.has_capacity(&with_due_work(stage, due_work), rates, permille),
            false => !self.has_capacity(stage, rates, permille),
        });
        let full: Vec<Arc<str>> = full.map(|stage| Arc::clone(&stage.pool)).collect();
        let may_begin = full.is_empty();
        if !is_late {
            blocked.extend(full);
        }
        may_begin
    }

    fn has_capacity(&self, stage: &StageDemand, rates: &PoolRates, permille: u32) -> bool {
        let Some(rate) = rates.get(&stage.pool) else {
            return true;
        };
        let load = self.loads.get(&stage.pool);
        load.is_none_or(|load| load.has_capacity(stage, *rate, WORK_SLACK, permille))
    }

    fn begin(&mut self, now: Instant, number: PlanNumber, plan: PlanDemand) {
        if let (Some(state), Some(digest)) = (&mut self.returns, plan.digest) {
            state.calendar.cancel(digest);
        }
        self.sizes.record_outcome(now, &plan.route, plan.size, true);
        self.waiting.record_begin(now, &plan);
        for stage in plan.demands() {
            let load = self.loads.entry(Arc::clone(&stage.pool)).or_default();
            load.add(stage);
        }
        self.begun.insert(number, plan.stages);
    }

    /// Records that all pieces of a stage are done.
    pub fn finish_stage(&mut self, number: PlanNumber, stage: usize) {
        let stages = self.begun.get_mut(&number);
        let Some(demand) = stages.and_then(|stages| stages.get_mut(stage)) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&demand.pool) {
            load.remove(demand);
        }
        demand.work = Duration::ZERO;
    }

    /// Removes a plan, whether it was begun or not.
    pub fn end(&mut self, number: PlanNumber) {
        let stages = self.begun.get(&number).map_or(0, Vec::len);
        for stage in 0..stages {
            self.finish_stage(number, stage);
        }
        self.take_claim(number);
        self.begun.remove(&number);
        self.waiting.remove_number(number);
    }

    /// Next time at which [`Self::decide`] may change a plan without other events.
    pub fn next_due(&self) -> Option<Instant> {
        let until = self.waiting.first_end();
        until.map(|until| until + WAKE_MARGIN)
    }

    /// The waiting plans, with the shares of workspaces.
    pub(super) fn waiting_plans_mut(&mut self) -> &mut WaitingPlans {
        &mut self.waiting
    }

    /// Number of waiting plans.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether any plan waits or has begun.
    pub(super) fn has_work(&self) -> bool {
        !self.waiting.is_empty() || !self.begun.is_empty()
    }

    /// Expected wait in each pool of a plan that goes behind all others: time for the work of
    /// the waiting plans, and for what has begun beyond the amount that keeps the pool busy,
    /// while the pool also does the work that arrives at the recent rate.
    pub(super) fn backlogs(&self, now: Instant, rates: &PoolRates) -> FastMap<Arc<str>, Duration> {
        let mut queued: FastMap<&str, f64> = FastMap::default();
        for stage in self.waiting.iter().flat_map(|(plan, _)| plan.demands()) {
            *queued.entry(&stage.pool).or_default() += stage.work.as_secs_f64();
        }
        let last = utility_level(0.0, true);
        let backlogs = rates.iter().map(|(pool, rate)| {
            let load = self.loads.get(pool);
            let excess = load.map_or(0.0, |load| load.excess_seconds(*rate, WORK_SLACK, 1_000));
            let incoming = load.map_or(0.0, |load| load.arriving_before(now, last));
            let min_endpoints = rate.endpoints * MIN_REMAINING_SHARE;
            let remaining = PoolRate {
                endpoints: (rate.endpoints - incoming).max(min_endpoints),
            };
            let queued = queued.get(pool.as_ref()).copied().unwrap_or(0.0);
            (
                Arc::clone(pool),
                remaining.time_for(queued + excess.max(0.0)),
            )
        });
        backlogs.collect()
    }

    /// Expected wait of a plan if it were submitted as one that can be in time.
    pub(super) fn timely_wait(
        &self,
        now: Instant,
        plan: &PlanDemand,
        rates: &PoolRates,
    ) -> Duration {
        let (class, utility) = self.timely_class(now, plan);
        let key = WaitKey {
            level: utility_level(utility, true),
            class,
            until: plan.latest_begin().unwrap_or(now),
            number: PlanNumber(self.next),
        };
        self.expected_wait(now, &key, plan, rates)
    }

    /// Expected wait of a plan: time for the work of waiting plans that precede it, while the
    /// pool also does the work that is expected to arrive and precede it, at the recent
    /// arrival rate.
    fn expected_wait(
        &self,
        now: Instant,
        key: &WaitKey,
        plan: &PlanDemand,
        rates: &PoolRates,
    ) -> Duration {
        let shares = self.waiting.share_forecast(now, key, plan);
        let preceding: Vec<&PlanDemand> = match shares {
            Some(_) => Vec::new(),
            None => self.waiting.before(key).collect(),
        };
        let waits = plan.demands().filter_map(|stage| {
            let rate = rates.get(&stage.pool)?;
            let demands = preceding.iter().flat_map(|plan| plan.demands());
            let demands = demands.filter(|demand| demand.pool == stage.pool);
            let queued: f64 = demands.map(|demand| demand.work.as_secs_f64()).sum();
            let load = self.loads.get(&stage.pool);
            let excess = load.map_or(0.0, |load| {
                load.excess_seconds(*rate, WORK_SLACK, 1_000).max(0.0)
            });
            let incoming = load.map_or(0.0, |load| load.arriving_before(now, key.level));
            let min_endpoints = rate.endpoints * MIN_REMAINING_SHARE;
            let remaining = PoolRate {
                endpoints: (rate.endpoints - incoming).max(min_endpoints),
            };
            Some(match &shares {
                None => remaining.time_for(queued + excess),
                Some(shares) => {
                    let level_rate = load.map_or(0.0, |load| load.arriving_at(now, key.level));
                    shares.wait(&stage.pool, level_rate, |queued| {
                        remaining.time_for(queued + excess)
                    })
                }
            })
        });
        waits.max().unwrap_or_default()
    }
}

/// Returns of refused plans.
impl PlanScheduler {
    /// Returns what became of appointments since the last call.
    pub fn take_return_counts(&mut self) -> CalendarCounts {
        let state = self.returns.as_mut();
        state
            .map(|state| state.calendar.take_counts())
            .unwrap_or_default()
    }

    /// Whether a plan has an appointment that is due, which is claimed.
    fn claim(&mut self, now: Instant, plan: &PlanDemand) -> bool {
        let (Some(state), Some(digest)) = (&mut self.returns, plan.digest) else {
            return false;
        };
        match state.calendar.claim(now, digest) {
            ReturnClaim::Due => true,
            ReturnClaim::Early | ReturnClaim::Absent => false,
        }
    }

    /// Whether a plan came at its appointment and has waited since as one that can be in time.
    fn take_claim(&mut self, number: PlanNumber) -> bool {
        let state = self.returns.as_mut();
        state.is_some_and(|state| state.claimed.remove(&number))
    }

    /// Queues a plan at its appointment. Its room was found before, so it waits for it as long
    /// as its caller has time for the stages.
    fn enqueue_appointed(
        &mut self,
        now: Instant,
        number: PlanNumber,
        plan: PlanDemand,
        rates: &PoolRates,
    ) -> Result<PlanNumber, ReturnTime> {
        let latest = plan.deadline.checked_sub(plan.total).unwrap_or(now);
        if latest <= now {
            return Err(self.refuse(now, &plan, rates));
        }
        let key = WaitKey {
            level: utility_level(plan.utility, false),
            class: PlanClass::Appointed,
            until: latest.min(now + MAX_RETURNING_WAIT),
            number,
        };
        self.enqueue(now, key, plan);
        Ok(number)
    }

    /// When the caller of a refused plan may return. Callers return once, so that nothing is
    /// reserved for one that has returned; nor by a shard whose refusal is not final.
    ///
    /// Without room before the latest return, the caller is told that latest time, at which the
    /// load is lowest as far as is known: callers who are told nothing return at once.
    fn appoint(&mut self, now: Instant, plan: &PlanDemand, rates: &PoolRates) -> ReturnTime {
        let may_reserve = self.returns.is_some() && !plan.returning && !plan.timely_only;
        let Some(digest) = plan.digest.filter(|_| may_reserve) else {
            return return_time(now, plan);
        };
        let left = plan.deadline.saturating_duration_since(now);
        let max_delay = MAX_RETRY_AFTER.min(left / 3).max(MIN_RETURN_DELAY);
        let max_delay = max_delay.min(left.saturating_sub(plan.total));
        let outlooks = self.outlooks(now, plan, rates);
        let Some(state) = &mut self.returns else {
            return return_time(now, plan);
        };
        let span = ReturnSpan {
            earliest: now + MIN_RETURN_DELAY,
            latest: now + max_delay,
        };
        if span.latest < span.earliest {
            state.calendar.record_hopeless();
            return ReturnTime::Hopeless;
        }
        match state.calendar.reserve(now, digest, span, &outlooks) {
            Some(at) => ReturnTime::Appointed(at.saturating_duration_since(now)),
            None => ReturnTime::After(max_delay),
        }
    }

    /// Outlook of each pool that a late plan needs.
    fn outlooks(&self, now: Instant, plan: &PlanDemand, rates: &PoolRates) -> Vec<PoolOutlook> {
        let level = utility_level(plan.utility, false);
        let mut outlooks: Vec<PoolOutlook> = Vec::new();
        for stage in plan.demands() {
            let work_seconds = stage.work.as_secs_f64();
            let known = outlooks.iter_mut().find(|known| known.pool == stage.pool);
            match (known, rates.get(&stage.pool)) {
                (Some(known), _) => known.work_seconds += work_seconds,
                (None, None) => {}
                (None, Some(rate)) => outlooks.push(PoolOutlook {
                    pool: Arc::clone(&stage.pool),
                    work_seconds,
                    rate: *rate,
                    backlog_seconds: self.backlog_seconds(&stage.pool, level, *rate),
                    recent_arrivals: self.recent_arrivals(now, &stage.pool, level),
                    usual_arrivals: self
                        .returns
                        .as_ref()
                        .map_or(0.0, |state| state.arrivals.before(now, &stage.pool, level)),
                }),
            }
        }
        outlooks
    }

    fn recent_arrivals(&self, now: Instant, pool: &str, level: UtilityLevel) -> f64 {
        let load = self.loads.get(pool);
        load.map_or(0.0, |load| load.arriving_before(now, level))
    }

    /// Work of a pool that waits before late plans of a level, and work in progress beyond
    /// what keeps it busy, in seconds of one endpoint.
    fn backlog_seconds(&self, pool: &str, level: UtilityLevel, rate: PoolRate) -> f64 {
        let preceding = self.waiting.before_late(level);
        let demands = preceding.flat_map(PlanDemand::demands);
        let demands = demands.filter(|demand| *demand.pool == *pool);
        let queued: f64 = demands.map(|demand| demand.work.as_secs_f64()).sum();
        let excess = self.loads.get(pool).map_or(0.0, |load| {
            load.excess_seconds(rate, WORK_SLACK, 1_000).max(0.0)
        });
        queued + excess
    }

    /// Work of appointments that are due, by pool, in seconds of one endpoint.
    fn due_work(&mut self, now: Instant) -> FastMap<Arc<str>, f64> {
        let Some(state) = &mut self.returns else {
            return FastMap::default();
        };
        state.calendar.expire(now);
        state.calendar.due_work(now)
    }
}

/// Adds the work of due appointments to a stage, so that a newcomer that is late doesn't take
/// their room.
fn with_due_work(stage: &StageDemand, due_work: &FastMap<Arc<str>, f64>) -> StageDemand {
    let due = due_work.get(&stage.pool).copied().unwrap_or(0.0);
    StageDemand {
        work: stage.work + Duration::from_secs_f64(due),
        ..stage.clone()
    }
}

fn return_time(now: Instant, plan: &PlanDemand) -> ReturnTime {
    let left = plan.deadline.saturating_duration_since(now);
    ReturnTime::After(MAX_RETRY_AFTER.min(left / 3))
}

#[cfg(test)]
#[path = "plan_scheduler_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "plan_scheduler_burst.rs"]
mod burst;

#[cfg(test)]
#[path = "route_turn_load_tests.rs"]
mod route_turn_load_tests;

#[cfg(test)]
#[path = "plan_scheduler_load_tests.rs"]
mod load_tests;

#[cfg(test)]
#[path = "plan_scheduler_return_tests.rs"]
mod return_tests;
