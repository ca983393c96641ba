use std::sync::Weak;

use prost::Message;
use tokio::task::JoinSet;

use super::pool_budget::EntryCount;
use super::spent_window::SpentSlice;
use super::{PoolBudget, RepeatReason, SendToken, TokenAmount};
use crate::gateway::gateway_node::GatewayNode;
use crate::gateway::gateway_view::GatewayView;
use crate::gateway::work_shard::{WorkKind, WorkShard};
use crate::generated::work::work_call::Call;
use crate::generated::work::{
    RetryAsk, RetryCollect, RetryGrant, RetryHandover, RetrySpend, RetryTokens, WorkCall,
};
use crate::prelude::*;
use crate::registry::BootClock;
use crate::transport::{LinkChannel, PeerName};

/// Longest time from a request for tokens to their use.
const TOKEN_VALIDITY: Duration = Duration::from_millis(250);

/// Timeout of calls: several round trips in a region, and less than a token is valid.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the call that passes a ledger on.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Oldest view with which an entry counts as the coordinator.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Requests for retry tokens among entries, and the coordinators' part of the budget.
impl GatewayNode {
    /// Takes a retry of a request from the budget of `pool`; `None` if there is none now.
    pub(in crate::gateway) async fn take_retry(
        self: &Arc<Self>,
        pool: &str,
        request: &str,
        reason: RepeatReason,
    ) -> Option<SendToken> {
        match self.take_retries(pool, 1).await {
            0 => {
                self.record_retry_denied(pool, request, reason);
                None
            }
            _ => {
                self.metrics.record_retries(pool, true, 1);
                self.record_repeats(pool, request, reason, 1);
                Some(SendToken::counted())
            }
        }
    }

    /// Records that a request is not sent again because the budget has no retry for it.
    pub(in crate::gateway) fn record_retry_denied(
        &self,
        pool: &str,
        request: &str,
        reason: RepeatReason,
    ) {
        self.metrics.record_retries(pool, false, 1);
        log_event!(
            info,
            "retry_denied",
            request = request,
            pool = pool,
            reason = reason.name(),
            entries = self.view.load().entries.len()
        );
    }

    /// Takes up to `count` retries from the budget of `pool`, and returns how many.
    pub(in crate::gateway) async fn take_retries(self: &Arc<Self>, pool: &str, count: u32) -> u32 {
        let earned = self
            .retry_gate
            .with_budget(pool, |now, budget| budget.take_earned(now, count));
        self.metrics.record_retry_tokens(pool, "earned", earned);
        let missing = count - earned;
        let may_ask = |now, budget: &mut PoolBudget| budget.may_ask(now);
        if missing == 0 || !self.retry_gate.with_budget(pool, may_ask) {
            return earned;
        }
        let view = self.view.load_full();
        let shard = WorkShard::from_name(pool);
        let coordinator = self.exchange.coordinator(&view, WorkKind::Retries, &shard);
        let grant = match coordinator {
            Some(coordinator) => self.ask_retries(&coordinator, pool, missing).await,
            None => self.grant_retries(pool, missing).await,
        };
        self.metrics
            .record_retry_tokens(pool, "granted", grant.count);
        if grant.count < missing {
            let time = Duration::from_millis(grant.backoff_ms.into());
            self.retry_gate
                .with_budget(pool, |now, budget| budget.back_off(now, time));
        }
        earned + grant.count
    }

    /// Asks the coordinator for tokens. A late answer grants none.
    async fn ask_retries(&self, coordinator: &PeerName, pool: &str, count: u32) -> RetryGrant {
        let ask = RetryAsk {
            pool: pool.to_string(),
            count,
        };
        let reply: Option<RetryGrant> = self
            .call_entry(coordinator, Call::RetryAsk(ask), CALL_TIMEOUT)
            .await;
        let grant = reply.unwrap_or_default();
        RetryGrant {
            count: grant.count.min(count),
            ..grant
        }
    }

    /// Grants up to `count` tokens that this entry holds; collects those of others if it holds too
    /// few.
    pub(in crate::gateway) async fn grant_retries(
        self: &Arc<Self>,
        pool: &str,
        count: u32,
    ) -> RetryGrant {
        let mut granted = self.grant_held(pool, count);
        let begins = |now, budget: &mut PoolBudget| budget.begin_collection(now);
        if granted < count && self.retry_gate.with_budget(pool, begins) {
            self.collect([pool.to_string()].into()).await;
            granted += self.grant_held(pool, count - granted);
        }
        let backoff = |_, budget: &mut PoolBudget| budget.backoff_time();
        RetryGrant {
            count: granted,
            backoff_ms: self.retry_gate.with_budget(pool, backoff).as_millis() as u32,
        }
    }

    fn grant_held(&self, pool: &str, count: u32) -> u32 {
        let view = self.view.load();
        let own = self.exchange.hub.name();
        let entries = EntryCount {
            all: view.entries.len(),
            earlier: self.retry_gate.count_earlier(&view.entries, own),
        };
        self.retry_gate
            .with_budget(pool, |now, budget| budget.grant(now, count, entries))
    }

    /// Collects the tokens that other entries have earned and not used.
    async fn collect(self: &Arc<Self>, pools: Arc<[String]>) {
        let view = self.view.load_full();
        let mut calls = JoinSet::new();
        for entry in view.entries.iter() {
            if entry != self.exchange.hub.name() {
                let (node, entry, pools) = (Arc::clone(self), entry.clone(), Arc::clone(&pools));
                calls.spawn(async move { node.collect_from(&entry, &pools).await });
            }
        }
        while calls.join_next().await.is_some() {}
    }

