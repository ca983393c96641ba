use prost::Message;

use super::{
    FleetCheck, FleetPlan, HeldCall, PlannedFault, PromptRun, SimulatedPrompt, SimulatedRegistry,
};
use crate::configuration::DocumentRegister;
use crate::control::{DocumentCommand, EndpointIncarnation};
use crate::evacuation::{EvacuationCommand, EvacuationRegister};
use crate::prelude::*;
use crate::quarantine::{QuarantineCommand, QuarantineRegister};
use crate::registry::{
    BootTime, EndpointReport, EntryCapacity, FollowCall, FollowOutcome, FollowReply, FollowState,
    FollowTimeouts, MemberRing, ReportBatch,
};
use crate::transport::PeerName;

/// One-way latency between two daemons.
const LINK_TIME: Duration = Duration::from_millis(2);
/// Duration of a confirmation round, including waits for processor time.
const ROUND_TIME: Duration = Duration::from_millis(8);
/// Time without a leader after the loss of one.
const ELECTION_TIME: Duration = Duration::from_millis(900);
/// Pause of an entry after a call without a confirmation.
const FAILURE_PAUSE: Duration = Duration::from_millis(60);
/// Time between two announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which an entry may use confirmed state.
const MAX_AGE: Duration = Duration::from_millis(4_500);
/// Time from which on traffic is counted: before it, each daemon receives the whole state
/// once.
const WARM_UP: Duration = Duration::from_secs(5);
/// Data centres of the endpoints.
pub(super) const DATA_CENTERS: usize = 5;
/// Size of an operator's document.
const DOCUMENT_BYTES: usize = 8_000;

#[derive(Debug)]
pub(super) enum FleetEvent {
    StartCall {
        entry: usize,
        incarnation: u64,
    },
    Call {
        registry: usize,
        entry: usize,
        number: u64,
        call: FollowCall,
    },
    HoldExpired {
        registry: usize,
        entry: usize,
        number: u64,
    },
    Confirm {
        registry: usize,
        entry: usize,
        number: u64,
        call: FollowCall,
        held: Duration,
    },
    Reply {
        registry: usize,
        entry: usize,
        number: u64,
        reply: Box<FollowReply>,
    },
    Timeout {
        entry: usize,
        number: u64,
    },
    Announce {
        endpoint: usize,
    },
    Flush {
        registry: usize,
    },
    /// Delayed changes of the table are due to be published.
    Publish {
        registry: usize,
    },
    Batch {
        registry: usize,
        from: usize,
        batch: Arc<ReportBatch>,
    },
    /// The endpoints and followers of another registry.
    List {
        registry: usize,
        from: usize,
        reports: Vec<EndpointReport>,
        followers: Vec<String>,
        capacities: Vec<u32>,
    },
    PublishDocument,
    Retire {
        endpoint: usize,
    },
    /// An operator begins or ends the evacuation of a data centre.
    Evacuate {
        data_center: usize,
        evacuated: bool,
    },
    /// An entry receives the crashing request.
    Resend {
        entry: usize,
    },
    /// An entry reports a crash.
    Report {
        entry: usize,
        incarnation: u64,
        report: QuarantineCommand,
    },
    /// The log has decided on a crash report.
    Decide {
        report: QuarantineCommand,
    },
    /// An entry receives a request with a prompt.
    Prompt {
        is_crashing: bool,
    },
    /// An entry sends a request with a prompt to another engine.
    PromptResent {
        prompt: Box<SimulatedPrompt>,
    },
    /// An engine has answered its request `number`, or crashes under it.
    PromptDone {
        engine: usize,
        incarnation: u64,
        number: u64,
    },
    /// Engines crash at once, without any request's doing.
    EnginesLost {
        count: usize,
    },
    Fault(PlannedFault),
    RegistryRestored {
        registry: usize,
    },
    CheckEntries,
}

#[derive(Debug)]
pub(super) struct SimulatedEntry {
    name: PeerName,
    pub(super) incarnation: u64,
    pub(super) state: FollowState,
    timeouts: FollowTimeouts,
    pub(super) ring: MemberRing,
    /// Number of the pending call, and when it was sent.
    pending_call: Option<(u64, Duration)>,
    /// Bytes of calls and answers.
    bytes: usize,
}

