use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::SimulatedFleet;
use super::simulated_fleet::FleetEvent;
use crate::prelude::*;
use crate::quarantine::{
    AnsweredPrompt, EndpointCrash, QuarantineCommand, QuarantineList, RequestDigest,
    RequestIdentity, SuspectRequest,
};

/// Ids of the part that crashes engines, and of the one that begins all prompts.
const CRASHING_PART: u64 = 0xdead;
const POPULAR_PART: u64 = 1;

/// Number of parts that a few sound requests share each.
const RARE_PARTS: u64 = 12;

pub(super) const ENGINES: usize = 24;

/// Time that an engine takes to write an answer, and to crash after it began one.
const ANSWER_TIME: Duration = Duration::from_millis(900);
const CRASH_TIME: Duration = Duration::from_millis(50);

/// Time from a crash until it is reported, as in the resends of a whole request, and the longest
/// wait of a resend for the decision.
const REPORT_DELAY: Duration = Duration::from_millis(60);
const RESEND_DELAY: Duration = Duration::from_millis(200);

/// Number of engines that one request may be sent to.
const MAX_ATTEMPTS: u32 = 2;

/// Crashes after which the users' rule counts further sends, the time that it allows for a
/// decision, and the most sends.
const CRASHES_BEFORE_RULE: usize = 5;
const RULE_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_SENDS: usize = 3;

/// A request with a prompt.
#[derive(Clone, Debug)]
pub(super) struct SimulatedPrompt {
    entry: usize,
    entry_incarnation: u64,
    identity: RequestIdentity,
    is_crashing: bool,
    attempts: u32,
    /// The lists of the entry when it sent the request.
    list: QuarantineList,
}

/// Engines that work on prompts, and what became of the requests.
#[derive(Debug)]
pub(super) struct PromptRun {
    random: StdRng,
    /// Incarnation of each engine, and its requests.
    engines: Vec<(u64, Vec<SimulatedPrompt>)>,
    next_prompt: u64,
    rule_begins: Option<Duration>,
    pub(super) crashes: usize,
    pub(super) late_sends: usize,
    pub(super) sound: usize,
    pub(super) sound_refused: usize,
}

impl PromptRun {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            engines: vec![(0, Vec::new()); ENGINES],
            next_prompt: 0,
            rule_begins: None,
            crashes: 0,
            late_sends: 0,
            sound: 0,
            sound_refused: 0,
        }
    }
}

