use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

use super::*;

const TEXT: [&str; 8] = ["Tow ", "the ", "mini", "bus ", "to ", "Adá", "ma", "."];
const CASES: u32 = 4_000;

/// A state machine with the actions that it has requested.
struct MachineDriver {
    machine: StageMachine,
    budgets: PoolBudgets,
    now: Instant,
    launched: Vec<LaunchKind>,
    cancelled: Vec<u16>,
    sent_text: String,
    ends: Vec<StageEnd>,
}

impl MachineDriver {
    fn new(idempotent: bool, streams_text: bool) -> Self {
        let rules = StageRules {
            idempotent,
            streams_text,
        };
        let mut driver = Self {
            machine: StageMachine::new(rules),
            budgets: PoolBudgets::default(),
            now: Instant::now(),
            launched: Vec::new(),
            cancelled: Vec::new(),
            sent_text: String::new(),
            ends: Vec::new(),
        };
        let first = driver.machine.start();
        driver.perform(vec![first]);
        driver
    }

    fn perform(&mut self, actions: Vec<StageAction>) {
        for action in actions {
            assert!(self.ends.is_empty(), "{action:?} after the end");
            match action {
                StageAction::Launch(attempt, kind) => {
                    assert_eq!(usize::from(attempt), self.launched.len());
                    self.launched.push(kind);
                }
                StageAction::Cancel(attempt) => self.cancelled.push(attempt),
                StageAction::SendText(text) => self.sent_text.push_str(&text),
                StageAction::Finish(end) => self.ends.push(end),
            }
        }
    }

    fn event(&mut self, event: StageEvent) {
        let actions = self.machine.handle(self.now, event, &mut self.budgets);
        self.perform(actions);
    }

    fn attempt(&mut self, attempt: u16, event: AttemptEvent) {
        self.event(StageEvent::Attempt(attempt, event));
    }

    fn token_event(&mut self, attempt: u16, index: usize) {
        self.attempt(attempt, token_event(index, TEXT[index]));
    }

    fn answer(&self) -> &StageReply {
        match self.ends.as_slice() {
            [StageEnd::Answered { reply, .. }] => reply,
            other => panic!("no answer but {other:?}"),
        }
    }

    fn failure(&self) -> (Option<AttemptError>, bool) {
        match self.ends.as_slice() {
            [StageEnd::Failed { error, not_run }] => (error.clone(), *not_run),
            other => panic!("no failure but {other:?}"),
        }
    }
}

fn token_event(index: usize, text: &str) -> AttemptEvent {
    AttemptEvent::Token(TokenEvent {
        offset: Some(index as u64),
        text: text.into(),
    })
}

fn cut() -> AttemptEvent {
    AttemptEvent::Failed(AttemptError::Cut("reset".into()))
}

fn refused() -> AttemptEvent {
    AttemptEvent::Failed(AttemptError::Refused("full".into()))
}

fn service_reply() -> StageReply {
    StageReply::Service {
        value: serde_json::Value::Null,
    }
}

#[test]
fn a_cut_stream_is_resumed_at_its_offset() {
    let mut driver = MachineDriver::new(true, true);
    driver.attempt(0, AttemptEvent::StreamNamed("s".into()));
    driver.token_event(0, 0);
    driver.token_event(0, 1);
    driver.attempt(0, cut());
    let LaunchKind::Resume(point) = &driver.launched[1] else {
        panic!("{:?}", driver.launched);
    };
    assert_eq!((point.attempt, point.offset), (0, 2));
    for index in 2..TEXT.len() {
        driver.token_event(1, index);
    }
    driver.attempt(1, AttemptEvent::StreamEnded(9));
    let text = TEXT.concat();
    assert_eq!(driver.sent_text, text);
    assert_eq!(*driver.answer(), StageReply::Text { text, tokens: 9 });
}

/// A stream that stalled with one event, and is being resumed.
fn resuming_driver() -> MachineDriver {
    let mut driver = MachineDriver::new(false, true);
    driver.attempt(0, AttemptEvent::StreamNamed("s".into()));
    driver.token_event(0, 0);
    driver.attempt(0, AttemptEvent::Stalled);
    let LaunchKind::Resume(point) = &driver.launched[1] else {
        panic!("{:?}", driver.launched);
    };
    assert_eq!((point.attempt, point.offset), (0, 1));
    driver
}

