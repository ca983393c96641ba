use rand::seq::IndexedRandom;

use super::directory_core::MAX_RENEWALS;
use super::{DirectoryAction, DirectoryCore};
use crate::membership::TrafficClass;
use crate::prelude::*;

/// Entries asked for renewals that this one must have missed.
const LAPSING_PEERS: usize = 2;

/// With less of a lease left, random entries are asked for its renewal too: those
/// that were heard last may have missed it for the same reason.
const LAPSING_SOON: Duration = Duration::from_millis(700);

/// What a directory asks of others when it knows that it lacks something.
impl DirectoryCore {
    /// An entry that starts, or that has heard nobody for a while, asks one of
    /// its region for everything.
    pub(super) fn ask_for_everything(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let current = self.is_current(now) && self.detail_requests == 0;
        if current || now < self.next_refresh {
            return;
        }
        let peers = self.random_peers(1);
        let Some(peer) = peers.first() else {
            return;
        };
        self.next_refresh = now + self.timing.refresh_interval;
        let mut message = self.message(now);
        message.refresh = true;
        message.refresh_details = self.detail_requests > 0;
        self.detail_requests = self.detail_requests.saturating_sub(1);
        self.send(now, peer, TrafficClass::EndpointState, &message, actions);
    }

    /// Asks others for renewals that this one must have missed.
    pub(super) fn ask_for_lapsing(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if now < self.next_lapsing || !self.is_current(now) {
            return;
        }
        self.next_lapsing = now + self.timing.lapsing_interval;
        let lapsing: Vec<(Duration, u32)> = self
            .directory
            .iter()
            .filter(|record| record.takes_work(now))
            .filter_map(|record| {
                let left = record.expires.saturating_duration_since(now);
                let key = self.index.key(&record.announcement.endpoint)?;
                (left < self.timing.lapsing).then_some((left, key))
            })
            .take(MAX_RENEWALS)
            .collect();
        if lapsing.is_empty() {
            return;
        }
        let urgent = lapsing.iter().any(|(left, _)| *left < LAPSING_SOON);
        let random = if urgent { LAPSING_PEERS } else { 0 };
        let mut peers = self.random_peers(random);
        peers.extend(self.heard_peers(now, LAPSING_PEERS));
        let mut message = self.message(now);
        message.lapsing_keys = lapsing.into_iter().map(|(_, key)| key).collect();
        for peer in peers {
            self.send(now, &peer, TrafficClass::EndpointState, &message, actions);
        }
    }

    /// Entries of the region that were heard last: most likely alive, and a
    /// connection to them is open.
    pub(super) fn heard_peers(&self, now: Instant, count: usize) -> Vec<Arc<str>> {
        let live = self.view.entries(&self.own.region);
        let clocks =
            live.filter_map(|identity| Some((self.transits.get(&identity.name)?, identity)));
        let mut heard: Vec<_> = clocks
            .map(|(clock, identity)| (clock.heard_at(), Arc::clone(&identity.name)))
            .filter(|(heard_at, _)| now < *heard_at + self.timing.stale_after)
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.truncate(count);
        heard.into_iter().map(|(_, name)| name).collect()
    }

    pub(super) fn random_peers(&mut self, count: usize) -> Vec<Arc<str>> {
        let own = &self.own;
        let region = self.view.entries(&own.region);
        let peers: Vec<_> = region
            .filter(|identity| identity.name != own.name)
            .collect();
        let sample = peers.sample(&mut self.random, count);
        sample.map(|identity| Arc::clone(&identity.name)).collect()
    }
}
