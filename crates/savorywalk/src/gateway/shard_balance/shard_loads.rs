use super::shard_report::ShardReport;
use crate::gateway::plan_scheduler::PlanDemand;
use crate::gateway::work_shard::WorkShard;
use crate::prelude::*;
use crate::transport::PeerName;

/// Maximum age of a report by which work is sent. Two reports may be lost; a coordinator that
/// reports nothing for longer has failed, or its shard is idle.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_200);

/// Time for which the last sequence number of a sender is kept: longer than any message is
/// under way.
const SEQUENCE_MEMORY: Duration = Duration::from_secs(10);

/// Time until sent work is part of the reports of its shard: the way by its entry, and the
/// interval of reports.
const SEND_TIME: Duration = Duration::from_millis(200);

/// Loads of the other shards, as their coordinators reported them. A state machine without I/O.
///
/// Work that is sent by a report is added to it, so that one report does not draw everything.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ShardLoads {
    shards: FastMap<WorkShard, KnownShard>,
}

#[derive(Debug, Default)]
struct KnownShard {
    report: ShardReport,
    reported: Option<Instant>,
    /// Last sequence number of each sender, with its arrival. A shard has several senders
    /// while its coordinator changes.
    sequences: FastMap<PeerName, (u64, Instant)>,
    sent: Vec<SentWork>,
}

#[derive(Debug)]
struct SentWork {
    at: Instant,
    pool: Arc<str>,
    seconds: f64,
}

/// A plan that its shard can't begin in time.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct BalanceQuery<'a> {
    /// The plan.
    pub(in crate::gateway) plan: &'a PlanDemand,
    /// Its expected wait in the shard that asks.
    pub(in crate::gateway) own_wait: Duration,
    /// Share of the backlog that precedes the plan in the shard that asks, from 0 to 1. Others
    /// are taken to have the same mix of ranks.
    pub(in crate::gateway) preceding_share: f64,
    /// The other shards that may work on the plan.
    pub(in crate::gateway) others: &'a [OtherShard],
}

/// A shard that may work on a plan.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct OtherShard {
    /// The shard.
    pub(in crate::gateway) shard: WorkShard,
    /// Time that the results take from there to where the request will run.
    pub(in crate::gateway) carriage: Duration,
}

/// Where a plan goes that its shard can't begin in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ShardChoice {
    /// To the shard that probably begins it soonest.
    Named(WorkShard),
    /// Nowhere: the loads of all other shards are known, and none has room.
    NoneHasRoom,
    /// No shard is known to have room, and some may have it: its load is not known, or may
    /// have fallen since its report.
    Unknown,
}

/// What is expected of a shard for one plan.
#[derive(Debug)]
struct Prospect<'a> {
    shard: &'a WorkShard,
    /// Time until the plan begins, and the results are carried.
    delay: Duration,
    is_room: bool,
    /// Whether there was room by the report alone, without a margin for its age.
    was_room: bool,
}

impl ShardLoads {
    /// Records a report on a shard. Returns false for one that is doubled, or older than
    /// another one of its sender.
    ///
    /// Sequence numbers count for each sender. Among the reports of two senders the one that
    /// arrived last counts, so a new coordinator's do from the first one on.
    pub(in crate::gateway) fn record(
        &mut self,
        now: Instant,
        from: &PeerName,
        shard: &WorkShard,
        sequence: u64,
        report: ShardReport,
    ) -> bool {
        for known in self.shards.values_mut() {
            let is_recent = |at: Instant| now < at + SEQUENCE_MEMORY;
            known.sequences.retain(|_, (_, at)| is_recent(*at));
        }
        self.shards.retain(|_, known| !known.sequences.is_empty());
        let known = self.shards.entry(shard.clone()).or_default();
        let last = known.sequences.get(from);
        if last.is_some_and(|(last, _)| sequence <= *last) {
            return false;
        }
        known.sequences.insert(from.clone(), (sequence, now));
        known.sent.retain(|sent| now < sent.at + SEND_TIME);
        known.report = report;
        known.reported = Some(now);
        true
    }

    /// Chooses another shard for a plan, and adds its work to the load of that shard.
    ///
    /// A shard has room if the plan can be in time there, or if nothing waits there, so that a
    /// late plan uses endpoints that would be idle. What waits in a shard may have grown by
    /// the age of the report, when work arrives at twice the rate of the pools; plans go over
    /// only if they gain more.
    pub(in crate::gateway) fn choose(
        &mut self,
        now: Instant,
        query: &BalanceQuery<'_>,
    ) -> ShardChoice {
        let prospects = query.others.iter();
        let prospects: Vec<_> = prospects
            .filter_map(|other| self.prospect(now, query, other))
            .collect();
        let is_known = !prospects.is_empty() && prospects.len() == query.others.len();
        let is_full = is_known && prospects.iter().all(|prospect| !prospect.was_room);
        let with_room = prospects.iter().filter(|prospect| prospect.is_room);
        let soonest = with_room.min_by_key(|prospect| (prospect.delay, prospect.shard));
        match soonest {
            Some(soonest) => {
                self.record_sent(now, soonest.shard, query.plan);
                ShardChoice::Named(soonest.shard.clone())
            }
            None if is_full => ShardChoice::NoneHasRoom,
            None => ShardChoice::Unknown,
        }
    }

    fn prospect<'a>(
        &self,
        now: Instant,
        query: &BalanceQuery<'a>,
        other: &'a OtherShard,
    ) -> Option<Prospect<'a>> {
        let known = self.shards.get(&other.shard)?;
        let age = now.saturating_duration_since(known.reported?);
        if age > MAX_REPORT_AGE {
            return None;
        }
        let share = query.preceding_share.clamp(0.0, 1.0);
        let sent = |pool: &str| known.sent_seconds(pool);
        let wait = known.report.wait(query.plan, share, sent)?;
        let (uncertainty, is_idle) = match wait.is_zero() {
            true => (Duration::ZERO, true),
            false => (age, false),
        };
        let delay = wait + uncertainty + other.carriage;
        let has_room = |delay: Duration| {
            let end = now + delay + query.plan.total;
            let is_in_time = end <= query.plan.due || (is_idle && end <= query.plan.deadline);
            delay < query.own_wait && is_in_time
        };
        Some(Prospect {
            shard: &other.shard,
            delay,
            is_room: has_room(delay),
            was_room: has_room(wait + other.carriage),
        })
    }

    fn record_sent(&mut self, now: Instant, shard: &WorkShard, plan: &PlanDemand) {
        let Some(known) = self.shards.get_mut(shard) else {
            return;
        };
        let stages = plan.stages.iter().filter(|stage| !stage.work.is_zero());
        known.sent.extend(stages.map(|stage| SentWork {
            at: now,
            pool: Arc::clone(&stage.pool),
            seconds: stage.work.as_secs_f64(),
        }));
    }
}

impl KnownShard {
    /// Endpoint time of the work that was sent there and is not reported yet.
    fn sent_seconds(&self, pool: &str) -> f64 {
        let sent = self.sent.iter().filter(|sent| *sent.pool == *pool);
        sent.map(|sent| sent.seconds).sum()
    }
}

#[cfg(test)]
#[path = "shard_loads_tests.rs"]
pub(super) mod tests;

#[cfg(test)]
#[path = "balance_load_tests.rs"]
mod load_tests;