/// Guards against a stalled connection that is kept after its stream goes on at another one.
#[test]
fn a_stalled_stream_is_resumed_on_another_connection() {
    let mut driver = resuming_driver();
    assert!(
        driver.cancelled.is_empty(),
        "the resume has brought nothing"
    );
    driver.token_event(1, 1);
    assert_eq!(driver.cancelled, [0]);
    driver.token_event(0, 1);
    assert_eq!(driver.machine.counts().late, 1);
    for index in 2..TEXT.len() {
        driver.token_event(1, index);
    }
    driver.attempt(1, AttemptEvent::StreamEnded(9));
    let text = TEXT.concat();
    assert_eq!(driver.sent_text, text);
    assert_eq!(*driver.answer(), StageReply::Text { text, tokens: 9 });
}

/// Guards against a silent stream that is given up before its resume has brought anything.
#[test]
fn a_stalled_stream_goes_on_when_its_resume_fails() {
    let failures = [
        AttemptError::Refused("full".into()),
        AttemptError::Unreachable("no connection in time".into()),
        AttemptError::UnknownStream("none".into()),
        AttemptError::Cut("reset".into()),
    ];
    for failure in failures {
        let mut driver = resuming_driver();
        driver.attempt(1, AttemptEvent::Failed(failure.clone()));
        assert!(driver.ends.is_empty(), "ended by {failure:?}");
        for index in 1..TEXT.len() {
            driver.token_event(0, index);
        }
        driver.attempt(0, AttemptEvent::StreamEnded(9));
        let text = TEXT.concat();
        assert_eq!(driver.sent_text, text, "{failure:?}");
        assert_eq!(*driver.answer(), StageReply::Text { text, tokens: 9 });
        assert_eq!(driver.launched.len(), 2, "{failure:?}");
    }
}

/// Guards against a resume that stays open beside the stream that goes on by itself.
#[test]
fn a_stalled_stream_that_goes_on_ends_its_resume() {
    let mut driver = resuming_driver();
    driver.token_event(0, 1);
    assert_eq!(driver.cancelled, [1]);
    driver.token_event(1, 1);
    assert_eq!(driver.machine.counts().late, 1);
    assert_eq!(driver.sent_text, TEXT[..2].concat());
}

/// Guards against a lost stream that counts as refused because its resume was.
#[test]
fn a_stalled_stream_that_breaks_after_its_resume_has_an_unknown_outcome() {
    let mut driver = resuming_driver();
    driver.attempt(1, refused());
    driver.attempt(1, refused());
    driver.attempt(
        0,
        AttemptEvent::Failed(AttemptError::Unreadable("?".into())),
    );
    let (error, not_run) = driver.failure();
    assert_eq!((error, not_run), (Some(AttemptError::TimedOut), false));
}

/// Guards against stalled attempts that end each other: without budget, both go on.
#[test]
fn a_resume_that_stalls_as_well_leaves_both_connections_open() {
    let mut driver = resuming_driver();
    while driver.budgets.retry.try_take(driver.now) {}
    driver.attempt(1, AttemptEvent::Stalled);
    assert_eq!(driver.launched.len(), 2);
    assert!(driver.ends.is_empty() && driver.cancelled.is_empty());
}

#[test]
fn a_retried_text_that_differs_fails_the_stage() {
    let mut driver = MachineDriver::new(true, true);
    driver.token_event(0, 0);
    driver.attempt(0, cut());
    assert_eq!(driver.launched[1], LaunchKind::Retry);
    driver.attempt(1, token_event(0, "Toe "));
    assert_eq!(driver.failure().0, Some(AttemptError::Diverged));
    assert_eq!(driver.sent_text, TEXT[0]);
}

#[test]
fn a_retried_text_that_stops_short_is_an_error() {
    let mut driver = MachineDriver::new(true, true);
    driver.token_event(0, 0);
    driver.token_event(0, 1);
    driver.attempt(0, cut());
    driver.token_event(1, 0);
    driver.attempt(1, AttemptEvent::StreamEnded(1));
    assert_eq!(driver.failure().0, Some(AttemptError::Diverged));
}

#[test]
fn a_text_that_was_not_sent_may_differ_when_retried() {
    let mut driver = MachineDriver::new(true, false);
    driver.token_event(0, 0);
    driver.attempt(0, cut());
    driver.attempt(1, token_event(0, "Another."));
    driver.attempt(1, AttemptEvent::StreamEnded(1));
    let text = "Another.".to_string();
    assert_eq!(*driver.answer(), StageReply::Text { text, tokens: 1 });
}

#[test]
fn a_stage_that_may_run_once_is_not_restarted_after_a_cut() {
    let mut driver = MachineDriver::new(false, false);
    driver.attempt(0, cut());
    assert_eq!(driver.launched.len(), 1);
    let (error, not_run) = driver.failure();
    assert!(!error.unwrap().outcome_is_known());
    assert!(!not_run);
}

