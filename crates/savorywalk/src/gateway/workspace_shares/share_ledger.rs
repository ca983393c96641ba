use super::ShareRule;
use crate::gateway::UtilityLevel;
use crate::gateway::decaying_sum::DecayingSum;
use crate::prelude::*;
use crate::queueing::VirtualTime;

/// Workspaces remembered: three times as many as the largest documents have. Beyond that the
/// least recently active one that does not wait is forgotten.
const MAX_ACCOUNTS: usize = 1_024;

/// Time without plans after which a workspace has neither debt nor credit: longer than the
/// pauses between the calls of a busy workspace, and shorter than a burst.
const REST_TIME: Duration = Duration::from_secs(2);

/// Endpoint time for a weight of 1 by which a workspace may be ahead of those that wait. What
/// it has used beyond that, in better levels or other shards, is forgiven, so that it waits at
/// most some seconds for the others to catch up.
const MAX_LEAD: Duration = Duration::from_secs(5);

/// Endpoint time by which a workspace may be behind its floor; what plans of better levels have
/// taken beyond that is not made up for.
const MAX_FLOOR_DEBT: Duration = Duration::from_secs(2);

/// Time constant over which the arrivals of a workspace are averaged, as those of its pools.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Order in which waiting workspaces begin plans; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::gateway) struct ShareTurn {
    /// Whether the workspace has had its floor.
    pub(super) has_floor: bool,
    /// Virtual time of the floor, or of the workspace if it has had its floor.
    pub(super) time: VirtualTime,
}

/// Endpoint time that workspaces have used for their weights. A state machine without I/O. See
/// docs/design/workspace-shares.md.
///
/// Usage is a virtual time as in start-time fair queueing (Goyal, Vin and Cheng, 1996). A
/// workspace that returns begins at the least virtual time of those that wait, so rest earns
/// no burst. Unlike there, debt is bounded, and forgiven after a rest of 2 s.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ShareLedger {
    accounts: FastMap<Arc<str>, ShareAccount>,
    rules: FastMap<Arc<str>, ShareRule>,
    waiting: BTreeSet<(VirtualTime, Arc<str>)>,
    /// Least virtual time of waiting workspaces, which never decreases.
    virtual_now: VirtualTime,
    /// Endpoint time of all plans begun here, for floors.
    floor_clock: VirtualTime,
}

#[derive(Debug)]
struct ShareAccount {
    rule: ShareRule,
    virtual_time: VirtualTime,
    /// The workspace is below its floor while this is not after the floor clock.
    floor_time: VirtualTime,
    waiting: usize,
    active_at: Instant,
    arrivals: FastMap<UtilityLevel, DecayingSum>,
}

impl ShareLedger {
    /// Replaces the rules of workspaces; those without one have a weight of 1 and no floor.
    /// Returns whether any has changed.
    pub(in crate::gateway) fn set_rules(&mut self, rules: FastMap<Arc<str>, ShareRule>) -> bool {
        if self.rules == rules {
            return false;
        }
        self.rules = rules;
        for (workspace, account) in &mut self.accounts {
            let rule = self.rules.get(workspace).copied().unwrap_or_default();
            if account.rule.floor != rule.floor {
                account.floor_time = self.floor_clock;
            }
            account.rule = rule;
        }
        true
    }

    /// Rule of a workspace.
    pub(in crate::gateway) fn rule(&self, workspace: &str) -> ShareRule {
        self.rules.get(workspace).copied().unwrap_or_default()
    }

    /// Whose turn it is: the key by which a workspace is ordered among those that wait.
    pub(in crate::gateway) fn turn(&self, workspace: &str) -> ShareTurn {
        match self.floor_time(workspace) {
            Some(time) if time <= self.floor_clock => ShareTurn {
                has_floor: false,
                time,
            },
            Some(_) | None => ShareTurn {
                has_floor: true,
                time: self.virtual_time(workspace),
            },
        }
    }

    /// Records that a plan of a workspace begins to wait.
    pub(in crate::gateway) fn enqueue(&mut self, now: Instant, workspace: &Arc<str>) {
        self.advance();
        let (virtual_now, floor_clock) = (self.virtual_now, self.floor_clock);
        let limit = virtual_now.plus(MAX_LEAD, ShareRule::WHOLE);
        let account = self.account(now, workspace);
        if account.waiting == 0 {
            let is_rested = now.saturating_duration_since(account.active_at) >= REST_TIME;
            account.virtual_time = match is_rested {
                true => virtual_now,
                false => account.virtual_time.clamp(virtual_now, limit),
            };
            account.floor_time = account.floor_time.max(floor_clock);
        }
        account.active_at = now;
        account.waiting += 1;
        let key = (account.virtual_time, Arc::clone(workspace));
        self.waiting.insert(key);
    }

    /// Records that a plan of a workspace no longer waits.
    pub(in crate::gateway) fn dequeue(&mut self, workspace: &Arc<str>) {
        self.advance();
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.waiting = account.waiting.saturating_sub(1);
        if account.waiting == 0 {
            let key = (account.virtual_time, Arc::clone(workspace));
            self.waiting.remove(&key);
        }
    }

