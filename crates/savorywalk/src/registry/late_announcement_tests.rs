//! Endpoints whose announcements are late, from the endpoint to the entry and without a network.
//!
//! Guards against streams that are cut because an endpoint that lives counts as ended.

use super::*;
use crate::prelude::*;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);
const STEP: Duration = Duration::from_millis(100);
const ENDPOINTS: usize = 10;
/// When announcements begin to be late.
const LATE_FROM: Duration = Duration::from_secs(5);
/// Time without a confirmation after a change of the leader.
const ELECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time without a missed announcement within which all must be as before.
const SETTLING_TIME: Duration = Duration::from_secs(4);
const LATENESS_MS: [u64; 7] = [300, 1_000, 1_300, 2_000, 3_000, 3_700, 5_000];

/// What happens to control while announcements are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ControlEvent {
    Nothing,
    /// The leader changes, and the entry follows another daemon from then on.
    LeaderChange,
    /// The daemon that endpoints announce themselves to starts again without its table.
    Restart,
}

/// Two control daemons, an entry that follows one of them, and endpoints that announce
/// themselves to the first one.
struct LateSimulation {
    start: Instant,
    elapsed: Duration,
    tables: [RegistryTable; 2],
    followed: usize,
    entry: FollowState,
    unconfirmed_until: Duration,
    /// Tokens as the entry had them before announcements were late.
    tokens: BTreeMap<String, IncarnationToken>,
}

impl LateSimulation {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            tables: [7, 9].map(|epoch| RegistryTable::new(epoch, ANNOUNCE_INTERVAL)),
            followed: 0,
            entry: FollowState::with_interval(ANNOUNCE_INTERVAL),
            unconfirmed_until: Duration::ZERO,
            tokens: BTreeMap::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    /// Delivers an announcement to the first daemon, which passes it on to the second one.
    fn announce(&mut self, index: usize, born_ms: u64) {
        let report = EndpointReport {
            id: format!("e-{index}"),
            pool: "engines".into(),
            address: format!("10.0.0.{index}:80"),
            born_ms,
            sequence: 1 + self.elapsed.as_millis() as u64,
            ..EndpointReport::default()
        };
        let now = self.now();
        self.tables[0].record(now, report.clone());
        self.tables[1].record_from(now, "first", report);
    }

    /// Lets the daemons look for silent endpoints, and the entry call the daemon it follows.
    fn step(&mut self) {
        let now = self.now();
        for table in &mut self.tables {
            table.tick(now);
        }
        let table = &self.tables[self.followed];
        let call = self.entry.next_call(Duration::ZERO);
        let confirmed = self.elapsed >= self.unconfirmed_until;
        let mut reply = FollowReply {
            confirmed,
            ..FollowReply::default()
        };
        reply.add_endpoints_if_allowed(&call, confirmed, table);
        let at = BootTime::after(self.elapsed);
        self.entry.apply(at, at, reply);
        self.elapsed += STEP;
    }

    /// Runs until `end`; the endpoints of `late` announce nothing during `lateness`.
    fn run(&mut self, late: &[usize], lateness: Duration, event: ControlEvent, end: Duration) {
        let late_until = LATE_FROM + lateness;
        let event_at = LATE_FROM + lateness / 2;
        let mut pending = Some(event);
        let mut due = [Duration::ZERO; ENDPOINTS];
        for (index, due) in due.iter_mut().enumerate() {
            *due = STEP * index as u32;
        }
        while self.elapsed < end {
            let is_late_now = (LATE_FROM..late_until).contains(&self.elapsed);
            for (index, due) in due.iter_mut().enumerate() {
                let is_held = is_late_now && late.contains(&index);
                if self.elapsed >= *due && !is_held {
                    self.announce(index, 1_000);
                    *due = self.elapsed + ANNOUNCE_INTERVAL;
                }
            }
            if self.elapsed >= event_at
                && let Some(event) = pending.take()
            {
                self.apply(event);
            }
            self.step();
            if self.elapsed == LATE_FROM {
                self.remember_tokens();
            }
            self.check(late, lateness, event);
        }
    }

    fn apply(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Nothing => {}
            ControlEvent::LeaderChange => {
                self.followed = 1;
                self.unconfirmed_until = self.elapsed + ELECTION_TIME;
            }
            ControlEvent::Restart => {
                self.tables[0] = RegistryTable::new(11, ANNOUNCE_INTERVAL);
                self.unconfirmed_until = self.elapsed + ELECTION_TIME;
            }
        }
    }

    fn remember_tokens(&mut self) {
        let known = self.entry.endpoints();
        let tokens = known.map(|known| (known.report.id.clone(), known.incarnation_token.clone()));
        self.tokens = tokens.collect();
        assert_eq!(self.tokens.len(), ENDPOINTS);
    }

    fn check(&self, late: &[usize], lateness: Duration, event: ControlEvent) {
        let case = format!(
            "{late:?} late by {lateness:?}, {event:?}, at {:?}",
            self.elapsed
        );
        for (id, token) in &self.tokens {
            assert!(!token.has_ended(), "{id} counts as ended: {case}");
            let known = self.entry.endpoint(id);
            assert!(known.is_some(), "{id} is no longer known: {case}");
        }
        let silent = self.entry.endpoints().filter(|known| known.report.silent);
        let silent: Vec<&str> = silent.map(|known| known.report.id.as_str()).collect();
        let is_over = self.elapsed >= LATE_FROM + lateness + SETTLING_TIME;
        if lateness <= ANNOUNCE_INTERVAL || is_over {
            assert!(silent.is_empty(), "{silent:?} count as silent: {case}");
        }
        let is_late = |id: &&str| late.iter().any(|index| format!("e-{index}") == **id);
        assert!(silent.iter().all(is_late), "{silent:?} are silent: {case}");
    }
}

#[test]
fn endpoints_that_announce_themselves_late_keep_their_incarnations() {
    let all: Vec<usize> = (0..ENDPOINTS).collect();
    let events = [
        ControlEvent::Nothing,
        ControlEvent::LeaderChange,
        ControlEvent::Restart,
    ];
    for event in events {
        for lateness in LATENESS_MS.map(Duration::from_millis) {
            for late in [&all[..1], &all[..6], &all[..]] {
                let mut simulation = LateSimulation::new();
                let end = LATE_FROM + lateness + SETTLING_TIME * 2;
                simulation.run(late, lateness, event, end);
            }
        }
    }
}

/// Guards against checks above that could not fail: a restart ends the token of this endpoint
/// alone, also while its announcements were late.
#[test]
fn only_a_later_incarnation_ends_an_earlier_one() {
    let mut simulation = LateSimulation::new();
    let lateness = Duration::from_secs(3);
    simulation.run(&[0], lateness, ControlEvent::Nothing, LATE_FROM + lateness);
    simulation.announce(0, 2_000);
    simulation.step();
    let ended: Vec<&String> = simulation
        .tokens
        .iter()
        .filter(|(_, token)| token.has_ended())
        .map(|(id, _)| id)
        .collect();
    assert_eq!(ended, ["e-0"]);
}
