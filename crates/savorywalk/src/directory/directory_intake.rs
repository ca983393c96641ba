use prost::Message;

use super::directory_core::{ASK_AGAIN, MAX_DETAILS, MAX_LEAVES};
use super::directory_timing::MAX_SPREAD_LEASE;
use super::endpoint_detail::{age_of, from_detail};
use super::endpoint_directory::LeaseRenewal;
use super::transit_clock::TransitClock;
use super::usage_collector::{self};
use super::{
    AnnouncementOutcome, DirectoryAction, DirectoryCore, DirectoryError, LoadBucket, Result,
};
use crate::generated::directory::{DirectoryMessage, UsageReport};
use crate::membership::TrafficClass;
use crate::prelude::*;

/// Most keys whose details are being asked for.
const MAX_ASKED: usize = 8_192;

/// Usual transit within a region, which no clock shows; added to ages at each
/// hop. Data centres of a region are some 1.5 ms apart.
const USUAL_TRANSIT: Duration = Duration::from_millis(20);

/// Most senders whose transit is measured; ten times the target's daemons.
const MAX_SENDERS: usize = 4_096;

/// What a directory takes from the messages of others.
impl DirectoryCore {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: &str,
        payload: &[u8],
        actions: &mut Vec<DirectoryAction>,
    ) -> Result<(), DirectoryError> {
        let message = DirectoryMessage::decode(payload)?;
        let count = message.renewal_keys.len();
        let loads = message.renewal_loads.len();
        if message.renewal_sequences.len() != count
            || message.renewal_ages.len() != count
            || (loads != 0 && loads != count)
        {
            return Err(DirectoryError::UnequalColumns);
        }
        let excess = self
            .excess(now, from, &message)
            .saturating_add(USUAL_TRANSIT);
        if self.is_neighbourhood(from) && excess < self.timing.stale_after {
            self.heard_at = Some(now);
        }
        self.apply_leaves(now, &message, actions);
        self.apply_details(now, &message, excess);
        self.apply_renewals(now, from, &message, excess, actions);
        self.apply_totals(now, &message, excess);
        self.add_remote_usage(now, message.usage.as_slice(), actions);
        self.answer(now, from, &message, actions);
        Ok(())
    }

    pub(super) fn excess(
        &mut self,
        now: Instant,
        from: &str,
        message: &DirectoryMessage,
    ) -> Duration {
        let sent_ms = i64::try_from(message.sent_ms).unwrap_or(i64::MAX);
        let difference = self.clock_ms(now).saturating_sub(sent_ms);
        if let Some(clock) = self.transits.get_mut(from) {
            return clock.excess(now, message.epoch, difference);
        }
        if self.transits.len() < MAX_SENDERS {
            let clock = TransitClock::new(now, message.epoch, difference);
            self.transits.insert(from.into(), clock);
        }
        Duration::ZERO
    }

    pub(super) fn is_neighbourhood(&self, from: &str) -> bool {
        let mut region = self.view.entries(&self.own.region);
        region.any(|identity| *identity.name == *from)
    }

    pub(super) fn apply_leaves(
        &mut self,
        now: Instant,
        message: &DirectoryMessage,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut new_notices = Vec::new();
        for notice in &message.leaves {
            let (incarnation, sequence) = (notice.incarnation, notice.sequence);
            let directory = &mut self.directory;
            if directory.leave(now, &notice.endpoint, incarnation, sequence) {
                new_notices.push(notice.clone());
            }
        }
        if new_notices.is_empty() {
            return;
        }
        actions.push(DirectoryAction::Publish);
        let targets: BTreeSet<Arc<str>> = self.neighbours.iter().cloned().collect();
        for part in new_notices.chunks(MAX_LEAVES) {
            self.push_leaves(now, part.to_vec(), targets.clone(), actions);
        }
    }

    pub(super) fn apply_details(
        &mut self,
        now: Instant,
        message: &DirectoryMessage,
        excess: Duration,
    ) {
        if !message.details.is_empty() {
            self.detail_requests = 0;
        }
        for detail in &message.details {
            let age = age_of(detail.age).saturating_add(excess);
            let Some(announced_at) = now.checked_sub(age) else {
                continue;
            };
            let Some(announcement) = from_detail(detail.clone()) else {
                continue;
            };
            let endpoint = announcement.endpoint.clone();
            let outcome =
                self.directory
                    .announce_since(now, announced_at, announcement, MAX_SPREAD_LEASE);
            if matches!(outcome, Ok(AnnouncementOutcome::Applied)) {
                self.record_applied(&endpoint);
                self.changed = true;
            }
        }
    }

    pub(super) fn apply_renewals(
        &mut self,
        now: Instant,
        from: &str,
        message: &DirectoryMessage,
        excess: Duration,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut wanted = Vec::new();
        for (position, key) in message.renewal_keys.iter().enumerate() {
            let age = age_of(message.renewal_ages[position].into()).saturating_add(excess);
            let Some(renewed_at) = now.checked_sub(age) else {
                continue;
            };
            if !self.index.knows(*key) {
                if age < MAX_SPREAD_LEASE && self.asks_for(now, *key) {
                    wanted.push(*key);
                }
                continue;
            }
            let load = message.renewal_loads.get(position);
            let load = load.map(|byte| LoadBucket::from_byte(*byte));
            self.renew(
                now,
                *key,
                message.renewal_sequences[position],
                renewed_at,
                load,
            );
        }
        for part in wanted.chunks(MAX_DETAILS) {
            let mut request = self.message(now);
            request.wanted_keys = part.to_vec();
            self.send(now, from, TrafficClass::EndpointState, &request, actions);
        }
    }

    pub(super) fn renew(
        &mut self,
        now: Instant,
        key: u32,
        low_sequence: u8,
        renewed_at: Instant,
        load: Option<LoadBucket>,
    ) {
        let Some(endpoint) = self.index.endpoint(key).cloned() else {
            return;
        };
        let Some(record) = self.directory.get(&endpoint) else {
            return;
        };
        // Serial number arithmetic (RFC 1982) on the low byte.
        let known = record.announcement.sequence;
        let step = low_sequence.wrapping_sub(known as u8) as i8;
        let Ok(step @ 1..) = u64::try_from(step) else {
            return;
        };
        let renewal = LeaseRenewal {
            renewed_at,
            sequence: known.saturating_add(step),
            load: load.map(LoadBucket::load),
        };
        if self.directory.renew(now, &endpoint, renewal) {
            self.fresh_keys.insert(key);
            self.changed = true;
        }
    }

    pub(super) fn asks_for(&mut self, now: Instant, key: u32) -> bool {
        let recent = self.asked.get(&key);
        if recent.is_some_and(|asked_at| now < *asked_at + ASK_AGAIN) {
            return false;
        }
        let room = self.asked.len() < MAX_ASKED;
        if room {
            self.asked.insert(key, now);
        }
        room
    }

    pub(super) fn apply_totals(
        &mut self,
        now: Instant,
        message: &DirectoryMessage,
        excess: Duration,
    ) {
        for total in &message.totals {
            let foreign = *total.region != *self.own.region;
            if foreign && self.totals.merge(now, total, excess) {
                let pair = (total.region.as_str().into(), total.pool.as_str().into());
                self.fresh_totals.insert(pair);
            }
        }
    }

    pub(super) fn add_remote_usage(
        &mut self,
        now: Instant,
        reports: &[UsageReport],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for report in reports {
            if *report.entry == *self.own.name || !self.collector.hear(report) {
                continue;
            }
            let lines = usage_collector::lines(report);
            lines.iter().for_each(|line| self.book.add(now, line));
            self.fresh_usage.push(report.clone());
            actions.push(DirectoryAction::Used(lines));
        }
    }
}
