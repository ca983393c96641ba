use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::work_shard::{ShardMap, WorkKind, WorkShard};
use super::{AdvertisedRate, EndpointHead};
use crate::generated::work::LimitNotice;
use crate::generated::work::work_notice::Notice;
use crate::prelude::*;
use crate::registry::{BootClock, BootTime};
use crate::transport::PeerName;

/// Records the rate limits that endpoints advertise and distributes them to other entries.
///
/// An entry that has not received a response with the limit itself would ignore the limit.
/// A change is therefore sent to the entry that issues the permits, which forwards it to all
/// coordinators; these forward it to the entries they are already connected to. See
/// docs/design/rate-limits.md.
impl GatewayNode {
    /// Records the rate advertised in the response head to a request that was sent at `sent`.
    pub(super) fn record_advertised_rate(
        &self,
        pool: &str,
        endpoint: &str,
        sent: BootTime,
        head: &EndpointHead,
    ) {
        if head.is_other_incarnation {
            return;
        }
        if head.rate == AdvertisedRate::Invalid {
            log_event!(debug, "endpoint_limit_unreadable", endpoint = endpoint);
        }
        let limits = &self.permits.limits;
        if limits.observe(BootClock.now(), sent, endpoint, head.effective_rate()) {
            self.log_limit_change(pool, endpoint, "answer", Duration::ZERO);
            self.report_limit(pool, endpoint);
        }
    }

    /// The last known limit of an endpoint as a notice for other entries.
    pub(super) fn limit_notice(&self, pool: &str, endpoint: &str) -> Option<LimitNotice> {
        let known = self.permits.limits.get(endpoint)?;
        Some(LimitNotice {
            pool: pool.to_string(),
            endpoint: endpoint.to_string(),
            per_second: known.per_second,
            age_ms: BootClock.now().since(known.at).as_millis() as u32,
        })
    }

    /// Applies a limit received from another entry and forwards it if it is a change.
    pub(super) fn adopt_limit(&self, source: &str, notice: &LimitNotice) {
        let LimitNotice {
            pool,
            endpoint,
            per_second,
            age_ms,
        } = notice;
        let is_valid = |rate: &f64| rate.is_finite() && *rate >= 0.0;
        if per_second.is_some_and(|rate| !is_valid(&rate)) {
            log_event!(warn, "limit_notice_unreadable", from = source);
            return;
        }
        let age = Duration::from_millis(u64::from(*age_ms));
        let limits = &self.permits.limits;
        if limits.adopt(BootClock.now(), endpoint, *per_second, age) {
            self.log_limit_change(pool, endpoint, source, age);
            self.relay_limit(source, notice);
        }
    }

    /// Sends an endpoint's limit to the entry that issues its permits, or to all coordinators
    /// if this entry does.
    pub(super) fn report_limit(&self, pool: &str, endpoint: &str) {
        let Some(notice) = self.limit_notice(pool, endpoint) else {
            return;
        };
        match self.remote_permit_issuer(pool, endpoint) {
            None => self.relay_limit(self.exchange.hub.name().as_str(), &notice),
            Some(issuer) => self.send_limit_notice(&issuer, &notice),
        }
    }

    /// Forwards a limit received from `source`: the permit issuer to all coordinators, and
    /// each coordinator to all entries connected to it.
    fn relay_limit(&self, source: &str, notice: &LimitNotice) {
        let view = self.view.load_full();
        let own = self.exchange.hub.name();
        let coordinators = coordinators(&view, &notice.pool);
        let mut receivers = BTreeSet::new();
        if self
            .remote_permit_issuer(&notice.pool, &notice.endpoint)
            .is_none()
        {
            receivers.extend(coordinators.iter().cloned());
        }
        if coordinators.contains(own) {
            let connected = self.exchange.hub.connected_peers().into_iter();
            receivers.extend(connected.filter(|peer| view.entries.contains(peer)));
        }
        for receiver in receivers {
            if receiver != *own && receiver.as_str() != source {
                self.send_limit_notice(&receiver, notice);
            }
        }
    }

    fn send_limit_notice(&self, receiver: &PeerName, notice: &LimitNotice) {
        let notice = Notice::Limit(notice.clone());
        if !self.exchange.notify(receiver, notice) {
            log_event!(debug, "limit_notice_lost", to = receiver);
        }
    }

    /// The entry that issues the permits for an endpoint; `None` if it is this one or unknown.
    fn remote_permit_issuer(&self, pool: &str, endpoint: &str) -> Option<PeerName> {
        let view = self.view.load_full();
        let member = view.roster.member(pool, endpoint)?;
        let (kind, shard) = WorkShard::for_permits(&view, pool, member);
        let issuer = view.ranked(kind, &shard).first().cloned();
        issuer.filter(|issuer| issuer != self.exchange.hub.name())
    }

    fn log_limit_change(&self, pool: &str, endpoint: &str, source: &str, age: Duration) {
        let rate = self.permits.limits.rate(endpoint);
        log_event!(
            info,
            "endpoint_limit_changed",
            pool = pool,
            endpoint = endpoint,
            per_second = rate.map_or("none".to_string(), |rate| rate.to_string()),
            source = source,
            age_ms = age.as_millis()
        );
    }
}

/// The entries that coordinate stages or prompts of a pool. Together they are connected to
/// nearly all other entries.
fn coordinators(view: &GatewayView, pool: &str) -> BTreeSet<PeerName> {
    let stages = view.shard_map(WorkKind::Stages, pool);
    let prompts = view.shard_map(WorkKind::Prompts, pool);
    let first_ranked = |kind, map: &ShardMap| -> Vec<PeerName> {
        let shards = map.shards();
        let names = shards.filter_map(|shard| view.ranked(kind, shard).first().cloned());
        names.collect()
    };
    let mut names = BTreeSet::from_iter(first_ranked(WorkKind::Stages, &stages));
    names.extend(first_ranked(WorkKind::Prompts, &prompts));
    names
}