/// Simulated entries, registries and endpoints that run one plan.
pub(super) struct SimulatedFleet {
    plan: FleetPlan,
    epoch: Instant,
    pub(super) now: Duration,
    queue: BTreeMap<(Duration, u64), FleetEvent>,
    count: u64,
    pub(super) entries: Vec<SimulatedEntry>,
    pub(super) registries: Vec<SimulatedRegistry>,
    pub(super) members: Vec<PeerName>,
    /// Documents and retirements that a majority has committed.
    log: DocumentRegister,
    /// Committed quarantine.
    pub(super) quarantine: QuarantineRegister,
    /// Committed evacuations.
    evacuations: EvacuationRegister,
    /// Number of committed quarantine commands.
    pub(super) commands: u64,
    /// Endpoints that have crashed.
    pub(super) crashes: u64,
    leader: usize,
    leaderless_until: Duration,
    cuts: FastMap<(usize, usize), Duration>,
    endpoints: Vec<Option<EndpointReport>>,
    next_document: u64,
    epochs: u64,
    /// Number of answers to followers.
    pub(super) answers: usize,
    /// Engines, and the requests with prompts.
    pub(super) prompts: PromptRun,
    pub(super) check: FleetCheck,
}

/// The bytes that count towards the budget: none before [`WARM_UP`] has passed.
fn counted_bytes(now: Duration, bytes: usize) -> usize {
    if now < WARM_UP { 0 } else { bytes }
}

fn peer(name: String) -> PeerName {
    PeerName::new(&name).expect("the name is a label")
}

fn data_center_name(number: usize) -> String {
    format!("center-{number}")
}

fn report(endpoint: usize) -> EndpointReport {
    EndpointReport {
        id: format!("i-{endpoint:010x}"),
        pool: format!("pool-{}", endpoint % 5),
        address: format!("10.1.{}.{}:8080", endpoint / 250, endpoint % 250),
        data_center: data_center_name(endpoint % DATA_CENTERS),
        slots: 64,
        born_ms: 1_700_000_000_000,
        ..Default::default()
    }
}

