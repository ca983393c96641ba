use super::directory_core::{MAX_DETAILS, MAX_LEAVES, MAX_RENEWALS};
use super::endpoint_detail::to_detail;
use super::{DirectoryAction, DirectoryCore};
use crate::generated::directory::{DirectoryMessage, EndpointDetail, LeaveNotice};
use crate::membership::TrafficClass;
use crate::prelude::*;

/// What a directory answers to those who lack something.
impl DirectoryCore {
    pub(super) fn answer(
        &mut self,
        now: Instant,
        from: &str,
        message: &DirectoryMessage,
        actions: &mut Vec<DirectoryAction>,
    ) {
        if !message.wanted_keys.is_empty() {
            self.answer_wanted(now, from, &message.wanted_keys, actions);
        }
        if !message.lapsing_keys.is_empty() {
            self.answer_renewals(now, from, &message.lapsing_keys, actions);
        }
        if message.refresh {
            self.answer_refresh(now, from, message.refresh_details, actions);
        }
        let differs = message.leaver_digest != self.leaver_digest(now);
        let carries_digest = message.leaver_digest != 0 || !message.renewal_keys.is_empty();
        if differs && carries_digest && now >= self.next_leavers {
            self.next_leavers = now + self.timing.refresh_interval;
            self.answer_leavers(now, from, actions);
        }
    }

    pub(super) fn answer_wanted(
        &mut self,
        now: Instant,
        from: &str,
        keys: &[u32],
        actions: &mut Vec<DirectoryAction>,
    ) {
        let endpoints: Vec<Arc<str>> = keys
            .iter()
            .flat_map(|key| self.index.endpoints(*key).iter().cloned())
            .collect();
        self.answer_details(now, from, &endpoints, actions);
    }

    pub(super) fn answer_details(
        &mut self,
        now: Instant,
        from: &str,
        endpoints: &[Arc<str>],
        actions: &mut Vec<DirectoryAction>,
    ) {
        let records = endpoints.iter().filter_map(|name| self.directory.get(name));
        let serving = records.filter(|record| record.takes_work(now));
        let details: Vec<EndpointDetail> = serving
            .map(|record| {
                let lease = Duration::from_millis(record.announcement.lease_ms.into());
                let left = record.expires.saturating_duration_since(now);
                to_detail(&record.announcement, lease.saturating_sub(left))
            })
            .collect();
        for part in details.chunks(MAX_DETAILS) {
            let mut answer = self.message(now);
            answer.details = part.to_vec();
            self.send(now, from, TrafficClass::EndpointState, &answer, actions);
        }
    }

    pub(super) fn answer_renewals(
        &mut self,
        now: Instant,
        from: &str,
        keys: &[u32],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for part in keys.chunks(MAX_RENEWALS) {
            let mut answer = self.message(now);
            self.add_renewals(now, part, true, &mut answer);
            if !answer.renewal_keys.is_empty() {
                self.send(now, from, TrafficClass::EndpointState, &answer, actions);
            }
        }
    }

    pub(super) fn answer_refresh(
        &mut self,
        now: Instant,
        from: &str,
        with_details: bool,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let records = self.directory.iter();
        let names: Vec<Arc<str>> = records
            .map(|record| record.announcement.endpoint.as_str().into())
            .collect();
        if with_details {
            self.answer_details(now, from, &names, actions);
        } else {
            let keys = names.iter().filter_map(|name| self.index.key(name));
            let keys: Vec<u32> = keys.collect();
            self.answer_renewals(now, from, &keys, actions);
        }
        let mut rest = self.message(now);
        rest.totals = self
            .totals
            .pairs()
            .filter_map(|(region, pool)| self.totals.message(now, region, pool))
            .collect();
        self.send(now, from, TrafficClass::EndpointState, &rest, actions);
        self.answer_leavers(now, from, actions);
    }

    pub(super) fn answer_leavers(
        &mut self,
        now: Instant,
        from: &str,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let notices: Vec<LeaveNotice> = self
            .directory
            .leavers(now)
            .map(|(endpoint, incarnation, sequence)| LeaveNotice {
                endpoint: endpoint.to_string(),
                incarnation,
                sequence,
            })
            .collect();
        for part in notices.chunks(MAX_LEAVES) {
            let mut answer = self.message(now);
            answer.leaves = part.to_vec();
            self.send(now, from, TrafficClass::Leave, &answer, actions);
        }
    }

    pub(super) fn leaver_digest(&self, now: Instant) -> u32 {
        let leavers = self.directory.leavers(now);
        leavers.fold(0, |digest, (endpoint, incarnation, _)| {
            let name = crc32c::crc32c(endpoint.as_bytes());
            digest ^ crc32c::crc32c_append(name, &incarnation.to_le_bytes())
        })
    }
}
