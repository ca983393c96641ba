use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use super::*;
use crate::quarantine::SuspectRequest;

/// Parts of prompts: one that most requests have, one that crashes endpoints, and a rare one.
const POPULAR: PartId = PartId(1);
const CRASHING: PartId = PartId(2);
const RARE: PartId = PartId(3);

fn digest(number: u8) -> RequestDigest {
    RequestDigest::from_bytes(&[number; 16]).unwrap()
}

/// A request that was sent with the part lists of revision `part_revision`.
fn request(number: u8, part_revision: u64, parts: &[PartId]) -> (RequestDigest, SuspectRequest) {
    let request = SuspectRequest {
        parts: parts.iter().copied().collect(),
        part_revision,
        begun: true,
    };
    (digest(number), request)
}

/// Evidence of crashes, each with the requests that were present.
fn evidence(crashes: &[&[(RequestDigest, SuspectRequest)]]) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for (position, requests) in crashes.iter().enumerate() {
        let digests = requests.iter().map(|(digest, _)| *digest);
        let endpoint = format!("e-{position}");
        evidence.record(1, &endpoint, digests, requests.iter().cloned());
    }
    evidence
}

/// Parts that are watched since revision 1.
fn watched(parts: impl IntoIterator<Item = PartId>) -> BTreeMap<PartId, PartWatch> {
    let watch = PartWatch {
        since: 1,
        is_disputed: false,
    };
    parts.into_iter().map(|part| (part, watch)).collect()
}

/// Finds culprits while all parts are watched since revision 1.
fn culprits(crashes: &[&[(RequestDigest, SuspectRequest)]]) -> Vec<CrashSuspect> {
    let watched = watched([POPULAR, CRASHING, RARE]);
    let findings = evidence(crashes).find_culprits(&watched, |_| false);
    findings.culprits.into_iter().collect()
}

#[test]
fn a_part_at_three_crashes_of_different_requests_is_a_culprit() {
    let crashes = [1, 2, 3].map(|number| [request(number, 1, &[CRASHING])]);
    assert_eq!(culprits(&[&crashes[0], &crashes[1]]), []);
    assert_eq!(
        culprits(&[&crashes[0], &crashes[1], &crashes[2]]),
        [CrashSuspect::Part(CRASHING)]
    );
}

/// A request that crashes endpoints by its body is sent again and again.
#[test]
fn a_single_request_is_blamed_before_its_parts() {
    let again = [request(1, 1, &[POPULAR, RARE])];
    assert_eq!(
        culprits(&[&again, &again, &again]),
        [CrashSuspect::Request(digest(1))]
    );
}

/// A data centre that fails takes many endpoints with it at the same time, with requests that share
/// a part and were sent before anybody watched it.
#[test]
fn a_part_is_not_blamed_before_a_watched_request_has_crashed_an_endpoint() {
    let before = [1, 2, 3, 4, 5].map(|number| [request(number, 0, &[POPULAR])]);
    let mut crashes: Vec<&[_]> = before.iter().map(|crash| crash.as_slice()).collect();
    assert_eq!(culprits(&crashes), []);
    let after = [request(6, 1, &[POPULAR])];
    crashes.push(&after);
    assert_eq!(culprits(&crashes), [CrashSuspect::Part(POPULAR)]);
}

/// Most requests at the endpoints share the first part of the crashing ones.
#[test]
fn of_parts_at_the_same_crashes_the_one_with_fewer_requests_is_blamed() {
    let crash = |number: u8| {
        [
            request(number, 1, &[POPULAR, CRASHING]),
            request(number + 10, 1, &[POPULAR, RARE]),
            request(number + 20, 1, &[POPULAR, RARE]),
        ]
    };
    let crashes = [1, 2, 3].map(crash);
    assert_eq!(
        culprits(&[&crashes[0], &crashes[1], &crashes[2]])[0],
        CrashSuspect::Part(CRASHING)
    );
}

/// A sound request is sent again beside the crashing one.
#[test]
fn a_part_whose_crashes_are_explained_is_not_blamed() {
    let crash = |number: u8| {
        [
            request(number, 1, &[CRASHING]),
            request(number + 10, 1, &[RARE]),
        ]
    };
    let both = [1, 2, 3].map(crash);
    let alone = [request(4, 1, &[CRASHING])];
    let crashes: [&[_]; 4] = [&both[0], &both[1], &both[2], &alone];
    assert_eq!(culprits(&crashes), [CrashSuspect::Part(CRASHING)]);
}

#[test]
fn two_crashing_parts_are_both_found() {
    let crashes = [1, 2, 3].map(|number| [request(number, 1, &[CRASHING])]);
    let others = [4, 5, 6].map(|number| [request(number, 1, &[RARE])]);
    let all: Vec<&[_]> = crashes
        .iter()
        .chain(&others)
        .map(|crash| crash.as_slice())
        .collect();
    assert_eq!(
        culprits(&all),
        [CrashSuspect::Part(CRASHING), CrashSuspect::Part(RARE)]
    );
}