impl SimulatedFleet {
    /// Delivers a new request to a random entry.
    pub(super) fn receive_prompt(&mut self, is_crashing: bool) {
        let entries = self.entries.len();
        let run = &mut self.prompts;
        run.next_prompt += 1;
        let own = 0x1_0000 + run.next_prompt;
        let shared = match is_crashing {
            true => CRASHING_PART,
            false => 0x100 + run.random.random_range(0..RARE_PARTS),
        };
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&own.to_le_bytes());
        let digest = RequestDigest::from_bytes(&digest).expect("the bytes of a digest");
        let parts = [POPULAR_PART, shared, own];
        let entry = run.random.random_range(0..entries);
        let prompt = SimulatedPrompt {
            entry,
            entry_incarnation: self.entries[entry].incarnation,
            identity: RequestIdentity::new(digest, parts.into_iter()),
            is_crashing,
            attempts: 0,
            list: QuarantineList::default(),
        };
        self.prompts.sound += usize::from(!is_crashing);
        self.send_prompt(prompt);
    }

    /// Sends a request to a random engine, unless it is quarantined at its entry.
    pub(super) fn send_prompt(&mut self, mut prompt: SimulatedPrompt) {
        let entry = prompt.entry;
        if self.entries[entry].incarnation != prompt.entry_incarnation {
            return;
        }
        let list = self.entries[entry].state.quarantine();
        if list.find(&prompt.identity).is_some() {
            self.prompts.sound_refused += usize::from(!prompt.is_crashing);
            return;
        }
        prompt.list = QuarantineList::clone(list);
        prompt.attempts += 1;
        if prompt.is_crashing {
            self.check_crashing_send(entry);
        }
        let engine = self.prompts.random.random_range(0..ENGINES);
        let time = match prompt.is_crashing {
            true => CRASH_TIME,
            false => ANSWER_TIME,
        };
        let (incarnation, requests) = &mut self.prompts.engines[engine];
        let incarnation = *incarnation;
        requests.push(prompt);
        let number = requests.len() as u64;
        let event = FleetEvent::PromptDone {
            engine,
            incarnation,
            number,
        };
        self.after(time, event);
    }

    fn check_crashing_send(&mut self, entry: usize) {
        let due = self.prompts.rule_begins.map(|begins| begins + RULE_TIME);
        if due.is_some_and(|due| self.now > due) && self.check.is_undisturbed(self.now, entry) {
            self.prompts.late_sends += 1;
            if self.prompts.late_sends > MAX_LATE_SENDS {
                let text = "a request with a crashing part is sent".to_string();
                self.check.record_violation(self.now, entry, text);
            }
        }
    }

    /// The engine has answered the request, or crashes under it.
    pub(super) fn finish_prompt(&mut self, engine: usize, incarnation: u64, number: u64) {
        if self.prompts.engines[engine].0 != incarnation {
            return;
        }
        let prompt = self.prompts.engines[engine].1[number as usize - 1].clone();
        match prompt.is_crashing {
            true => self.crash_engine(engine),
            false => self.answer_prompt(engine, number, &prompt),
        }
    }

    fn answer_prompt(&mut self, engine: usize, number: u64, prompt: &SimulatedPrompt) {
        // An answered request is no longer among those that a crash ends.
        self.prompts.engines[engine].1[number as usize - 1].attempts = MAX_ATTEMPTS + 1;
        let list = self.entries[prompt.entry].state.quarantine();
        let watched = list.watched_parts(&prompt.identity);
        if watched.is_empty() {
            return;
        }
        let answered = AnsweredPrompt {
            parts: watched.iter().map(|part| part.0).collect(),
            part_revision: prompt.list.part_revision(),
        };
        let report = QuarantineCommand {
            answered_prompts: vec![answered],
            ..Default::default()
        };
        self.report_later(prompt.entry, prompt.entry_incarnation, report);
    }

    fn crash_engine(&mut self, engine: usize) {
        let (incarnation, requests) = &mut self.prompts.engines[engine];
        let endpoint = format!("engine-{engine}-{incarnation}");
        *incarnation += 1;
        let victims = std::mem::take(requests);
        self.prompts.crashes += 1;
        if self.prompts.crashes == CRASHES_BEFORE_RULE {
            self.prompts.rule_begins = Some(self.now);
        }
        for prompt in victims {
            if prompt.attempts > MAX_ATTEMPTS {
                continue;
            }
            let digest = prompt.identity.digest;
            let suspect = SuspectRequest {
                parts: BTreeSet::clone(&prompt.identity.parts),
                part_revision: prompt.list.part_revision(),
                begun: true,
            };
            let report = QuarantineCommand {
                crashes: vec![EndpointCrash {
                    endpoint: endpoint.clone(),
                    digests: vec![digest.to_bytes()],
                    prompts: vec![suspect.to_prompt(digest)],
                }],
                ..Default::default()
            };
            self.report_later(prompt.entry, prompt.entry_incarnation, report);
            if prompt.attempts < MAX_ATTEMPTS {
                let prompt = Box::new(prompt);
                self.after(RESEND_DELAY, FleetEvent::PromptResent { prompt });
            }
        }
    }

    fn report_later(&mut self, entry: usize, incarnation: u64, report: QuarantineCommand) {
        let event = FleetEvent::Report {
            entry,
            incarnation,
            report,
        };
        self.after(REPORT_DELAY, event);
    }

    /// Crashes different engines at once, without any request's doing.
    pub(super) fn lose_engines(&mut self, count: usize) {
        let first = self.prompts.random.random_range(0..ENGINES);
        for offset in 0..count {
            self.crash_engine((first + offset) % ENGINES);
        }
    }
}
