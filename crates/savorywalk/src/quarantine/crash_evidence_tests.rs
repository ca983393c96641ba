use super::*;
use crate::quarantine::CrashSuspect;

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

/// Evidence of crashes, each with the requests that were present.
fn evidence(crashes: &[&[u8]]) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for (position, suspects) in crashes.iter().enumerate() {
        let suspects = suspects.iter().map(|number| digest(*number));
        record(&mut evidence, 1, &format!("e-{position}"), suspects);
    }
    evidence
}

/// Records requests without prompts.
fn record(
    evidence: &mut CrashEvidence,
    index: u64,
    endpoint: &str,
    suspects: impl IntoIterator<Item = RequestDigest>,
) {
    evidence.record(index, endpoint, suspects, []);
}

/// Candidates and culprits, which are all requests.
fn find(evidence: &CrashEvidence, known: &[RequestDigest]) -> [Vec<RequestDigest>; 2] {
    let is_known = |suspect: &CrashSuspect| known.contains(&digest_of(suspect));
    let findings = evidence.find_culprits(&BTreeMap::new(), is_known);
    let digests = |suspects: BTreeSet<CrashSuspect>| suspects.iter().map(digest_of).collect();
    [digests(findings.candidates), digests(findings.culprits)]
}

fn digest_of(suspect: &CrashSuspect) -> RequestDigest {
    match suspect {
        CrashSuspect::Request(digest) => *digest,
        CrashSuspect::Part(part) => panic!("no request has the part {part}"),
    }
}

fn culprits(crashes: &[&[u8]]) -> Vec<RequestDigest> {
    let [_, culprits] = find(&evidence(crashes), &[]);
    culprits
}

#[test]
fn a_request_present_at_three_crashes_is_a_culprit() {
    assert_eq!(culprits(&[&[1], &[1, 2]]), []);
    assert_eq!(culprits(&[&[1], &[1, 2], &[1, 3]]), [digest(1)]);
}

/// A victim was resent to the same endpoints as the culprit.
#[test]
fn a_victim_beside_a_culprit_is_not_blamed() {
    assert_eq!(culprits(&[&[1, 9], &[1, 9], &[1], &[1, 9]]), [digest(1)]);
}

#[test]
fn two_culprits_are_both_found() {
    let crashes: [&[u8]; 7] = [&[1], &[2], &[1, 2], &[1], &[2], &[1], &[2]];
    assert_eq!(culprits(&crashes), [digest(1), digest(2)]);
}

/// Of two requests at the same crashes either may be the victim; the next crash decides.
#[test]
fn the_next_crash_corrects_a_wrong_choice() {
    let mut evidence = evidence(&[&[1, 9], &[1, 9], &[1, 9]]);
    let [_, chosen] = find(&evidence, &[]);
    assert_eq!(chosen.len(), 1);
    record(&mut evidence, 2, "e-9", [digest(1)]);
    let [_, chosen] = find(&evidence, &chosen);
    assert_eq!(chosen, [digest(1)]);
}

/// Several entries report the same crash, and some report it twice.
#[test]
fn a_crash_reported_several_times_counts_once() {
    let mut evidence = CrashEvidence::default();
    for _ in 0..3 {
        record(&mut evidence, 1, "e-1", [digest(1)]);
        record(&mut evidence, 1, "e-2", [digest(1)]);
    }
    assert_eq!(find(&evidence, &[])[1], []);
    record(&mut evidence, 1, "e-3", [digest(1)]);
    assert_eq!(find(&evidence, &[])[1], [digest(1)]);
}

#[test]
fn an_answered_request_is_no_suspect() {
    let mut evidence = evidence(&[&[1], &[1], &[1]]);
    assert!(evidence.clear(&digest(1)));
    assert_eq!(find(&evidence, &[])[1], []);
    record(&mut evidence, 2, "e-9", [digest(1)]);
    assert_eq!(find(&evidence, &[])[0], []);
}

#[test]
fn crashes_and_suspects_are_bounded() {
    let mut evidence = CrashEvidence::default();
    for position in 0..1_000_u64 {
        let suspects = (0..1_000_u64).map(|number| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&position.to_le_bytes());
            bytes[8..].copy_from_slice(&number.to_le_bytes());
            RequestDigest::from_bytes(&bytes).unwrap()
        });
        let prompts = (0..1_000_u64).map(|number| {
            let request = SuspectRequest {
                parts: BTreeSet::from([PartId(position), PartId(number)]),
                ..Default::default()
            };
            (digest(number as u8), request)
        });
        evidence.record(position, &format!("e-{position}"), suspects, prompts);
    }
    assert_eq!(evidence.crashes.len(), MAX_CRASHES);
    let mut crashes = evidence.crashes.iter();
    assert!(crashes.all(|crash| crash.suspects.len() == MAX_SUSPECTS));
    let parts = evidence.crashes.iter().map(|crash| {
        let prompts = crash.prompts.values();
        prompts.map(|prompt| prompt.parts.len()).sum::<usize>()
    });
    assert!(parts.max().is_some_and(|parts| parts <= MAX_CRASH_PARTS));
    evidence.remove_through(998);
    assert_eq!(evidence.crashes.len(), 1);
}

#[test]
fn evidence_is_restored_from_its_snapshot() {
    let evidence = evidence(&[&[1, 2], &[1], &[3]]);
    assert_eq!(CrashEvidence::restore(evidence.snapshot()), evidence);
}
