use prost::Message;

use super::directory_core::{MAX_DETAILS, MAX_RENEWALS};
use super::endpoint_detail::{age_units, to_detail};
use super::{DirectoryAction, DirectoryCore, LoadBucket, pool_totals};
use crate::generated::directory::{DirectoryMessage, EndpointDetail, PoolTotal};
use crate::membership::{PeerGraph, TrafficClass};
use crate::prelude::*;

/// Pause for each entry of the region between two reports of usage, so that
/// their sum stays the same.
const USAGE_PAUSE_PER_ENTRY: Duration = Duration::from_millis(300);

/// Purpose under which a region's members are ranked for telling its totals.
const TOTALS_PURPOSE: &str = "totals";

/// What a directory tells others at its turns: renewals, details, totals and usage.
impl DirectoryCore {
    /// Passes on what is new. Load goes only while the budget has plenty left,
    /// and what can't go now stays for the next turn, when it is fresher.
    pub(super) fn spread(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if self.neighbours.is_empty() {
            self.fresh_keys.clear();
            self.fresh_details.clear();
            self.fresh_totals.clear();
            self.fresh_usage.clear();
            return;
        }
        let mut message = self.message(now);
        message.leaver_digest = self.leaver_digest(now);
        let mut counted = self.spread_usage(now, &mut message);
        counted += self.spread_totals(now, &mut message);
        let keys: Vec<u32> = self.fresh_keys.iter().copied().take(MAX_RENEWALS).collect();
        let with_load = self.affords(now, TrafficClass::Load, keys.len());
        counted += if with_load { keys.len() } else { 0 };
        self.add_renewals(now, &keys, with_load, &mut message);
        message.details = self.fresh_details_now(now);
        let size = message.encoded_len().saturating_sub(counted) * self.neighbours.len();
        if !self.budget.spend(now, TrafficClass::EndpointState, size) {
            return;
        }
        for key in &keys {
            self.fresh_keys.remove(key);
        }
        self.fresh_details.clear();
        let payload = Bytes::from(message.encode_to_vec());
        for neighbour in &self.neighbours {
            actions.push(DirectoryAction::Send {
                to: Arc::clone(neighbour),
                class: TrafficClass::EndpointState,
                payload: payload.clone(),
            });
        }
    }

    /// Tells what was announced here to one more entry, which is surely alive,
    /// so that it isn't stuck when both neighbours have just died.
    pub(super) fn spread_announced(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let keys = std::mem::take(&mut self.announced_keys);
        let heard = self.heard_peers(now, 1);
        let others = heard.iter().find(|peer| !self.neighbours.contains(peer));
        let Some(peer) = others else {
            return;
        };
        let mut message = self.message(now);
        self.add_renewals(now, &keys, true, &mut message);
        if !message.renewal_keys.is_empty() {
            self.send(now, peer, TrafficClass::EndpointState, &message, actions);
        }
    }

    pub(super) fn affords(&mut self, now: Instant, class: TrafficClass, bytes: usize) -> bool {
        let size = bytes * self.neighbours.len();
        size > 0 && self.budget.spend(now, class, size)
    }

    pub(super) fn add_renewals(
        &self,
        now: Instant,
        keys: &[u32],
        with_load: bool,
        message: &mut DirectoryMessage,
    ) {
        let (mut sequences, mut ages, mut loads) = (Vec::new(), Vec::new(), Vec::new());
        for key in keys {
            let Some(record) = self
                .index
                .endpoint(*key)
                .and_then(|endpoint| self.directory.get(endpoint))
            else {
                continue;
            };
            if !record.takes_work(now) {
                continue;
            }
            let announcement = &record.announcement;
            let lease = Duration::from_millis(announcement.lease_ms.into());
            let left = record.expires.saturating_duration_since(now);
            let age = age_units(lease.saturating_sub(left));
            let Ok(age) = u8::try_from(age) else {
                continue;
            };
            message.renewal_keys.push(*key);
            sequences.push(announcement.sequence as u8);
            ages.push(age);
            loads.push(LoadBucket::of(announcement.load).byte());
        }
        message.renewal_sequences = sequences.into();
        message.renewal_ages = ages.into();
        if with_load {
            message.renewal_loads = loads.into();
        }
    }

    pub(super) fn fresh_details_now(&self, now: Instant) -> Vec<EndpointDetail> {
        let records = self
            .fresh_details
            .iter()
            .filter_map(|endpoint| self.directory.get(endpoint));
        let details = records.map(|record| {
            let age = now.saturating_duration_since(record.load_at);
            to_detail(&record.announcement, age)
        });
        details.take(MAX_DETAILS).collect()
    }

    /// Adds fresh totals if the budget allows; tells their size.
    pub(super) fn spread_totals(&mut self, now: Instant, message: &mut DirectoryMessage) -> usize {
        let fresh = std::mem::take(&mut self.fresh_totals);
        let totals: Vec<PoolTotal> = fresh
            .iter()
            .filter_map(|(region, pool)| self.totals.message(now, region, pool))
            .collect();
        let size: usize = totals.iter().map(Message::encoded_len).sum();
        if !self.affords(now, TrafficClass::Load, size) {
            return 0;
        }
        message.totals = totals;
        size
    }

    /// Adds fresh reports of usage if the budget allows; tells their size.
    pub(super) fn spread_usage(&mut self, now: Instant, message: &mut DirectoryMessage) -> usize {
        let usage = std::mem::take(&mut self.fresh_usage);
        let size: usize = usage.iter().map(Message::encoded_len).sum();
        if !self.affords(now, TrafficClass::Usage, size) {
            return 0;
        }
        message.usage = usage;
        size
    }

    /// One entry of a region, picked by rank, tells the others' regions.
    pub(super) fn tell_totals(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if now < self.next_totals {
            return;
        }
        self.next_totals = now + self.timing.totals_interval;
        let view = Arc::clone(&self.view);
        let ours = PeerGraph::ranked(TOTALS_PURPOSE, view.entries(&self.own.region));
        if ours.first().is_none_or(|first| first.name != self.own.name) {
            return;
        }
        let mut message = self.message(now);
        let records = self.directory.iter();
        message.totals = pool_totals::own_totals(now, &self.own.region, records);
        if message.totals.is_empty() {
            return;
        }
        let regions: BTreeSet<&Arc<str>> =
            view.live.iter().map(|identity| &identity.region).collect();
        for region in regions {
            if *region == self.own.region {
                continue;
            }
            let theirs = PeerGraph::ranked(TOTALS_PURPOSE, view.entries(region));
            for target in theirs.iter().take(2) {
                self.send(now, &target.name, TrafficClass::Load, &message, actions);
            }
        }
    }

    pub(super) fn report_usage(&mut self, now: Instant) {
        if now < self.next_usage {
            return;
        }
        let entries = self.view.entries(&self.own.region).count();
        let pause = USAGE_PAUSE_PER_ENTRY * u32::try_from(entries.max(5)).unwrap_or(u32::MAX);
        self.next_usage = now + pause.min(self.timing.usage_interval);
        let report = self.collector.report(&self.own.name, self.epoch);
        self.fresh_usage.extend(report);
    }
}
