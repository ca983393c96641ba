use super::*;
use crate::quarantine::EndpointCrash;

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

fn bytes(number: u8) -> Bytes {
    digest(number).to_bytes()
}

fn crash(endpoint: &str, digests: &[u8]) -> QuarantineCommand {
    QuarantineCommand {
        crashes: vec![EndpointCrash {
            endpoint: endpoint.into(),
            digests: digests.iter().map(|number| bytes(*number)).collect(),
            prompts: Vec::new(),
        }],
        ..Default::default()
    }
}

/// A register in which request 1 was present at three crashes, at the indexes 1 to 3.
fn register() -> QuarantineRegister {
    let mut register = QuarantineRegister::default();
    for index in 1..=3 {
        register.apply(index, &crash(&format!("e-{index}"), &[1, index as u8 + 10]));
    }
    register
}

#[test]
fn the_third_crash_puts_a_request_into_quarantine() {
    let mut register = QuarantineRegister::default();
    for index in 1..=2 {
        let outcome = register.apply(index, &crash(&format!("e-{index}"), &[1]));
        assert_eq!(outcome, QuarantineOutcome::default());
    }
    let outcome = register.apply(3, &crash("e-3", &[1, 2]));
    assert_eq!((outcome.revision, outcome.added), (1, vec![bytes(1)]));
    assert!(register.contains(&digest(1)) && !register.contains(&digest(2)));
}

/// Reports of several crashes may arrive in any order.
#[test]
fn a_victim_is_released_when_later_crashes_show_the_culprit() {
    let mut register = QuarantineRegister::default();
    for index in 1..=3 {
        register.apply(index, &crash(&format!("e-{index}"), &[9]));
    }
    assert!(register.contains(&digest(9)));
    for index in 1..=3 {
        register.apply(index + 3, &crash(&format!("e-{index}"), &[1]));
    }
    let outcome = register.apply(7, &crash("e-4", &[1]));
    assert!(register.contains(&digest(1)) && !register.contains(&digest(9)));
    assert_eq!(outcome.removed, [bytes(9)]);
}

#[test]
fn an_answer_ends_the_quarantine_of_a_request() {
    let mut register = register();
    let answered = QuarantineCommand {
        answered: vec![bytes(1)],
        ..Default::default()
    };
    let outcome = register.apply(4, &answered);
    assert_eq!((outcome.revision, outcome.removed), (2, vec![bytes(1)]));
    register.apply(5, &crash("e-5", &[1]));
    assert!(!register.contains(&digest(1)));
}

/// The crashes are removed before the request, which is still being received.
#[test]
fn a_request_that_is_no_longer_received_is_removed() {
    let mut register = register();
    let refused = QuarantineCommand {
        refused: vec![bytes(1)],
        ..Default::default()
    };
    register.apply(9, &refused);
    let forget = |index| QuarantineCommand {
        forget_through: index,
        ..Default::default()
    };
    assert!(register.has_records_through(3) && !register.has_records_through(0));
    register.apply(10, &forget(3));
    assert!(register.contains(&digest(1)));
    register.apply(11, &forget(9));
    assert!(!register.contains(&digest(1)));
    assert!(!register.has_records_through(9));
}

#[test]
fn the_quarantine_is_bounded() {
    let mut register = QuarantineRegister::default();
    for number in 0..MAX_REQUESTS as u64 + 100 {
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&number.to_le_bytes());
        let crashes = (0..3).map(|endpoint| EndpointCrash {
            endpoint: format!("e-{number}-{endpoint}"),
            digests: vec![Bytes::copy_from_slice(&digest)],
            prompts: Vec::new(),
        });
        let command = QuarantineCommand {
            crashes: crashes.collect(),
            ..Default::default()
        };
        register.apply(number + 1, &command);
    }
    assert_eq!(register.digests().count(), MAX_REQUESTS);
}

#[test]
fn a_register_is_restored_from_its_snapshot() {
    let register = register();
    assert_eq!(QuarantineRegister::restore(register.snapshot()), register);
}
