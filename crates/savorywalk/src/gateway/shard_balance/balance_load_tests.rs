//! Guards against bursts that fill the pools of one shard while endpoints of the same pools are
//! idle in another, and against work that swings between shards because each acts on outdated
//! reports of the other.

use super::tests::{peer, plan, report, shard};
use super::*;
use crate::gateway::shard_balance::report_pacer::{ReportPacer, TELL_INTERVAL};

/// Time for which a plan may wait.
const SLACK: Duration = Duration::from_millis(300);

/// Way of a plan by its entry to the second shard.
const SEND_DELAY: Duration = Duration::from_millis(20);

const STEP: Duration = Duration::from_millis(1);

/// Plans that a shard can begin in a second: four endpoints, 0.1 s for each plan.
const CAPACITY: f64 = 40.0;

const NAMES: [&str; 3] = ["a", "b", "c"];

struct Shard {
    backlog: Duration,
    arrivals: f64,
    loads: ShardLoads,
    pacer: ReportPacer,
}

/// What became of the plans that arrived at each shard.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Begun in time in the shard that they reached first.
    first: u32,
    /// Begun in time in the shard that was named.
    moved: u32,
    /// Sent to a shard that had no room.
    misdirected: u32,
    refused: u32,
}

impl Counts {
    fn served(self) -> u32 {
        self.first + self.moved
    }
}

/// Shards that send plans to each other. `notice_delay` is the time that a notice takes;
/// `are_lost` says whether the notices of a shard are lost.
struct Simulation {
    now: Instant,
    shards: Vec<Shard>,
    notice_delay: Duration,
    are_lost: fn(usize) -> bool,
    notices: VecDeque<(Instant, usize, u64, ShardReport)>,
    plans: VecDeque<(Instant, usize, usize)>,
    counts: Vec<Counts>,
}

impl Simulation {
    fn new(count: usize, notice_delay: Duration) -> Self {
        let shards = (0..count).map(|_| Shard {
            backlog: Duration::ZERO,
            arrivals: 0.0,
            loads: ShardLoads::default(),
            pacer: ReportPacer::new(0),
        });
        Self {
            now: Instant::now(),
            shards: shards.collect(),
            notice_delay,
            are_lost: |_| false,
            notices: VecDeque::new(),
            plans: VecDeque::new(),
            counts: vec![Counts::default(); count],
        }
    }