#[test]
fn a_stage_that_may_run_once_is_retried_when_proven_not_run() {
    let mut driver = MachineDriver::new(false, false);
    driver.attempt(0, refused());
    driver.attempt(1, AttemptEvent::Answered(service_reply()));
    assert_eq!(*driver.answer(), service_reply());
}

#[test]
fn a_stage_that_may_run_once_is_neither_hedged_nor_replaced() {
    let mut driver = MachineDriver::new(false, false);
    driver.event(StageEvent::HedgeDue);
    driver.attempt(0, AttemptEvent::Stalled);
    assert_eq!(driver.launched.len(), 1);
    driver.attempt(0, AttemptEvent::Answered(service_reply()));
    assert_eq!(*driver.answer(), service_reply());
}

#[test]
fn the_loser_of_a_hedge_is_cancelled_and_its_answer_dropped() {
    let mut driver = MachineDriver::new(true, false);
    driver.event(StageEvent::HedgeDue);
    assert_eq!(driver.launched[1], LaunchKind::Hedge);
    driver.attempt(1, AttemptEvent::Answered(service_reply()));
    assert_eq!(driver.cancelled, [0]);
    driver.attempt(0, AttemptEvent::Answered(service_reply()));
    driver.attempt(1, AttemptEvent::Answered(service_reply()));
    let counts = driver.machine.counts();
    assert_eq!((counts.late, counts.duplicates), (1, 1));
    assert_eq!(driver.ends.len(), 1);
}

#[test]
fn a_stalled_attempt_may_still_answer_before_its_replacement() {
    let mut driver = MachineDriver::new(true, false);
    driver.attempt(0, AttemptEvent::Stalled);
    assert_eq!(driver.launched[1], LaunchKind::Retry);
    driver.attempt(0, AttemptEvent::Answered(service_reply()));
    assert_eq!(driver.cancelled, [1]);
    assert_eq!(*driver.answer(), service_reply());
}

#[test]
fn without_retry_budget_a_stalled_attempt_continues_alone() {
    let mut driver = MachineDriver::new(true, false);
    while driver.budgets.retry.try_take(driver.now) {}
    driver.attempt(0, AttemptEvent::Stalled);
    assert_eq!(driver.launched.len(), 1);
    assert!(driver.ends.is_empty() && driver.cancelled.is_empty());
}

#[test]
fn an_unreachable_endpoint_costs_no_retry_budget() {
    let mut driver = MachineDriver::new(true, false);
    while driver.budgets.retry.try_take(driver.now) {}
    let unreachable = AttemptError::Unreachable("refused".into());
    driver.attempt(0, AttemptEvent::Failed(unreachable));
    driver.attempt(1, refused());
    let (error, not_run) = driver.failure();
    assert_eq!(error, Some(AttemptError::Refused("full".into())));
    assert!(not_run);
}

#[test]
fn the_outcome_is_unknown_only_if_an_attempt_may_have_run() {
    let mut driver = MachineDriver::new(false, false);
    driver.attempt(0, refused());
    driver.attempt(1, AttemptEvent::NoEndpoint);
    assert!(driver.failure().1);
    let mut driver = MachineDriver::new(false, false);
    driver.event(StageEvent::DeadlinePassed);
    assert_eq!(driver.failure(), (Some(AttemptError::TimedOut), false));
}

/// One step of a random schedule, applied to one attempt.
#[derive(Clone, Copy, Debug)]
enum ScheduleStep {
    Name,
    Next,
    Duplicate,
    Skip,
    Cut,
    Refuse,
    Unreachable,
    Stall,
    End,
    Hedge,
    Expire,
}

fn step() -> impl Strategy<Value = (ScheduleStep, usize)> {
    let step = prop_oneof![
        2 => Just(ScheduleStep::Name),
        24 => Just(ScheduleStep::Next),
        2 => Just(ScheduleStep::Duplicate),
        1 => Just(ScheduleStep::Skip),
        3 => Just(ScheduleStep::Cut),
        1 => Just(ScheduleStep::Refuse),
        1 => Just(ScheduleStep::Unreachable),
        2 => Just(ScheduleStep::Stall),
        6 => Just(ScheduleStep::End),
        1 => Just(ScheduleStep::Hedge),
        1 => Just(ScheduleStep::Expire),
    ];
    (step, 0_usize..6)
}

/// The engine's side of one attempt, which continues after a cancellation.
struct FakeStream {
    next: usize,
    differs: bool,
}