impl SimulatedFleet {
    pub(super) fn new(plan: FleetPlan) -> Self {
        let members: Vec<PeerName> = (0..plan.registries)
            .map(|registry| peer(format!("10-2-0-{registry}")))
            .collect();
        let registries = members.iter().enumerate();
        let registries = registries.map(|(index, name)| {
            SimulatedRegistry::new(name.clone(), index as u64 + 1, ANNOUNCE_INTERVAL)
        });
        let entries = (0..plan.entries).map(|entry| SimulatedEntry {
            name: peer(format!("10-1-{}-{}", entry / 250, entry % 250)),
            incarnation: 0,
            state: FollowState::default(),
            timeouts: FollowTimeouts::for_max_age(MAX_AGE),
            ring: MemberRing::new(members[..3].to_vec(), entry as u64),
            pending_call: None,
            bytes: 0,
        });
        let mut fleet = Self {
            epoch: Instant::now(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            count: 0,
            entries: entries.collect(),
            registries: registries.collect(),
            log: DocumentRegister::default(),
            quarantine: QuarantineRegister::default(),
            evacuations: EvacuationRegister::default(),
            commands: 0,
            crashes: 0,
            leader: 0,
            leaderless_until: Duration::ZERO,
            cuts: FastMap::default(),
            endpoints: (0..plan.endpoints)
                .map(|endpoint| Some(report(endpoint)))
                .collect(),
            next_document: 1,
            epochs: plan.registries as u64 + 1,
            answers: 0,
            prompts: PromptRun::new(plan.prompt_seed),
            check: FleetCheck::new(&plan),
            members,
            plan,
        };
        fleet.schedule_all();
        fleet
    }

    fn schedule_all(&mut self) {
        let spread =
            |index: usize, count: usize, time: Duration| time * index as u32 / count as u32;
        for endpoint in 0..self.plan.endpoints {
            let at = spread(endpoint, self.plan.endpoints, ANNOUNCE_INTERVAL);
            self.at(at, FleetEvent::Announce { endpoint });
        }
        for entry in 0..self.plan.entries {
            let at = spread(entry, self.plan.entries, Duration::from_millis(300));
            self.at(
                at,
                FleetEvent::StartCall {
                    entry,
                    incarnation: 0,
                },
            );
        }
        for registry in 0..self.plan.registries {
            let at = spread(registry, self.plan.registries, FLUSH_INTERVAL);
            self.at(at, FleetEvent::Flush { registry });
        }
        self.at(Duration::ZERO, FleetEvent::PublishDocument);
        for at in self.plan.changes.clone() {
            self.at(at, FleetEvent::PublishDocument);
        }
        for (at, endpoint) in self.plan.retirements.clone() {
            self.at(at, FleetEvent::Retire { endpoint });
        }
        for (at, data_center, evacuated) in self.plan.evacuations.clone() {
            let event = FleetEvent::Evacuate {
                data_center,
                evacuated,
            };
            self.at(at, event);
        }
        for (at, entry) in self.plan.resends.clone() {
            self.at(at, FleetEvent::Resend { entry });
        }
        for (at, is_crashing) in self.plan.prompts.clone() {
            self.at(at, FleetEvent::Prompt { is_crashing });
        }
        for (at, count) in self.plan.engine_failures.clone() {
            self.at(at, FleetEvent::EnginesLost { count });
        }
        for (at, fault) in self.plan.faults.clone() {
            self.at(at, FleetEvent::Fault(fault));
        }
        self.at(CHECK_INTERVAL, FleetEvent::CheckEntries);
    }

    fn at(&mut self, at: Duration, event: FleetEvent) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    pub(super) fn after(&mut self, time: Duration, event: FleetEvent) {
        self.at(self.now + time, event);
    }

    fn instant(&self) -> Instant {
        self.epoch + self.now
    }

    /// Runs the plan to its end.
    pub(super) fn run(mut self) -> Self {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.plan.length {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self
    }

    /// Bytes per second of calls and answers of the entry with the most traffic.
    pub(super) fn entry_bytes(&self) -> usize {
        let max = self.entries.iter().map(|entry| entry.bytes).max();
        max.unwrap_or(0) / (self.plan.length - WARM_UP).as_secs() as usize
    }

    /// Bytes per second that the busiest registry sends to the others.
    pub(super) fn registry_bytes(&self) -> usize {
        let max = self
            .registries
            .iter()
            .map(|registry| registry.sent_bytes)
            .max();
        max.unwrap_or(0) / (self.plan.length - WARM_UP).as_secs() as usize
    }

    /// Number of entries that do not know the capacities of all entries.
    pub(super) fn count_without_capacities(&self) -> usize {
        let capacities: BTreeMap<&PeerName, EntryCapacity> = self
            .entries
            .iter()
            .enumerate()
            .map(|(index, entry)| (&entry.name, capacity_of(index)))
            .collect();
        let has_all = |state: &FollowState| {
            let known = state.entries().iter().zip(state.entry_capacities().iter());
            let known = known.filter(|(name, capacity)| capacities.get(name) == Some(capacity));
            known.count() == capacities.len()
        };
        let without = self.entries.iter().filter(|entry| !has_all(&entry.state));
        without.count()
    }

    /// Number of followers of the registry with the most.
    pub(super) fn max_followers(&mut self) -> usize {
        let now = self.instant();
        let counts = self.registries.iter_mut().map(|registry| {
            registry.followers.expire(now);
            registry.followers.own_names().len()
        });
        counts.max().unwrap_or(0)
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::StartCall { entry, incarnation }
                if self.entries[entry].incarnation == incarnation =>
            {
                self.start_call(entry)
            }
            FleetEvent::StartCall { .. } => {}
            FleetEvent::Call {
                registry,
                entry,
                number,
                call,
            } => {
                self.receive_call(registry, entry, number, call);
            }
            FleetEvent::HoldExpired {
                registry,
                entry,
                number,
            } => {
                self.release(registry, |held| {
                    (held.entry, held.number) == (entry, number)
                });
            }
            FleetEvent::Confirm {
                registry,
                entry,
                number,
                call,
                held,
            } => {
                self.answer(registry, entry, number, &call, held);
            }
            FleetEvent::Reply {
                registry,
                entry,
                number,
                reply,
            } => {
                self.receive_reply(registry, entry, number, *reply);
            }
            FleetEvent::Timeout { entry, number } => self.time_out(entry, number),
            FleetEvent::Announce { endpoint } => self.announce(endpoint),
            FleetEvent::Flush { registry } => self.flush(registry),
            FleetEvent::Publish { registry } => self.publish(registry),
            FleetEvent::Batch {
                registry,
                from,
                batch,
            } => self.apply_batch(registry, from, &batch),
            FleetEvent::List {
                registry,
                from,
                reports,
                followers,
                capacities,
            } => self.apply_list(registry, from, &reports, (&followers, &capacities)),
            FleetEvent::PublishDocument => self.publish_document(),
            FleetEvent::Retire { endpoint } => self.retire_endpoint(endpoint),
            FleetEvent::Evacuate {
                data_center,
                evacuated,
            } => self.evacuate(data_center, evacuated),
            FleetEvent::Resend { entry } => self.resend(entry),
            FleetEvent::Report {
                entry,
                incarnation,
                report,
            } => self.report_crash(entry, incarnation, report),
            FleetEvent::Decide { report } => self.decide(&report),
            FleetEvent::Prompt { is_crashing } => self.receive_prompt(is_crashing),
            FleetEvent::PromptResent { prompt } => self.send_prompt(*prompt),
            FleetEvent::PromptDone {
                engine,
                incarnation,
                number,
            } => self.finish_prompt(engine, incarnation, number),
            FleetEvent::EnginesLost { count } => self.lose_engines(count),
            FleetEvent::Fault(fault) => self.inject_fault(fault),
            FleetEvent::RegistryRestored { registry } => self.restore_registry(registry),
            FleetEvent::CheckEntries => self.check_entries(),
        }
    }

    fn start_call(&mut self, entry: usize) {
        let requester = &mut self.entries[entry];
        let target = requester.ring.current().cloned();
        let registry = self
            .members
            .iter()
            .position(|member| Some(member) == target.as_ref());
        let Some(registry) = registry else { return };
        let call = match requester.ring.is_settled() {
            true => FollowCall {
                capacity_millicores: capacity_of(entry).0,
                ..requester.state.next_call(requester.timeouts.hold())
            },
            false => FollowCall::for_members(),
        };
        requester.bytes += counted_bytes(self.now, call.encoded_len());
        self.count += 1;
        let number = self.count;
        requester.pending_call = Some((number, self.now));
        let timeout = requester.timeouts.answer_timeout();
        self.after(timeout, FleetEvent::Timeout { entry, number });
        self.after(
            LINK_TIME,
            FleetEvent::Call {
                registry,
                entry,
                number,
                call,
            },
        );
    }

    fn receive_call(&mut self, registry: usize, entry: usize, number: u64, call: FollowCall) {
        let now = self.instant();
        let name = self.entries[entry].name.clone();
        let daemon = &mut self.registries[registry];
        if !daemon.is_up {
            return;
        }
        if call.only_members {
            let reply = Box::new(FollowReply {
                members: self.members.iter().map(ToString::to_string).collect(),
                ..Default::default()
            });
            let event = FleetEvent::Reply {
                registry,
                entry,
                number,
                reply,
            };
            return self.after(LINK_TIME, event);
        }
        daemon.followers.record_own_call(
            now,
            &name,
            EntryCapacity(call.capacity_millicores),
            false,
        );
        let until = self.now + Duration::from_millis(call.wait_ms.into());
        let is_behind = daemon.is_behind(&call);
        daemon.held.push(HeldCall {
            entry,
            number,
            call,
            arrived: self.now,
            until,
        });
        match is_behind {
            true => self.release(registry, |held| held.number == number),
            false => self.at(
                until,
                FleetEvent::HoldExpired {
                    registry,
                    entry,
                    number,
                },
            ),
        }
    }

    /// Ends the hold of matching calls and starts the confirmation of their answers.
    fn release(&mut self, registry: usize, is_released: impl Fn(&HeldCall) -> bool) {
        let daemon = &mut self.registries[registry];
        let held = std::mem::take(&mut daemon.held);
        let (released, still_held): (Vec<_>, Vec<_>) =
            held.into_iter().partition(|held| is_released(held));
        daemon.held = still_held;
        for held in released {
            let event = FleetEvent::Confirm {
                registry,
                entry: held.entry,
                number: held.number,
                held: self.now.min(held.until) - held.arrived,
                call: held.call,
            };
            self.after(ROUND_TIME, event);
        }
    }

    pub(super) fn release_behind(&mut self, registry: usize) {
        let daemon = &self.registries[registry];
        let outdated = daemon
            .held
            .iter()
            .filter(|held| daemon.is_behind(&held.call));
        let outdated: FastSet<u64> = outdated.map(|held| held.number).collect();
        if !outdated.is_empty() {
            self.release(registry, |held| outdated.contains(&held.number));
        }
    }

    pub(super) fn has_majority(&self) -> bool {
        let up = self
            .registries
            .iter()
            .filter(|registry| registry.is_up)
            .count();
        up * 2 > self.registries.len() && self.now >= self.leaderless_until
    }

    fn answer(
        &mut self,
        registry: usize,
        entry: usize,
        number: u64,
        call: &FollowCall,
        held: Duration,
    ) {
        let has_majority = self.has_majority();
        let daemon = &mut self.registries[registry];
        if !daemon.is_up {
            return;
        }
        if has_majority && daemon.documents != self.log {
            daemon.documents = self.log.clone();
        }
        if has_majority && daemon.quarantine != self.quarantine {
            daemon.quarantine = self.quarantine.clone();
        }
        if has_majority && daemon.evacuations != self.evacuations {
            daemon.evacuations = self.evacuations.clone();
        }
        self.answers += 1;
        let mut reply = daemon.reply(call, has_majority, &self.members);
        reply.confirmed = has_majority;
        reply.held_ms = held.as_millis() as u32;
        let reply = Box::new(reply);
        self.after(
            LINK_TIME,
            FleetEvent::Reply {
                registry,
                entry,
                number,
                reply,
            },
        );
    }

    fn receive_reply(&mut self, registry: usize, entry: usize, number: u64, reply: FollowReply) {
        if self
            .cuts
            .get(&(registry, entry))
            .is_some_and(|until| self.now < *until)
        {
            return;
        }
        let now = BootTime::after(self.now);
        let requester = &mut self.entries[entry];
        let Some((_, sent)) = requester
            .pending_call
            .take_if(|(pending, _)| *pending == number)
        else {
            return;
        };
        requester.bytes += counted_bytes(self.now, reply.encoded_len());
        if !requester.ring.is_settled() && requester.ring.update_members(&reply.members) {
            let incarnation = requester.incarnation;
            return self.after(Duration::ZERO, FleetEvent::StartCall { entry, incarnation });
        }
        let outcome = match reply.confirmed {
            true => FollowOutcome::Confirmed,
            false => FollowOutcome::Unconfirmed,
        };
        requester.ring.apply_member_names(&reply.members);
        requester.state.apply(BootTime::after(sent), now, reply);
        requester.state.take_changed();
        if outcome == FollowOutcome::Confirmed {
            requester.ring.settle();
        }
        self.check.check_reply(self.now, entry, &requester.state);
        self.finish_call(entry, outcome);
    }

    fn time_out(&mut self, entry: usize, number: u64) {
        let requester = &mut self.entries[entry];
        if requester
            .pending_call
            .take_if(|(pending, _)| *pending == number)
            .is_some()
        {
            self.finish_call(entry, FollowOutcome::Lost);
        }
    }

    fn finish_call(&mut self, entry: usize, outcome: FollowOutcome) {
        let requester = &mut self.entries[entry];
        if requester.timeouts.record(outcome) {
            requester.ring.advance();
        }
        let incarnation = requester.incarnation;
        let pause = match outcome {
            FollowOutcome::Confirmed => Duration::ZERO,
            FollowOutcome::Unconfirmed | FollowOutcome::Lost => FAILURE_PAUSE,
        };
        self.after(pause, FleetEvent::StartCall { entry, incarnation });
    }

    fn announce(&mut self, endpoint: usize) {
        let Some(report) = &mut self.endpoints[endpoint] else {
            return;
        };
        report.sequence += 1;
        let report = report.clone();
        let count = self.registries.len();
        let candidates = (0..count).map(|offset| (endpoint + offset) % count);
        let target = candidates
            .into_iter()
            .find(|target| self.registries[*target].is_up);
        let now = self.instant();
        if let Some(target) = target {
            self.registries[target].record(now, report);
            self.publish(target);
        }
        self.after(ANNOUNCE_INTERVAL, FleetEvent::Announce { endpoint });
    }

    fn flush(&mut self, registry: usize) {
        self.after(FLUSH_INTERVAL, FleetEvent::Flush { registry });
        let now = self.instant();
        let others = self.members.len() - 1;
        let daemon = &mut self.registries[registry];
        let batch = match daemon.is_up {
            true => daemon.flush(now),
            false => None,
        };
        let Some(batch) = batch.map(Arc::new) else {
            return;
        };
        daemon.sent_bytes += counted_bytes(self.now, batch.encoded_len() * others);
        for other in (0..self.members.len()).filter(|other| *other != registry) {
            let batch = Arc::clone(&batch);
            self.after(
                LINK_TIME,
                FleetEvent::Batch {
                    registry: other,
                    from: registry,
                    batch,
                },
            );
        }
    }

    fn apply_batch(&mut self, registry: usize, from: usize, batch: &ReportBatch) {
        let now = self.instant();
        if !self.registries[registry].is_up {
            return;
        }
        let name = self.members[from].clone();
        if self.registries[registry].apply_batch(now, name.as_str(), batch) {
            self.fetch_list(registry, from);
        }
        self.publish(registry);
    }

    fn fetch_list(&mut self, registry: usize, from: usize) {
        let source = &mut self.registries[from];
        if !source.is_up {
            return;
        }
        let reports = source.table.own_reports();
        let followers = source.followers.own_names();
        let capacities = source.followers.own_capacities();
        let list = FollowReply {
            reports: reports.clone(),
            entries: followers.clone(),
            entry_capacities: capacities.clone(),
            ..Default::default()
        };
        let bytes = list.encoded_len();
        source.sent_bytes += counted_bytes(self.now, bytes);
        let list = FleetEvent::List {
            registry,
            from,
            reports,
            followers,
            capacities,
        };
        self.after(LINK_TIME * 2, list);
    }

    fn apply_list(
        &mut self,
        registry: usize,
        from: usize,
        reports: &[EndpointReport],
        (followers, capacities): (&[String], &[u32]),
    ) {
        let now = self.instant();
        if self.registries[registry].is_up {
            let name = self.members[from].clone();
            let daemon = &mut self.registries[registry];
            daemon.apply_list(now, name.as_str(), reports, followers, capacities);
            self.publish(registry);
        }
    }

    /// Publishes changes of the table to held calls, now or when the publish pause is over.
    fn publish(&mut self, registry: usize) {
        let now = self.instant();
        match self.registries[registry].table.publish(now) {
            Some(due) => self.after(due - now, FleetEvent::Publish { registry }),
            None => self.release_behind(registry),
        }
    }

    /// Commits one step of the log and applies it at all registries.
    fn commit(&mut self, step: impl FnOnce(&mut DocumentRegister)) {
        step(&mut self.log);
        for registry in 0..self.registries.len() {
            if self.registries[registry].is_up {
                self.registries[registry].documents = self.log.clone();
                self.release_behind(registry);
            }
        }
    }

    fn publish_document(&mut self) {
        if !self.has_majority() {
            self.after(FAILURE_PAUSE, FleetEvent::PublishDocument);
            return;
        }
        let number = self.next_document;
        self.next_document += 1;
        self.commit(|log| {
            log.publish(DocumentCommand {
                number,
                content: vec![b'd'; DOCUMENT_BYTES].into(),
                author: "operator".into(),
            });
        });
        self.check.record_committed(self.now, number);
    }

    fn retire_endpoint(&mut self, endpoint: usize) {
        if !self.has_majority() {
            self.after(FAILURE_PAUSE, FleetEvent::Retire { endpoint });
            return;
        }
        let Some(report) = self.endpoints[endpoint].take() else {
            return;
        };
        let incarnation: EndpointIncarnation = report.incarnation();
        self.commit(|log| log.retire(incarnation));
        self.check.record_retired(self.now, report.id);
    }

    fn evacuate(&mut self, data_center: usize, evacuated: bool) {
        if !self.has_majority() {
            let event = FleetEvent::Evacuate {
                data_center,
                evacuated,
            };
            self.after(FAILURE_PAUSE, event);
            return;
        }
        let name = data_center_name(data_center);
        let outcome = self.evacuations.apply(&EvacuationCommand {
            orders_before: self.evacuations.order_count(&name),
            data_center: name.clone(),
            evacuated,
        });
        assert!(outcome.in_force, "no other operator gives orders");
        for registry in 0..self.registries.len() {
            if self.registries[registry].is_up {
                self.registries[registry].evacuations = self.evacuations.clone();
                self.release_behind(registry);
            }
        }
        self.check.record_evacuated(self.now, name, evacuated);
    }

    fn inject_fault(&mut self, fault: PlannedFault) {
        match fault {
            PlannedFault::RegistryLost { registry, time } => {
                self.registries[registry].is_up = false;
                self.registries[registry].held.clear();
                if registry == self.leader {
                    self.leader = (self.leader + self.plan.tolerance) % self.members.len();
                    self.leaderless_until = self.now + ELECTION_TIME;
                }
                self.check.record_control_disturbed(self.now + time);
                self.after(time, FleetEvent::RegistryRestored { registry });
            }
            PlannedFault::EntryRestarted { entry } => self.restart_entry(entry),
            PlannedFault::AnswersCut {
                registry,
                entry,
                time,
            } => {
                self.cuts.insert((registry, entry), self.now + time);
                self.check.record_entry_disturbed(self.now + time, entry);
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let order_key = entry as u64;
        let seeds = self.members[..3].to_vec();
        let requester = &mut self.entries[entry];
        requester.incarnation += 1;
        requester.state = FollowState::default();
        requester.timeouts = FollowTimeouts::for_max_age(MAX_AGE);
        requester.ring = MemberRing::new(seeds, order_key);
        requester.pending_call = None;
        let incarnation = requester.incarnation;
        self.check.record_restart(entry);
        self.check.record_entry_disturbed(self.now, entry);
        self.after(
            Duration::from_millis(300),
            FleetEvent::StartCall { entry, incarnation },
        );
    }

    fn restore_registry(&mut self, registry: usize) {
        let name = self.registries[registry].name.clone();
        let sent_bytes = self.registries[registry].sent_bytes;
        self.epochs += 1;
        let mut daemon = SimulatedRegistry::new(name, self.epochs, ANNOUNCE_INTERVAL);
        daemon.sent_bytes = sent_bytes;
        daemon.documents = self.log.clone();
        daemon.quarantine = self.quarantine.clone();
        daemon.evacuations = self.evacuations.clone();
        self.registries[registry] = daemon;
    }

    fn check_entries(&mut self) {
        for entry in 0..self.entries.len() {
            self.check
                .check_bounds(self.now, entry, &self.entries[entry].state);
        }
        self.after(CHECK_INTERVAL, FleetEvent::CheckEntries);
    }
}

/// Capacity that an entry reports: a quarter of the entries have more than the others.
fn capacity_of(entry: usize) -> EntryCapacity {
    EntryCapacity(if entry.is_multiple_of(4) { 300 } else { 90 })
}