    /// Charges a workspace for the endpoint time of a plan that begins here.
    pub(in crate::gateway) fn begin(&mut self, now: Instant, workspace: &Arc<str>, work: Duration) {
        let earliest = self.floor_clock.minus(MAX_FLOOR_DEBT, ShareRule::WHOLE);
        self.floor_clock = self.floor_clock.plus(work, ShareRule::WHOLE);
        let account = self.account(now, workspace);
        account.active_at = now;
        if let Some(floor) = account.rule.floor_units() {
            account.floor_time = account.floor_time.max(earliest).plus(work, floor);
        }
        // Charged in full whatever its lead is: among workspaces that wait, one whose plans can't
        // begin must not keep the others from taking turns.
        self.charge(workspace, |before, _, weight| before.plus(work, weight));
    }

    /// Charges a workspace for endpoint time that it has used in other shards.
    pub(in crate::gateway) fn charge_remote(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        work: Duration,
    ) {
        self.account(now, workspace);
        self.charge(workspace, |before, limit, weight| {
            before.plus(work, weight).min(limit).max(before)
        });
    }

    /// Moves a workspace to the time that `after` returns for its time, the limit of its lead
    /// and its weight.
    fn charge(
        &mut self,
        workspace: &Arc<str>,
        after: impl Fn(VirtualTime, VirtualTime, u32) -> VirtualTime,
    ) {
        self.advance();
        let virtual_now = self.virtual_now;
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let limit = virtual_now.plus(MAX_LEAD, ShareRule::WHOLE);
        let before = account.virtual_time.max(virtual_now);
        let after = after(before, limit, account.rule.weight_units());
        if account.waiting > 0 {
            let key = (account.virtual_time, Arc::clone(workspace));
            self.waiting.remove(&key);
            self.waiting.insert((after, Arc::clone(workspace)));
        }
        account.virtual_time = after;
    }

    /// Records work that arrives at a level, for [`Self::arrival_rates`].
    pub(super) fn record_arrival(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        level: UtilityLevel,
        work: Duration,
    ) {
        let account = self.account(now, workspace);
        let sum = account.arrivals.entry(level).or_default();
        sum.add(now, work.as_secs_f64(), ARRIVAL_TIME_CONSTANT);
    }

    /// Rates at which work of each workspace has arrived at a level, as numbers of endpoints.
    pub(super) fn arrival_rates(
        &self,
        now: Instant,
        level: UtilityLevel,
    ) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let accounts = self.accounts.iter();
        accounts.filter_map(move |(workspace, account)| {
            let work = account.arrivals.get(&level)?;
            let work = work.value(now, ARRIVAL_TIME_CONSTANT);
            Some((workspace, work / ARRIVAL_TIME_CONSTANT.as_secs_f64()))
        })
    }

    /// Virtual time at which a plan of the workspace would begin to wait now.
    pub(super) fn virtual_time(&self, workspace: &str) -> VirtualTime {
        let least = self
            .waiting
            .first()
            .map_or(self.virtual_now, |(time, _)| self.virtual_now.max(*time));
        match self.accounts.get(workspace) {
            Some(account) if account.waiting > 0 => account.virtual_time,
            Some(account) => account.virtual_time.max(least),
            None => least,
        }
    }

    /// Virtual time of a workspace's floor; `None` without one.
    pub(super) fn floor_time(&self, workspace: &str) -> Option<VirtualTime> {
        let account = self.accounts.get(workspace)?;
        account.rule.floor_units().map(|_| account.floor_time)
    }

    /// Whether a floor with this virtual time has not been reached.
    pub(super) fn is_below_floor(&self, floor_time: VirtualTime) -> bool {
        floor_time <= self.floor_clock
    }

    /// Number of workspaces remembered.
    pub(in crate::gateway) fn len(&self) -> usize {
        self.accounts.len()
    }

    fn advance(&mut self) {
        if let Some((least, _)) = self.waiting.first() {
            self.virtual_now = self.virtual_now.max(*least);
        }
    }

    fn account(&mut self, now: Instant, workspace: &Arc<str>) -> &mut ShareAccount {
        if !self.accounts.contains_key(workspace) && self.accounts.len() >= MAX_ACCOUNTS {
            self.forget_one();
        }
        let (virtual_time, floor_time) = (self.virtual_now, self.floor_clock);
        let rule = self.rule(workspace);
        let entry = self.accounts.entry(Arc::clone(workspace));
        entry.or_insert_with(|| ShareAccount {
            rule,
            virtual_time,
            floor_time,
            waiting: 0,
            active_at: now,
            arrivals: FastMap::default(),
        })
    }

    fn forget_one(&mut self) {
        let resting = self.accounts.iter();
        let resting = resting.filter(|(_, account)| account.waiting == 0);
        let oldest = resting.min_by_key(|(_, account)| account.active_at);
        if let Some(workspace) = oldest.map(|(workspace, _)| Arc::clone(workspace)) {
            self.accounts.remove(&workspace);
        }
    }
}
