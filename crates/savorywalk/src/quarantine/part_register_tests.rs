use crate::prelude::*;
use crate::quarantine::{
    AnsweredPrompt, EndpointCrash, PartId, PartQuarantine, QuarantineCommand, QuarantineOutcome,
    QuarantineRegister, SuspectPrompt,
};

const POPULAR: u64 = 1;
const CRASHING: u64 = 2;

/// A register with a log, whose index each command increases.
#[derive(Default)]
struct LoggedRegister {
    register: QuarantineRegister,
    index: u64,
}

impl LoggedRegister {
    fn apply(&mut self, command: &QuarantineCommand) -> QuarantineOutcome {
        self.index += 1;
        self.register.apply(self.index, command)
    }

    /// Reports a crash under a new request with the shared parts `parts`, which was sent by the
    /// newest part lists.
    fn crash(&mut self, parts: &[u64]) -> QuarantineOutcome {
        let part_revision = self.register.parts().revision();
        let number = self.index as u8 + 1;
        self.apply(&QuarantineCommand {
            crashes: vec![crash(number, parts, part_revision)],
            ..Default::default()
        })
    }

    /// Reports an answer to a request with the shared parts `parts`, which was sent by the part
    /// lists of `part_revision`.
    fn answer(&mut self, parts: &[u64], part_revision: u64) -> QuarantineOutcome {
        self.apply(&QuarantineCommand {
            answered_prompts: vec![AnsweredPrompt {
                parts: parts.to_vec(),
                part_revision,
            }],
            ..Default::default()
        })
    }

    fn quarantines(&self) -> Vec<PartQuarantine> {
        self.register.parts().quarantines().collect()
    }

    fn watched(&self) -> Vec<u64> {
        let watched = self.register.parts().watched().keys();
        watched.map(|part| part.0).collect()
    }
}

fn crash(number: u8, parts: &[u64], part_revision: u64) -> EndpointCrash {
    let digest = Bytes::copy_from_slice(&[number; 16]);
    EndpointCrash {
        endpoint: format!("e-{number}"),
        digests: vec![digest.clone()],
        prompts: vec![SuspectPrompt {
            digest,
            parts: parts.to_vec(),
            part_revision,
            begun: true,
        }],
    }
}

fn quarantine(part: u64, companions: &[u64]) -> PartQuarantine {
    PartQuarantine {
        part,
        companions: companions.to_vec(),
    }
}

/// Each request differs from the others, so none of them is at three crashes.
#[test]
fn the_third_crash_puts_a_part_into_quarantine() {
    let mut log = LoggedRegister::default();
    assert_eq!(log.crash(&[CRASHING]), QuarantineOutcome::default());
    assert_eq!(log.crash(&[CRASHING]).part_revision, 2);
    assert_eq!((log.watched(), log.quarantines()), (vec![CRASHING], vec![]));
    let outcome = log.crash(&[CRASHING]);
    assert_eq!(outcome.added_parts, [quarantine(CRASHING, &[])]);
    assert_eq!((outcome.part_revision, outcome.revision), (3, 0));
}

/// The popular part is in most prompts. Blaming it would stop a whole workspace.
#[test]
fn a_part_that_an_answer_clears_is_not_blamed() {
    let mut log = LoggedRegister::default();
    log.crash(&[POPULAR, CRASHING]);
    let watched = log.crash(&[POPULAR, CRASHING]).part_revision;
    log.answer(&[POPULAR], watched);
    assert_eq!(log.watched(), [CRASHING]);
    let outcome = log.crash(&[POPULAR, CRASHING]);
    assert_eq!(outcome.added_parts, [quarantine(CRASHING, &[])]);
}

/// The request was sent before anybody watched the part, which may have begun to crash endpoints
/// since then.
#[test]
fn an_answer_to_an_earlier_request_delays_the_quarantine_of_a_part() {
    let mut log = LoggedRegister::default();
    log.crash(&[CRASHING]);
    log.crash(&[CRASHING]);
    log.answer(&[CRASHING], 1);
    for _ in 3..12 {
        assert_eq!(log.crash(&[CRASHING]).added_parts, []);
    }
    assert_eq!(log.crash(&[CRASHING]).added_parts.len(), 1);
}

/// Requests with one of two parts go on, and their outcome decides.
#[test]
fn parts_that_always_come_together_are_quarantined_together() {
    let mut log = LoggedRegister::default();
    for _ in 0..3 {
        log.crash(&[POPULAR, CRASHING]);
    }
    assert_eq!(log.quarantines(), [quarantine(CRASHING, &[POPULAR])]);
    let revision = log.register.parts().revision();
    let outcome = log.answer(&[POPULAR], revision);
    assert_eq!(outcome.added_parts, [quarantine(CRASHING, &[])]);
    assert_eq!(log.quarantines(), [quarantine(CRASHING, &[])]);
}

/// Of two parts at the same crashes, the sound one may be chosen first.
#[test]
fn an_answer_to_the_chosen_part_moves_the_quarantine_to_its_companion() {
    let mut log = LoggedRegister::default();
    let sound = CRASHING + 1;
    for _ in 0..3 {
        log.crash(&[CRASHING, sound]);
    }
    assert_eq!(log.quarantines(), [quarantine(sound, &[CRASHING])]);
    let revision = log.register.parts().revision();
    let outcome = log.answer(&[sound], revision);
    assert_eq!(outcome.removed_parts, [sound]);
    assert_eq!(log.quarantines(), [quarantine(CRASHING, &[])]);
}