/// The requests of a part are blamed one by one first, when their callers send them again.
#[test]
fn a_part_releases_the_requests_that_had_been_blamed_for_it() {
    let again = [request(1, 1, &[CRASHING])];
    let next = [request(2, 1, &[CRASHING])];
    let crashes: [&[_]; 4] = [&again, &again, &again, &next];
    assert_eq!(culprits(&crashes), [CrashSuspect::Part(CRASHING)]);
}

#[test]
fn companions_are_the_parts_of_every_prompt_with_the_culprit() {
    let first = [request(1, 1, &[POPULAR, CRASHING, RARE])];
    let second = [
        request(2, 1, &[POPULAR, CRASHING]),
        request(3, 1, &[POPULAR]),
    ];
    let mut evidence = evidence(&[&first, &second]);
    assert_eq!(
        evidence.companions(CRASHING),
        Some(BTreeSet::from([POPULAR]))
    );
    evidence.clear_part(POPULAR);
    assert_eq!(evidence.companions(CRASHING), Some(BTreeSet::new()));
    assert_eq!(evidence.companions(PartId(9)), None);
}

/// Sound requests with the popular part are sent at every moment, so that one of them is the first
/// to be at a crash after the parts were watched.
#[test]
fn a_popular_part_is_not_blamed_while_the_crashing_one_is_not_proven() {
    let crash = |number: u8| {
        [
            request(number, 0, &[POPULAR, CRASHING]),
            request(number + 10, 1, &[POPULAR]),
        ]
    };
    let crashes = [1, 2, 3].map(crash);
    assert_eq!(culprits(&[&crashes[0], &crashes[1], &crashes[2]]), []);
}

/// A request with the popular part was answered after the crashes, and had been sent before the part
/// was watched.
#[test]
fn a_disputed_part_needs_more_crashes() {
    let shared = |number: u8| [request(number, 1, &[POPULAR, CRASHING])];
    let others = |number: u8| [request(number, 1, &[POPULAR])];
    let mut crashes: Vec<_> = [1, 2, 3].map(shared).to_vec();
    crashes.extend([4, 5].map(others));
    let crashes: Vec<&[_]> = crashes.iter().map(|crash| crash.as_slice()).collect();
    let mut watched = watched([POPULAR, CRASHING]);
    let evidence = evidence(&crashes);
    let find = |watched: &BTreeMap<PartId, PartWatch>| {
        let findings = evidence.find_culprits(watched, |_| false);
        findings.culprits.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(find(&watched), [CrashSuspect::Part(POPULAR)]);
    if let Some(watch) = watched.get_mut(&POPULAR) {
        watch.is_disputed = true;
    }
    assert_eq!(find(&watched), [CrashSuspect::Part(CRASHING)]);
}

/// Requests at an endpoint that crashes: one with the crashing part in three of four crashes, and
/// victims, each with the popular part and one of a few others.
fn random_crash(random: &mut StdRng, number: u8) -> Vec<(RequestDigest, SuspectRequest)> {
    let victims = random.random_range(0..4);
    let mut requests: Vec<_> = (0..victims)
        .map(|victim| {
            let other = PartId(random.random_range(100..106));
            request(number + 50 * (victim + 1), 1, &[POPULAR, other])
        })
        .collect();
    if random.random_bool(0.75) {
        requests.push(request(number, 1, &[POPULAR, CRASHING]));
    }
    requests
}

/// Whatever the victims and other crashes, the crashing part is found once it was at eight crashes,
/// and only it: the popular part has been cleared by an answer, and the rare ones are explained.
#[rstest]
fn a_crashing_part_is_found_among_victims(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let crashes: Vec<_> = (0..40)
        .map(|number| random_crash(&mut random, number))
        .collect();
    let crashes: Vec<&[_]> = crashes.iter().map(Vec::as_slice).collect();
    let mut evidence = evidence(&crashes);
    evidence.clear_part(POPULAR);
    for part in 100..106 {
        // An answer to a request that was sent while the part was watched.
        if random.random_bool(0.5) {
            evidence.clear_part(PartId(part));
        }
    }
    let watched = watched(
        [POPULAR, CRASHING]
            .into_iter()
            .chain((100..106).map(PartId)),
    );
    let findings = evidence.find_culprits(&watched, |_| false);
    let first = CrashSuspect::Part(CRASHING);
    assert!(findings.culprits.contains(&first), "seed {seed}");
    assert!(!findings.culprits.contains(&CrashSuspect::Part(POPULAR)));
}