    /// Runs for a time in which each shard gets a number of plans a second.
    fn run(&mut self, time: Duration, rates: &[f64]) -> Vec<Counts> {
        self.counts.fill(Counts::default());
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now += STEP;
            self.deliver();
            for (index, rate) in rates.iter().enumerate() {
                self.step(index, *rate);
            }
        }
        self.counts.clone()
    }

    fn step(&mut self, index: usize, rate: f64) {
        let shard = &mut self.shards[index];
        shard.backlog = shard.backlog.saturating_sub(STEP);
        shard.arrivals += rate * STEP.as_secs_f64();
        while self.shards[index].arrivals >= 1.0 {
            self.shards[index].arrivals -= 1.0;
            self.arrive(index);
        }
        let shard = &mut self.shards[index];
        let has_work = !shard.backlog.is_zero();
        if shard.pacer.may_tell(self.now, NAMES.len(), has_work) {
            let report = report(shard.backlog);
            if let Some(sequence) = shard.pacer.tell(self.now, has_work, &report) {
                let at = self.now + self.notice_delay;
                self.notices.push_back((at, index, sequence, report));
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        if self.try_begin(index) {
            self.counts[index].first += 1;
            return;
        }
        let others = (0..self.shards.len()).filter(|other| *other != index);
        let others: Vec<OtherShard> = others
            .map(|other| OtherShard {
                shard: shard(NAMES[other]),
                carriage: Duration::ZERO,
            })
            .collect();
        let query = BalanceQuery {
            plan: &plan(self.now, SLACK),
            own_wait: self.shards[index].backlog,
            preceding_share: 1.0,
            others: &others,
        };
        match self.shards[index].loads.choose(self.now, &query) {
            ShardChoice::Named(named) => {
                let to = NAMES.iter().position(|name| *name == named.name());
                let at = self.now + SEND_DELAY;
                self.plans.push_back((at, index, to.unwrap()));
            }
            ShardChoice::NoneHasRoom | ShardChoice::Unknown => self.counts[index].refused += 1,
        }
    }

    /// Begins a plan if it can be in time; it takes the pool 1 / [`CAPACITY`] seconds.
    fn try_begin(&mut self, index: usize) -> bool {
        let backlog = &mut self.shards[index].backlog;
        let is_timely = *backlog <= SLACK;
        if is_timely {
            *backlog += Duration::from_secs_f64(1.0 / CAPACITY);
        }
        is_timely
    }

    fn deliver(&mut self) {
        let now = self.now;
        while let Some((_, from, to)) = self.plans.pop_front_if(|(at, ..)| *at <= now) {
            match self.try_begin(to) {
                true => self.counts[from].moved += 1,
                false => self.counts[from].misdirected += 1,
            }
        }
        while let Some(notice) = self.notices.pop_front_if(|(at, ..)| *at <= now) {
            let (_, from, sequence, report) = notice;
            if (self.are_lost)(from) {
                continue;
            }
            for receiver in (0..self.shards.len()).filter(|receiver| *receiver != from) {
                let loads = &mut self.shards[receiver].loads;
                let sender = peer(NAMES[from]);
                loads.record(now, &sender, &shard(NAMES[from]), sequence, report.clone());
            }
        }
    }
}

/// Load: three shards, one gets five times what it can begin, the others half of it. Its plans
/// fill the others up to where nothing is in time any more, and no further.
#[test]
fn plans_of_a_flooded_shard_go_where_there_is_room() {
    let mut simulation = Simulation::new(3, Duration::from_millis(30));
    simulation.run(Duration::from_secs(1), &[20.0, 20.0, 20.0]);
    let counts = simulation.run(Duration::from_secs(5), &[200.0, 20.0, 20.0]);
    let served: u32 = counts.iter().copied().map(Counts::served).sum();
    let share = f64::from(served) / (3.0 * 5.0 * CAPACITY);
    assert!(
        share > 0.9,
        "served {share:.2} of what three can: {counts:?}"
    );
    // The plans that reach the other shards first are begun there, nearly as without a flood.
    for other in &counts[1..] {
        assert!(other.served() >= 85, "{counts:?}");
    }
    // Few go in vain, where without notices all others do.
    let flooded = counts[0];
    assert!(flooded.misdirected * 5 < flooded.moved, "{counts:?}");
    assert!(flooded.refused > flooded.moved, "{counts:?}");
}

/// Load: the flood of one shard, with notices of the others lost on the way. Nothing is sent
/// by their last word, and the hash decides.
#[test]
fn a_shard_whose_notices_are_lost_gets_nothing_by_them() {
    let mut simulation = Simulation::new(2, Duration::from_millis(30));
    simulation.run(Duration::from_secs(1), &[20.0, 20.0]);
    simulation.are_lost = |from| from == 1;
    simulation.run(MAX_REPORT_AGE, &[20.0, 20.0]);
    let counts = simulation.run(Duration::from_secs(2), &[200.0, 20.0]);
    assert_eq!(counts[0].moved + counts[0].misdirected, 0, "{counts:?}");
    assert!(counts[0].refused > 100, "{counts:?}");
}

/// Load: bursts that alternate between two shards in each second, with notices that are late
/// by a third of a second. A plan moves only out of the shard with the burst.
#[test]
fn alternating_bursts_with_late_notices_do_not_swing() {
    let mut simulation = Simulation::new(2, TELL_INTERVAL * 2);
    simulation.run(Duration::from_secs(1), &[20.0, 20.0]);
    let (mut out, mut back, mut misdirected) = (0, 0, 0);
    for burst in 0..8 {
        let burst_shard = burst % 2;
        let mut rates = [20.0; 2];
        rates[burst_shard] = 80.0;
        let counts = simulation.run(Duration::from_secs(1), &rates);
        let sent = |index: usize| counts[index].moved + counts[index].misdirected;
        out += sent(burst_shard);
        back += sent(1 - burst_shard);
        misdirected += counts.iter().map(|counts| counts.misdirected).sum::<u32>();
    }
    let outcome = format!("{out} out, {back} back, {misdirected} in vain");
    assert!(out > 50, "{outcome}");
    // At most one of each kind in a burst.
    assert!(back <= 8, "{outcome}");
    assert!(misdirected <= 8, "{outcome}");
}
