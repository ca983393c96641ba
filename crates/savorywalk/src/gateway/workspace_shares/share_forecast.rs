use super::plan_work::PlanWork;
use super::share_lanes::ShareLanes;
use super::share_ledger::ShareLedger;
use crate::gateway::plan_scheduler::WaitKey;
use crate::gateway::{PlanDemand, UtilityLevel};
use crate::prelude::*;
use crate::queueing::VirtualTime;

/// Times that a wait is extended by what arrives meanwhile. Each time covers what arrives in
/// the extension before; after three, an eighth is left at half of the pool's rate.
const MAX_EXTENSIONS: u32 = 3;

/// Forecast of the work that precedes a plan, as seconds of one endpoint.
///
/// A plan begins when its workspace has had all its earlier plans. Until then each other
/// workspace of the level gets at most what brings it to the same virtual time: what it has
/// waiting, and what it sends meanwhile.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ShareForecast {
    queued: FastMap<Arc<str>, QueuedWork>,
    /// Floor of the plan's workspace; 0 without one.
    floor: f64,
    rivals: Vec<ShareRival>,
    /// Rate at which all workspaces send work of the level, as a number of endpoints.
    total_rate: f64,
}

/// Waiting work of one pool that precedes the plan, in seconds of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedWork {
    /// Of better levels and classes.
    earlier: f64,
    /// Of the plan's workspace.
    own: f64,
    /// Of the other workspaces.
    others: f64,
}

/// Another workspace that may send work of the same level and begin it earlier.
#[derive(Clone, Copy, Debug)]
struct ShareRival {
    /// Rate at which it sends work, as a number of endpoints.
    rate: f64,
    /// Most of that work that precedes the plan, in seconds of one endpoint.
    room_seconds: f64,
}

impl ShareForecast {
    pub(super) fn new(
        now: Instant,
        lanes: &ShareLanes,
        ledger: &ShareLedger,
        key: &WaitKey,
        plan: &PlanDemand,
    ) -> Self {
        let group = (key.level, key.class);
        let mut forecast = Self {
            floor: ledger.rule(&plan.workspace).kept_floor(),
            ..Self::default()
        };
        for (lane_key, lane) in lanes.before(group) {
            forecast.add(&lane_key.pools, lane.work(), |queued, work| {
                queued.earlier += work;
            });
        }
        let mut own = PlanWork::default();
        let mut others: FastMap<&Arc<str>, Duration> = FastMap::default();
        for (lane_key, lane) in lanes.of_group(group) {
            if let Some(flow) = lane.flow(&plan.workspace) {
                let before = flow.work_before(key);
                forecast.add(&lane_key.pools, &before, |queued, work| queued.own += work);
                own.total += before.total;
            }
            for (workspace, flow) in lane.flows() {
                if *workspace != plan.workspace {
                    *others.entry(workspace).or_default() += flow.work().total;
                }
            }
        }
        let weight = ledger.rule(&plan.workspace).weight_units();
        let until = ledger.virtual_time(&plan.workspace).plus(own.total, weight);
        let room = |workspace: &Arc<str>| room_until(ledger, workspace, until);
        for (lane_key, lane) in lanes.of_group(group) {
            for (workspace, flow) in lane.flows() {
                let Some(total) = others.get(workspace) else {
                    continue;
                };
                let part = room(workspace).as_secs_f64() / total.as_secs_f64().max(1e-9);
                forecast.add(&lane_key.pools, flow.work(), |queued, work| {
                    queued.others += work * part.min(1.0);
                });
            }
        }
        forecast.add_rivals(now, ledger, key.level, plan, &others, until);
        forecast
    }

    /// Passes the work in each pool to `add`, in seconds of one endpoint.
    fn add(&mut self, pools: &[Arc<str>], work: &PlanWork, add: impl Fn(&mut QueuedWork, f64)) {
        for (pool, work) in pools.iter().zip(&work.by_pool) {
            let queued = self.queued.entry(Arc::clone(pool)).or_default();
            add(queued, work.as_secs_f64());
        }
    }

    fn add_rivals(
        &mut self,
        now: Instant,
        ledger: &ShareLedger,
        level: UtilityLevel,
        plan: &PlanDemand,
        queued: &FastMap<&Arc<str>, Duration>,
        until: VirtualTime,
    ) {
        for (workspace, rate) in ledger.arrival_rates(now, level) {
            self.total_rate += rate;
            if *workspace == plan.workspace {
                continue;
            }
            let waiting = queued.get(workspace).copied().unwrap_or_default();
            let room = room_until(ledger, workspace, until).saturating_sub(waiting);
            if !room.is_zero() {
                self.rivals.push(ShareRival {
                    rate,
                    room_seconds: room.as_secs_f64(),
                });
            }
        }
    }

    /// Wait in a pool, including the work that arrives meanwhile and precedes the plan.
    /// `level_rate` is the rate at which the pool gets work of the level, as a number of
    /// endpoints; `time_for` returns the time for waiting work in seconds of one endpoint.
    pub(in crate::gateway) fn wait(
        &self,
        pool: &str,
        level_rate: f64,
        time_for: impl Fn(f64) -> Duration,
    ) -> Duration {
        let queued = self.queued.get(pool).copied().unwrap_or_default();
        let sum = queued.earlier + queued.own + queued.others;
        let mut by_turn = time_for(sum);
        if !self.rivals.is_empty() {
            for _ in 0..MAX_EXTENSIONS {
                by_turn = time_for(sum + self.overtaking(by_turn, level_rate));
            }
        }
        match self.floor > 0.0 {
            true => by_turn.min(time_for(queued.earlier + queued.own / self.floor)),
            false => by_turn,
        }
    }

    /// Part of the level's work that arrives within `wait` and precedes the plan, as seconds
    /// of a pool that gets `pool_rate` of the level's work, in endpoints.
    fn overtaking(&self, wait: Duration, pool_rate: f64) -> f64 {
        if self.total_rate <= 0.0 {
            return 0.0;
        }
        let seconds = wait.as_secs_f64();
        let rivals = self.rivals.iter();
        let sent = rivals.map(|rival| (rival.rate * seconds).min(rival.room_seconds));
        sent.sum::<f64>() * pool_rate / self.total_rate
    }
}

/// Endpoint time after which a workspace reaches a virtual time.
fn room_until(ledger: &ShareLedger, workspace: &str, until: VirtualTime) -> Duration {
    let per_unit = until.since(ledger.virtual_time(workspace));
    per_unit * ledger.rule(workspace).weight_units()
}