    async fn collect_from(&self, entry: &PeerName, pools: &[String]) {
        let call = Call::RetryCollect(RetryCollect {
            pools: pools.to_vec(),
        });
        let reply: Option<RetryTokens> = self.call_entry(entry, call, CALL_TIMEOUT).await;
        let Some(tokens) = reply.filter(|tokens| tokens.is_known) else {
            return;
        };
        self.retry_gate.record_current(entry);
        for (pool, millionths) in pools.iter().zip(tokens.millionths) {
            let amount = TokenAmount::from_millionths(millionths);
            self.retry_gate
                .with_budget(pool, |now, budget| budget.add_collected(now, amount));
        }
    }

    /// Answers the coordinator's collection with all tokens that this entry has earned.
    pub(in crate::gateway) fn give_tokens(&self, collect: &RetryCollect) -> RetryTokens {
        let amounts = collect.pools.iter().map(|pool| {
            let drain = |now, budget: &mut PoolBudget| budget.drain_earned(now);
            self.retry_gate.with_budget(pool, drain).millionths()
        });
        RetryTokens {
            is_known: true,
            millionths: amounts.collect(),
        }
    }

    /// Adopts the ledger of the coordinator that this entry succeeds, unless it may be old.
    pub(in crate::gateway) fn adopt_ledger(&self, from: &PeerName, handover: &RetryHandover) {
        if !self.retry_gate.is_awake() {
            log_event!(warn, "retry_ledger_late", pool = handover.pool, from = from);
            return;
        }
        let now = BootClock.now();
        let spent = handover.spent.iter().map(|spend| SpentSlice {
            at: now.minus(Duration::from_millis(spend.age_ms.into())),
            amount: TokenAmount::from_millionths(spend.millionths),
        });
        self.retry_gate
            .with_budget(&handover.pool, |now, budget| budget.adopt(now, spent));
        log_event!(
            info,
            "retry_ledger_adopted",
            pool = handover.pool,
            from = from,
            slices = handover.spent.len()
        );
    }

    /// Confirms this entry as coordinator of its pools, hands others over, and returns the pools whose
    /// tokens are to be collected.
    fn tick_retries(self: &Arc<Self>) -> Vec<String> {
        self.retry_gate.tick();
        let aged_view = self.aged_view();
        let is_fresh = aged_view.is_fresh(MAX_VIEW_AGE);
        let view = &aged_view.view;
        let configured = view.table.iter().flat_map(|table| table.pools());
        let configured = configured.map(|pool| pool.name.as_str());
        let pools = self.retry_gate.pools(configured);
        let mut collected = Vec::new();
        for pool in pools {
            match self.successor(view, &pool) {
                Some(successor) => self.hand_over(&pool, successor),
                None => {
                    let begins = self.retry_gate.with_budget(&pool, |now, budget| {
                        if is_fresh {
                            budget.confirm(now);
                        }
                        budget.begin_collection(now)
                    });
                    if begins {
                        collected.push(pool);
                    }
                }
            }
        }
        collected
    }

    /// The entry that coordinates the budget of a pool in place of this one; `None` if this one does.
    fn successor(&self, view: &GatewayView, pool: &str) -> Option<PeerName> {
        let own = self.exchange.hub.name();
        let ranked = view.ranked(WorkKind::Retries, &WorkShard::from_name(pool));
        let is_leaving = self.stop.has_begun();
        let mut successors = ranked.iter().filter(|entry| !is_leaving || *entry != own);
        successors.next().filter(|first| *first != own).cloned()
    }

    /// Passes the ledger of a pool on, if this entry has granted from its extra part.
    fn hand_over(self: &Arc<Self>, pool: &str, successor: PeerName) {
        let ledger = self.retry_gate.with_budget(pool, |now, budget| {
            let spent = budget.hand_over(now)?;
            let spent = spent.into_iter().map(|slice| RetrySpend {
                age_ms: now.since(slice.at).as_millis() as u32,
                millionths: slice.amount.millionths(),
            });
            Some(spent.collect())
        });
        let Some(spent) = ledger else { return };
        let handover = RetryHandover {
            pool: pool.to_string(),
            spent,
        };
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let pool = handover.pool.clone();
            let call = Call::RetryHandover(handover);
            let reply: Option<RetryTokens> =
                node.call_entry(&successor, call, HANDOVER_TIMEOUT).await;
            log_event!(
                info,
                "retry_ledger_passed_on",
                pool = pool,
                to = successor,
                answered = reply.is_some()
            );
        });
    }

    /// Calls another entry; `None` if no answer comes while tokens in it are valid.
    async fn call_entry<R: Message + Default>(
        &self,
        entry: &PeerName,
        call: Call,
        timeout: Duration,
    ) -> Option<R> {
        let asked = BootClock.now();
        let payload = WorkCall { call: Some(call) }.encode_to_vec().into();
        let hub = &self.exchange.hub;
        let answer = hub.call(entry.as_str(), LinkChannel::Work, payload, timeout);
        let reply = match answer.await {
            Ok(answer) => R::decode(answer).ok()?,
            Err(error) => {
                log_event!(debug, "retry_call_failed", entry = entry, reason = error);
                return None;
            }
        };
        // The VM may have been suspended meanwhile.
        (BootClock.now().since(asked) <= TOKEN_VALIDITY.max(timeout)).then_some(reply)
    }
}

/// Keeps the coordinators' part of the budgets, until the node is dropped.
pub(in crate::gateway) async fn run(node: Weak<GatewayNode>) {
    while let Some(node) = node.upgrade() {
        let interval = node.retry_gate.tick_interval();
        let pools = node.tick_retries();
        match pools.is_empty() {
            true => drop(node),
            false => drop(tokio::spawn(
                async move { node.collect(pools.into()).await },
            )),
        }
        tokio::time::sleep(interval).await;
    }
}
