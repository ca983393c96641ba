//! Bursts in which the largest requests of a route were hardly served.
//!
//! **Seen.** On 84 VMs, in days whose bursts are half as much again as the stage
//! pools carry, 0.35 to 0.40 of the largest tenth of briefs were served, of all
//! briefs 0.80 to 0.85. At least half as often as all is asked for.
//!
//! **How it came about.** An engine reads the prompt of such a brief for 0.9 s of its
//! 1.9 s, and stages take 1.07 s: 309 of 467 were late by the forecast before they had
//! waited at all, of the others 123 of 4,194. The gate treats what is late as left
//! over: it is worth 0.15, waits 0.24 s, and takes only places that nobody else wants.
//! Refused, its caller comes back with less time and is late again: 248 of 335 were
//! refused once more.
//!
//! **Cause.** Lateness by load and lateness by size went by one rule. The first ends
//! when the load does; the second never does, so waiting and coming back can't help.
//!
//! **Proof.** Requests by size from the logs of every decision of one such day: stages
//! need the same for all sizes, only the time for the prompt differs, and the share
//! that is begun at the first try falls from 0.92 to 0.33 where it uses up what is left.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::tests::{chain, rates};
use super::*;
use crate::gateway::WorthScale;

const OBJECTIVE: Duration = Duration::from_millis(1_900);
const TIMEOUT: Duration = Duration::from_secs(15);
/// Requests a second; the pools carry some 60.
const OFFERED: f64 = 85.0;
const LENGTH: Duration = Duration::from_secs(40);

/// One caller's request, through its first try and its second.
#[derive(Clone, Debug)]
struct Caller {
    size: u64,
    asked: Instant,
    is_back: bool,
}

/// What happens at a moment, in the order of time.
#[derive(Debug)]
enum Step {
    Ask(Caller),
    Finish(PlanNumber, usize),
}

struct Burst {
    gate: WorkGate,
    scale: WorthScale,
    rates: PoolRates,
    steps: BTreeMap<(Instant, u64), Step>,
    count: u64,
    waiting: FastMap<PlanNumber, (Caller, PlanDemand)>,
    served: Vec<u64>,
    refused: Vec<u64>,
    random: StdRng,
}

/// Time that an engine takes to its first event: 110 ms, and 20 ms for each thousand.
fn tail(size: u64) -> Duration {
    Duration::from_millis(110 + size / 50)
}

impl Burst {
    fn new(seed: u64) -> Self {
        Self {
            gate: WorkGate::default(),
            scale: WorthScale::default(),
            rates: rates(),
            steps: BTreeMap::new(),
            count: 0,
            waiting: FastMap::default(),
            served: Vec::new(),
            refused: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Sizes as measured: half under 19,400, a tenth under 12,200, a tenth over
    /// 33,500.
    fn size(&mut self) -> u64 {
        let uniforms = (0..12).map(|_| self.random.random::<f64>());
        let normal = uniforms.sum::<f64>() - 6.0;
        (19_400.0 * (0.426 * normal).exp()) as u64
    }

    fn at(&mut self, at: Instant, step: Step) {
        self.count += 1;
        self.steps.insert((at, self.count), step);
    }

    fn demand(&mut self, now: Instant, caller: &Caller) -> PlanDemand {
        let tail = tail(caller.size);
        let due = caller.asked + OBJECTIVE;
        PlanDemand {
            route: "briefs".into(),
            size: caller.size,
            worth: self.scale.worth(&"briefs".into(), 0, caller.size),
            due: due.checked_sub(tail).unwrap_or(now),
            deadline: caller.asked + TIMEOUT - tail,
            returning: caller.is_back,
            ..chain(now, 0, 0)
        }
    }

    fn ask(&mut self, now: Instant, caller: Caller) {
        let demand = self.demand(now, &caller);
        match self.gate.arrive(now, demand.clone(), &self.rates) {
            Ok(number) => drop(self.waiting.insert(number, (caller, demand))),
            Err(retry_after) => self.refuse(now, caller, retry_after),
        }
    }

    fn refuse(&mut self, now: Instant, caller: Caller, retry_after: Duration) {
        if caller.is_back {
            self.refused.push(caller.size);
            return;
        }
        let half = retry_after / 2;
        let spread = half.mul_f64(self.random.random::<f64>());
        let back = Caller {
            is_back: true,
            ..caller
        };
        self.at(now + half + spread, Step::Ask(back));
    }

    fn decide(&mut self, now: Instant) {
        for (number, fate) in self.gate.decide(now, &self.rates) {
            let (caller, demand) = self.waiting.remove(&number).unwrap();
            match fate {
                PlanFate::Begun(_) => {
                    self.served.push(caller.size);
                    for (index, stage) in demand.stages.iter().enumerate() {
                        self.at(now + stage.done_after, Step::Finish(number, index));
                    }
                }
                PlanFate::Refused { retry_after } => self.refuse(now, caller, retry_after),
            }
        }
    }

    fn play(mut self) -> Self {
        let start = Instant::now();
        let mut asked = start;
        while asked < start + LENGTH {
            let size = self.size();
            let caller = Caller {
                size,
                asked,
                is_back: false,
            };
            self.at(asked, Step::Ask(caller));
            let pause = -self.random.random::<f64>().max(1e-9).ln() / OFFERED;
            asked += Duration::from_secs_f64(pause);
        }
        while let Some(((at, _), step)) = self.steps.pop_first() {
            while let Some(due) = self.gate.next_due().filter(|due| *due < at) {
                self.decide(due);
            }
            match step {
                Step::Ask(caller) => self.ask(at, caller),
                Step::Finish(number, stage) => {
                    self.gate.finish_stage(number, stage);
                    if stage == 2 {
                        self.gate.end(number);
                    }
                }
            }
            self.decide(at);
        }
        self
    }

    /// Served share of the requests whose size lies between two parts of all,
    /// in thousandths.
    fn share(&self, from: f64, to: f64) -> f64 {
        let mut sizes: Vec<u64> = self.served.iter().chain(&self.refused).copied().collect();
        sizes.sort_unstable();
        let cut = |part: f64| match part {
            1.0 => u64::MAX,
            _ => sizes[(sizes.len() as f64 * part) as usize],
        };
        let range = cut(from)..cut(to);
        let count = |sizes: &[u64]| sizes.iter().filter(|size| range.contains(size)).count();
        let (served, refused) = (count(&self.served), count(&self.refused));
        served as f64 / (served + refused).max(1) as f64
    }
}

/// The least that is asked for is half of the share of all.
#[test]
fn the_largest_requests_are_served_nearly_as_often_as_all() {
    for seed in [1, 2, 3] {
        let burst = Burst::new(seed).play();
        let all = burst.share(0.0, 1.0);
        let largest = burst.share(0.9, 1.0);
        let below = burst.share(0.7, 0.9);
        let shares = format!("seed {seed}: largest {largest:.2}, below {below:.2}, all {all:.2}");
        assert!(largest > 0.5 * all && below > 0.5 * all, "{shares}");
    }
}