fn run_schedule(idempotent: bool, streams_text: bool, steps: &[(ScheduleStep, usize)]) {
    let mut driver = MachineDriver::new(idempotent, streams_text);
    let mut streams: Vec<FakeStream> = Vec::new();
    let mut proven_not_run: Vec<bool> = Vec::new();
    for (step, pick) in steps {
        while streams.len() < driver.launched.len() {
            let kind = &driver.launched[streams.len()];
            if !idempotent && *kind == LaunchKind::Retry {
                assert!(
                    proven_not_run.iter().all(|proven| *proven),
                    "begun again without proof"
                );
            }
            assert!(idempotent || *kind != LaunchKind::Hedge, "hedged");
            let next = match kind {
                LaunchKind::Resume(point) => point.offset as usize,
                LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge => 0,
            };
            let differs = match kind {
                LaunchKind::Resume(point) => streams[usize::from(point.attempt)].differs,
                LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge => pick % 3 == 2,
            };
            streams.push(FakeStream { next, differs });
            proven_not_run.push(false);
        }
        let index = pick % streams.len();
        let attempt = index as u16;
        let stream = &mut streams[index];
        let token = |number: usize| match (stream.differs, number) {
            (true, 4) => "at ",
            _ => TEXT[number],
        };
        match step {
            ScheduleStep::Name => driver.attempt(attempt, AttemptEvent::StreamNamed("s".into())),
            ScheduleStep::Next if stream.next < TEXT.len() => {
                driver.attempt(attempt, token_event(stream.next, token(stream.next)));
                stream.next += 1;
            }
            ScheduleStep::Duplicate if stream.next > 0 => {
                driver.attempt(
                    attempt,
                    token_event(stream.next - 1, token(stream.next - 1)),
                );
            }
            ScheduleStep::Skip if stream.next + 1 < TEXT.len() => {
                driver.attempt(
                    attempt,
                    token_event(stream.next + 1, token(stream.next + 1)),
                );
            }
            ScheduleStep::End if stream.next == TEXT.len() => {
                driver.attempt(attempt, AttemptEvent::StreamEnded(8));
            }
            ScheduleStep::Next
            | ScheduleStep::Duplicate
            | ScheduleStep::Skip
            | ScheduleStep::End => {}
            ScheduleStep::Cut => driver.attempt(attempt, cut()),
            ScheduleStep::Refuse | ScheduleStep::Unreachable if stream.next > 0 => {}
            ScheduleStep::Refuse => {
                proven_not_run[index] = !matches!(driver.launched[index], LaunchKind::Resume(_));
                driver.attempt(attempt, refused());
            }
            ScheduleStep::Unreachable => {
                proven_not_run[index] = !matches!(driver.launched[index], LaunchKind::Resume(_));
                let error = AttemptError::Unreachable("refused".into());
                driver.attempt(attempt, AttemptEvent::Failed(error));
            }
            ScheduleStep::Stall => driver.attempt(attempt, AttemptEvent::Stalled),
            ScheduleStep::Hedge => driver.event(StageEvent::HedgeDue),
            ScheduleStep::Expire => driver.event(StageEvent::DeadlinePassed),
        }
    }
    assert!(driver.ends.len() <= 1);
    let diverged = TEXT.concat().replace("to ", "at ");
    assert!(
        TEXT.concat().starts_with(&driver.sent_text) || diverged.starts_with(&driver.sent_text)
    );
    match driver.ends.first() {
        Some(StageEnd::Answered { attempt, reply }) => {
            let StageReply::Text { text, .. } = reply else {
                panic!("{reply:?}");
            };
            let expected = match streams[usize::from(*attempt)].differs {
                true => diverged,
                false => TEXT.concat(),
            };
            assert_eq!(*text, expected);
            assert!(!streams_text || driver.sent_text == expected);
        }
        Some(StageEnd::Failed { not_run: true, .. }) => {
            assert!(
                proven_not_run.iter().all(|proven| *proven),
                "not run without proof"
            );
        }
        Some(StageEnd::Failed { error, .. }) if !idempotent => {
            assert!(!error.as_ref().unwrap().outcome_is_known(), "{error:?}");
        }
        Some(StageEnd::Failed { .. }) | None => {}
    }
}

#[test]
fn any_order_of_events_keeps_the_guarantees() {
    let config = Config {
        cases: CASES,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    };
    let schedule = (
        any::<bool>(),
        any::<bool>(),
        prop::collection::vec(step(), 1..80),
    );
    let result = TestRunner::new(config).run(&schedule, |(idempotent, streams_text, steps)| {
        run_schedule(idempotent, streams_text, &steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("seed 41: {error}");
    }
}