#[test]
fn a_crash_without_a_companion_drops_it() {
    let mut log = LoggedRegister::default();
    for _ in 0..3 {
        log.crash(&[POPULAR, CRASHING]);
    }
    log.crash(&[CRASHING]);
    assert_eq!(log.quarantines(), [quarantine(CRASHING, &[])]);
}

/// A request that was in progress when its part was quarantined is answered.
#[test]
fn an_answer_releases_a_quarantined_part() {
    let mut log = LoggedRegister::default();
    for _ in 0..3 {
        log.crash(&[POPULAR]);
    }
    let outcome = log.answer(&[POPULAR], 2);
    assert_eq!(outcome.removed_parts, [POPULAR]);
    assert_eq!((log.watched(), log.quarantines()), (vec![], vec![]));
}

/// Engines crash by themselves all the while, so that a popular part is soon at three crashes again.
#[test]
fn a_cleared_part_needs_more_crashes_when_it_is_watched_again() {
    let mut log = LoggedRegister::default();
    log.crash(&[POPULAR]);
    let watched = log.crash(&[POPULAR]).part_revision;
    log.answer(&[POPULAR], watched);
    for _ in 0..11 {
        assert_eq!(log.crash(&[POPULAR]).added_parts, []);
    }
    let restored = QuarantineRegister::restore(log.register.snapshot());
    assert_eq!(restored, log.register);
    assert_eq!(log.crash(&[POPULAR]).added_parts.len(), 1);
}

#[test]
fn a_crash_that_several_entries_report_counts_once() {
    let mut log = LoggedRegister::default();
    for _ in 0..4 {
        let report = QuarantineCommand {
            crashes: vec![crash(1, &[CRASHING], 0)],
            ..Default::default()
        };
        log.apply(&report);
    }
    assert_eq!((log.watched(), log.quarantines()), (vec![], vec![]));
}

#[test]
fn a_part_stays_in_quarantine_while_requests_with_it_come() {
    let mut log = LoggedRegister::default();
    for _ in 0..3 {
        log.crash(&[CRASHING]);
    }
    log.apply(&QuarantineCommand {
        refused_parts: vec![CRASHING],
        ..Default::default()
    });
    let forget = |forget_through| QuarantineCommand {
        forget_through,
        ..Default::default()
    };
    log.apply(&forget(3));
    assert_eq!(log.quarantines(), [quarantine(CRASHING, &[])]);
    assert!(log.register.has_records_through(4));
    let outcome = log.apply(&forget(4));
    assert_eq!(outcome.removed_parts, [CRASHING]);
    assert!(!log.register.has_records_through(u64::MAX));
}

#[test]
fn a_snapshot_keeps_parts_and_their_evidence() {
    let mut log = LoggedRegister::default();
    for _ in 0..3 {
        log.crash(&[POPULAR, CRASHING]);
    }
    log.crash(&[5]);
    log.crash(&[5]);
    let restored = QuarantineRegister::restore(log.register.snapshot());
    assert_eq!(restored, log.register);
    assert!(restored.parts().contains(PartId(CRASHING)));
}

/// Reports of an entry of an earlier version have no prompts, and a snapshot of an earlier control
/// daemon has no parts.
#[test]
fn reports_without_prompts_leave_the_parts_alone() {
    let mut log = LoggedRegister::default();
    for number in 1..=4 {
        let crash = EndpointCrash {
            prompts: Vec::new(),
            ..crash(number, &[], 0)
        };
        log.apply(&QuarantineCommand {
            crashes: vec![crash],
            ..Default::default()
        });
    }
    assert_eq!(log.register.parts().revision(), 0);
    let restored = QuarantineRegister::restore(log.register.snapshot());
    assert_eq!(restored, log.register);
}

/// The callers send each request again, so that it is blamed itself first.
#[test]
fn a_part_is_blamed_at_the_first_crash_of_another_request() {
    let mut log = LoggedRegister::default();
    for endpoint in 1..=3 {
        let part_revision = log.register.parts().revision();
        let crash = EndpointCrash {
            endpoint: format!("e-{endpoint}"),
            ..crash(100, &[CRASHING], part_revision)
        };
        log.apply(&QuarantineCommand {
            crashes: vec![crash],
            ..Default::default()
        });
    }
    assert_eq!(log.register.digests().count(), 1);
    let outcome = log.crash(&[CRASHING]);
    assert_eq!(outcome.added_parts, [quarantine(CRASHING, &[])]);
    assert_eq!(log.register.digests().count(), 0);
}

/// Each made-up part costs its caller an endpoint, and comes but once.
#[test]
fn made_up_parts_are_neither_watched_nor_quarantined() {
    let mut log = LoggedRegister::default();
    for number in 0..200 {
        let parts: Vec<u64> = (0..16).map(|part| 1_000 + number * 16 + part).collect();
        log.crash(&parts);
    }
    assert_eq!((log.watched(), log.quarantines()), (vec![], vec![]));
}
