use prost::Message;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::member_table::{BUCKETS, CompareScope};
use super::membership_core::{INDIRECT_PROBES, RelayedProbe, send};
use super::{Member, MemberState, MembershipAction, MembershipCore, MembershipError, Result};
use crate::generated::membership::{MemberRecord, MembershipMessage};
use crate::prelude::*;

/// Largest number of records in one answer to a comparison; some 8 KB.
const MAX_RECORDS: usize = 128;

/// Largest number of indirect probes in progress at this member; the oldest is dropped.
const MAX_RELAYED: usize = 64;

/// Joining, leaving, and the messages between members.
impl MembershipCore {
    /// Asks a seed for members that this one doesn't know. It does so often while it is alone
    /// or new, and rarely afterwards, so that two groups that started separately always find
    /// each other.
    pub(super) fn join(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.next_join {
            return;
        }
        let known = self.table.iter().filter(|member| member.state.is_live());
        let is_established = known.count() > 1 && now >= self.established_at;
        let interval = match is_established {
            true => self.timing.seed_interval,
            false => self.timing.join_interval,
        };
        let jitter = 1.0 + self.random.random::<f64>();
        self.next_join = now + interval.mul_f64(jitter);
        if let Some(seed) = self.seeds.choose(&mut self.random).cloned() {
            let mut message = self.message();
            message.join = true;
            message.bucket_digests = self.table.bucket_digests(CompareScope::Everyone);
            actions.push(send(&seed, &message));
        }
    }

    pub(super) fn leave(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.table.get(&self.own.name) else {
            return;
        };
        let left = Member {
            state: MemberState::Left,
            since: now,
            ..member.clone()
        };
        self.table.insert(left);
        let message = self.message();
        let view = self.view();
        let neighbours = self.monitors.iter().map(|monitor| &monitor.identity().name);
        let mut receivers: BTreeSet<&Arc<str>> = neighbours.collect();
        let others: Vec<_> = view.region(&self.own.region).collect();
        let extra = others.sample(&mut self.random, INDIRECT_PROBES);
        receivers.extend(extra.map(|identity| &identity.name));
        for receiver in receivers {
            actions.push(send(receiver, &message));
        }
    }

    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: &str,
        payload: &[u8],
        actions: &mut Vec<MembershipAction>,
    ) -> Result<()> {
        if self.has_left() {
            return Ok(());
        }
        let message = MembershipMessage::decode(payload)?;
        let sender = message.sender.as_ref().ok_or(MembershipError::NoSender)?;
        if sender.name != from {
            return Err(MembershipError::WrongSender);
        }
        self.apply(now, sender, actions);
        for record in &message.records {
            if self.may_report(&sender.region, record) {
                self.apply(now, record, actions);
            }
        }
        self.handle_ack(&message, actions);
        self.answer(now, &message, sender, actions);
        Ok(())
    }

    pub(super) fn handle_ack(
        &mut self,
        message: &MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let number = message.probe_ack;
        if number == 0 {
            return;
        }
        for monitor in &mut self.monitors {
            monitor.acknowledge(number);
        }
        for bridge in &mut self.bridges {
            if bridge.monitor.acknowledge(number) && bridge.record_success() {
                actions.push(MembershipAction::RegionReachable {
                    region: Arc::clone(&bridge.region),
                    reachable: true,
                });
            }
        }
        let relayed = self
            .relayed
            .iter()
            .position(|probe| probe.own_number == number);
        if let Some(probe) = relayed.and_then(|index| self.relayed.remove(index)) {
            let mut answer = self.message();
            answer.probe_ack = probe.number;
            actions.push(send(&probe.requester, &answer));
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Instant,
        message: &MembershipMessage,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if message.probe != 0 && !message.probe_target.is_empty() {
            self.relay_probe(message, &sender.name, actions);
        } else if message.probe != 0 {
            let mut answer = self.message_with_updates(&sender.region);
            answer.probe_ack = message.probe;
            self.add_receiver_record(&sender.name, &mut answer);
            actions.push(send(&sender.name, &answer));
        }
        if !message.bucket_digests.is_empty() {
            self.answer_comparison(message, sender, actions);
        } else if message.view_digest != 0 {
            self.compare(now, message.view_digest, sender, actions);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        message: &MembershipMessage,
        requester: &str,
        actions: &mut Vec<MembershipAction>,
    ) {
        let target = self.table.get(&message.probe_target);
        let Some(target) = target.map(|member| Arc::clone(&member.identity)) else {
            return;
        };
        let own_number = self.allocate_number();
        if self.relayed.len() >= MAX_RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe {
            own_number,
            number: message.probe,
            requester: requester.into(),
        });
        self.probe(&target, own_number, actions);
    }

    /// Requests the differing records from a sender whose digest differs. It does so rarely, so
    /// that updates in transit are not fetched twice.
    pub(super) fn compare(
        &mut self,
        now: Instant,
        digest: u32,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        let scope = match *sender.region == *self.own.region {
            true => CompareScope::Everyone,
            false => CompareScope::Region(&sender.region),
        };
        if digest == self.table.digest(scope) || now < self.next_sync {
            return;
        }
        let jitter = 1.0 + self.random.random::<f64>();
        self.next_sync = now + self.timing.sync_interval.mul_f64(jitter);
        if self.has_fresh_updates {
            return;
        }
        let mut message = self.message();
        message.bucket_digests = self.table.bucket_digests(scope);
        actions.push(send(&sender.name, &message));
    }

    pub(super) fn answer_comparison(
        &mut self,
        message: &MembershipMessage,
        sender: &MemberRecord,
        actions: &mut Vec<MembershipAction>,
    ) {
        if message.bucket_digests.len() != BUCKETS {
            return;
        }
        let everyone = message.join || *sender.region == *self.own.region;
        let scope = match everyone {
            true => CompareScope::Everyone,
            false => CompareScope::Region(&self.own.region),
        };
        let differing = self.table.differing(scope, &message.bucket_digests);
        let records: Vec<MemberRecord> = differing.into_iter().map(Member::to_record).collect();
        for part in records.chunks(MAX_RECORDS) {
            let mut answer = self.message();
            answer.records = part.to_vec();
            actions.push(send(&sender.name, &answer));
        }
    }
}
