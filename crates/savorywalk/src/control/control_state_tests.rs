use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;
use crate::audit::{GENESIS_HASH, verify_chain};
use crate::claims::{
    ClaimAnswer, ClaimBatch, ClaimCall, ClaimDecision, ClaimFinish, ClaimKey, ClaimOwner,
    ClaimRelease, ClaimRequest, ClaimStep, EntryLease,
};
use crate::control::{PatchChange, RangeQuery, StatusQuery};
use crate::quarantine::EndpointCrash;

const CASES: u32 = 96;
const SEED: u64 = 20_261_202;
const STEPS: usize = 80;
const LEASE_MS: u32 = 3_000;
const LIMITS: ClaimLimits = ClaimLimits {
    claims: 8,
    workspace_claims: 5,
    answers: 2,
    answer_bytes: 64,
    largest_answer: 40,
    entries: 3,
};

/// One step of a random schedule; names are derived from the numbers.
#[derive(Clone, Debug)]
enum Step {
    Patch {
        author: u8,
        id: u8,
        versions_behind: u64,
        share: i64,
    },
    Rollback {
        id: u8,
        versions_back: u64,
    },
    Claim {
        key: u8,
        digest: u8,
        entry: u8,
        run: u8,
    },
    Finish {
        key: u8,
        run: u8,
        length: usize,
    },
    Release {
        key: u8,
        run: u8,
    },
    Lease {
        entry: u8,
        incarnation: u64,
    },
    Wait {
        millis: u64,
    },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..2_u8, 0..12_u8, 0..2_u64, -1..4_i64).prop_map(
            |(author, id, versions_behind, share)| {
                Step::Patch { author, id, versions_behind, share }
            }
        ),
        1 => (0..12_u8, 0..4_u64).prop_map(|(id, versions_back)| {
            Step::Rollback { id, versions_back }
        }),
        6 => (0..10_u8, 0..2_u8, 0..4_u8, 0..6_u8).prop_map(|(key, digest, entry, run)| {
            Step::Claim { key, digest, entry, run }
        }),
        3 => (0..10_u8, 0..6_u8, 0..60_usize).prop_map(|(key, run, length)| {
            Step::Finish { key, run, length }
        }),
        1 => (0..10_u8, 0..6_u8).prop_map(|(key, run)| Step::Release { key, run }),
        4 => (0..4_u8, 1..3_u64).prop_map(|(entry, incarnation)| {
            Step::Lease { entry, incarnation }
        }),
        2 => (0..4_000_u64).prop_map(|millis| Step::Wait { millis }),
        2 => Just(Step::Restart),
    ]
}

/// The expected state, kept in plain lists from which nothing expires.
#[derive(Default)]
struct Model {
    version: u64,
    patches: Vec<(PatchCommand, PatchOutcome)>,
    /// Key, run and digest of each grant that was not released.
    grants: Vec<(u8, u8, u8)>,
}

struct Harness {
    state: ControlState,
    model: Model,
    index: u64,
    stamp_ms: u64,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Self {
            state: ControlState::new(LIMITS),
            model: Model::default(),
            index: 0,
            stamp_ms: 1_000,
        };
        let bootstrap = ControlBody::Bootstrap(BootstrapCommand {
            configuration_json: Bytes::from_static(br#"{"workspaces": {"north": {"share": 1}}}"#),
            author: "setup".into(),
        });
        harness.apply(bootstrap);
        harness.model.version = 1;
        harness
    }

    fn apply(&mut self, body: ControlBody) -> ControlVerdict {
        self.index += 1;
        let command = ControlCommand {
            stamp_ms: self.stamp_ms,
            body: Some(body),
        };
        let outcome = self.state.apply_bytes(self.index, &command.encode_to_vec());
        ControlOutcome::decode(outcome).unwrap().outcome.unwrap()
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Patch {
                author,
                id,
                versions_behind,
                share,
            } => {
                let json = format!(r#"{{"workspaces": {{"north": {{"share": {share}}}}}}}"#);
                let expected = self.model.version.saturating_sub(versions_behind);
                self.patch(author, id, expected, PatchChange::MergeJson(json.into()));
            }
            Step::Rollback { id, versions_back } => {
                let version = self.model.version;
                let target = version.saturating_sub(versions_back);
                self.patch(0, id, version, PatchChange::RollbackTo(target));
            }
            Step::Claim {
                key,
                digest,
                entry,
                run,
            } => self.claim(key, digest, entry, run),
            Step::Finish { key, run, length } => {
                let answer = ClaimAnswer {
                    status: 200,
                    body: vec![b'a'; length].into(),
                };
                self.call(ClaimStep::Finish(ClaimFinish {
                    key: Some(claim_key(key)),
                    run: run_id(run),
                    answer: Some(answer),
                }));
            }
            Step::Release { key, run } => self.release(key, run),
            Step::Lease { entry, incarnation } => {
                self.apply(ControlBody::Lease(EntryLease {
                    owner: Some(owner(entry, incarnation)),
                    lease_ms: LEASE_MS,
                }));
            }
            Step::Wait { millis } => self.stamp_ms += millis,
            Step::Restart => self.restart(),
        }
        self.check_bounds();
    }

    fn patch(&mut self, author: u8, id: u8, expected_version: u64, change: PatchChange) {
        let command = PatchCommand {
            patch_id: format!("patch-{id}"),
            author: format!("operator-{author}"),
            expected_version,
            change: Some(change),
        };
        let ControlVerdict::Patch(outcome) = self.apply(ControlBody::Patch(command.clone())) else {
            panic!("a patch gets another kind of outcome");
        };
        let same_id = |known: &&(PatchCommand, PatchOutcome)| {
            known.0.patch_id == command.patch_id && known.0.author == command.author
        };
        if let Some((first, known)) = self.model.patches.iter().find(same_id) {
            if *first == command {
                assert_eq!(&outcome, known, "a resend gets the first outcome");
            } else {
                let verdict = outcome.outcome;
                assert!(matches!(verdict, Some(PatchVerdict::IdConflict(_))));
            }
        } else {
            self.check_new_patch(&command, &outcome);
            self.model.patches.push((command, outcome));
        }
        let version = self.state.configuration().version();
        assert_eq!(
            version, self.model.version,
            "only accepted patches raise the version"
        );
    }

    fn check_new_patch(&mut self, command: &PatchCommand, outcome: &PatchOutcome) {
        let is_current = command.expected_version == self.model.version;
        match outcome.outcome.as_ref().unwrap() {
            PatchVerdict::Accepted(accepted) => {
                assert!(is_current, "only the current version can be patched");
                self.model.version += 1;
                assert_eq!(accepted.version, self.model.version);
            }
            PatchVerdict::Mismatch(mismatch) => {
                assert!(!is_current);
                assert_eq!(mismatch.current_version, self.model.version);
                let versions = mismatch.changes.iter().map(|change| change.version);
                let missed = command.expected_version + 1..=self.model.version;
                assert!(versions.eq(missed), "the mismatch lists all later changes");
            }
            PatchVerdict::Invalid(_) => {
                assert!(is_current);
                let is_valid = match command.change.as_ref().unwrap() {
                    PatchChange::MergeJson(json) => !json.windows(2).any(|it| it == b"-1"),
                    PatchChange::RollbackTo(target) => {
                        (1..command.expected_version).contains(target)
                    }
                };
                assert!(
                    !is_valid,
                    "a valid patch for the current version is accepted"
                );
            }
            PatchVerdict::IdConflict(_) => panic!("a conflict for a new patch id"),
        }
    }

    fn call(&mut self, step: ClaimStep) -> ClaimDecision {
        let call = ClaimCall { call: Some(step) };
        let batch = ClaimBatch {
            shard: 0,
            calls: vec![call],
        };
        let ControlVerdict::Claims(mut outcome) = self.apply(ControlBody::Claims(batch)) else {
            panic!("a claim batch gets another kind of outcome");
        };
        outcome.outcomes.remove(0).outcome.unwrap()
    }

    fn claim(&mut self, key: u8, digest: u8, entry: u8, run: u8) {
        let decision = self.call(ClaimStep::Claim(ClaimRequest {
            key: Some(claim_key(key)),
            digest: vec![digest; 32].into(),
            owner: Some(owner(entry, 1)),
            run: run_id(run),
        }));
        let held = self.model.grants.iter().find(|grant| grant.0 == key);
        match (held.copied(), &decision) {
            (None, ClaimDecision::Granted(_)) => self.model.grants.push((key, run, digest)),
            (None, ClaimDecision::Refused(_)) => {}
            (None, other) => panic!("the key is free, but the decision is {other:?}"),
            (Some((_, _, known)), decision) if known != digest => {
                assert!(matches!(decision, ClaimDecision::Conflict(_)));
            }
            (Some((_, holder, _)), ClaimDecision::Granted(_)) => {
                assert_eq!(holder, run, "a key is granted to one run only");
            }
            (Some(_), ClaimDecision::Conflict(_) | ClaimDecision::Refused(_)) => {
                panic!("a claim of a held key got a conflict or a refusal")
            }
            (Some(_), _) => {}
        }
    }

    fn release(&mut self, key: u8, run: u8) {
        let decision = self.call(ClaimStep::Release(ClaimRelease {
            key: Some(claim_key(key)),
            run: run_id(run),
        }));
        if matches!(decision, ClaimDecision::Recorded(_)) {
            let before = self.model.grants.len();
            self.model
                .grants
                .retain(|grant| (grant.0, grant.1) != (key, run));
            assert_eq!(
                before,
                self.model.grants.len() + 1,
                "only the holder can release a key"
            );
        }
    }

    /// Replaces the state by a new one that is restored from its snapshot.
    fn restart(&mut self) {
        let snapshot = self.state.snapshot();
        let mut restored = ControlState::new(LIMITS);
        restored.restore(&snapshot).unwrap();
        assert_eq!(restored.snapshot(), snapshot);
        self.state = restored;
    }

    fn check_bounds(&self) {
        let claims = self.state.claims();
        assert!(claims.len() <= LIMITS.claims);
        assert!(claims.answers() <= LIMITS.answers);
        assert!(claims.answer_bytes() <= LIMITS.answer_bytes);
        assert!(claims.live_entries(self.stamp_ms) <= LIMITS.entries);
    }

    fn check_audit(&self) {
        let trail = self.state.audit().read(0, usize::MAX);
        verify_chain(0, GENESIS_HASH, &trail.records).unwrap();
        let accepted = |record: &&crate::audit::AuditRecord| record.outcome == "accepted";
        let count = trail.records.iter().filter(accepted).count() as u64;
        assert_eq!(
            count, self.model.version,
            "each version has one audit record"
        );
    }
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey {
        workspace: format!("workspace-{}", key % 2),
        key: format!("booking-{key}"),
    }
}

fn owner(entry: u8, incarnation: u64) -> ClaimOwner {
    ClaimOwner {
        entry: format!("entry-{entry}"),
        incarnation,
    }
}

fn run_id(run: u8) -> Bytes {
    vec![run; 16].into()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_commands_keep_every_guarantee(steps in prop::collection::vec(step(), STEPS)) {
        let mut harness = Harness::new();
        for step in steps {
            harness.run(step);
        }
        harness.check_audit();
    }

    #[test]
    fn a_malformed_command_changes_nothing(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut state = Harness::new().state;
        let before = state.snapshot();
        let outcome = state.apply_bytes(1, &bytes);
        let verdict = ControlOutcome::decode(outcome).unwrap().outcome;
        if matches!(verdict, Some(ControlVerdict::Malformed(_))) {
            prop_assert_eq!(state.snapshot(), before);
        }
    }
}

fn share_patch(id: &str, author: &str, share: u32) -> PatchCommand {
    let json = format!(r#"{{"workspaces": {{"north": {{"share": {share}}}}}}}"#);
    PatchCommand {
        patch_id: id.into(),
        author: author.into(),
        expected_version: 1,
        change: Some(PatchChange::MergeJson(json.into())),
    }
}

#[test]
fn a_resent_patch_gets_its_first_outcome_also_after_a_restore() {
    let mut harness = Harness::new();
    let command = ControlBody::Patch(share_patch("change-1", "lead", 7));
    let first = harness.apply(command.clone());
    harness.restart();
    assert_eq!(harness.apply(command), first);
    assert_eq!(harness.state.configuration().version(), 2);
}

#[test]
fn the_second_patch_for_one_version_is_refused_with_the_changes_since() {
    let mut harness = Harness::new();
    harness.apply(ControlBody::Patch(share_patch("a", "almaz", 7)));
    let second = harness.apply(ControlBody::Patch(share_patch("a", "bekele", 8)));
    let ControlVerdict::Patch(PatchOutcome {
        outcome: Some(PatchVerdict::Mismatch(mismatch)),
    }) = second
    else {
        panic!("the second patch is not refused: {second:?}");
    };
    assert_eq!(mismatch.current_version, 2);
    assert_eq!(mismatch.changes[0].author, "almaz");
    assert_eq!(mismatch.changes[0].paths, ["workspaces.north.share"]);
}

#[test]
fn an_unreadable_snapshot_leaves_the_state_unchanged() {
    let mut state = Harness::new().state;
    let before = state.snapshot();
    assert!(state.restore(b"\xff").is_err());
    let newer = ControlSnapshot {
        format: SNAPSHOT_FORMAT + 1,
        ..ControlSnapshot::default()
    };
    let error = state.restore(&newer.encode_to_vec()).unwrap_err();
    assert!(matches!(error, ControlError::UnknownFormat { .. }));
    assert_eq!(state.snapshot(), before);
}

#[test]
fn refused_changes_are_in_the_audit_trail_with_their_author() {
    let mut harness = Harness::new();
    let mut stale = share_patch("late", "almaz", 2);
    stale.expected_version = 9;
    harness.apply(ControlBody::Patch(stale.clone()));
    harness.apply(ControlBody::Patch(stale));
    let question = ControlQuestion::Audit(RangeQuery {
        after: 1,
        limit: 10,
    });
    let query = ControlQuery {
        query: Some(question),
    };
    let Some(ControlAnswer::Audit(reply)) = harness.state.query(0, &query).reply else {
        panic!("an audit query gets another kind of reply");
    };
    assert_eq!(reply.records.len(), 1, "a resend is not a second change");
    assert_eq!(reply.records[0].author, "almaz");
    assert_eq!(reply.records[0].outcome, "refused");
}

#[test]
fn a_clock_far_ahead_expires_no_claims() {
    let mut harness = Harness::new();
    let (lease, claim) = (
        Step::Lease {
            entry: 1,
            incarnation: 1,
        },
        Step::Claim {
            key: 1,
            digest: 1,
            entry: 1,
            run: 1,
        },
    );
    harness.run(lease);
    harness.run(claim);
    harness.stamp_ms += 10 * 86_400_000;
    harness.run(Step::Claim {
        key: 1,
        digest: 1,
        entry: 1,
        run: 2,
    });
    assert_eq!(harness.state.claims().len(), 1);
}

#[test]
fn an_older_stamp_does_not_set_time_back() {
    let mut harness = Harness::new();
    harness.run(Step::Lease {
        entry: 1,
        incarnation: 1,
    });
    harness.stamp_ms += u64::from(LEASE_MS) + 1;
    harness.run(Step::Claim {
        key: 1,
        digest: 1,
        entry: 1,
        run: 1,
    });
    harness.stamp_ms = 0;
    harness.run(Step::Claim {
        key: 1,
        digest: 1,
        entry: 1,
        run: 1,
    });
    assert!(harness.state.claims().is_empty(), "the lease has expired");
    let status = ControlQuestion::Status(StatusQuery {});
    let query = ControlQuery {
        query: Some(status),
    };
    let Some(ControlAnswer::Status(status)) = harness.state.query(0, &query).reply else {
        panic!("a status query gets another kind of reply");
    };
    assert_eq!(status.entries, 0);
}

/// The quarantine must survive a restart of all replicas, and the audit trail must show
/// when a request was quarantined.
#[test]
fn a_quarantined_request_survives_a_snapshot() {
    let digest = Bytes::from_static(&[1; 16]);
    let mut state = ControlState::default();
    for index in 1..=3 {
        let command = ControlCommand {
            stamp_ms: index,
            body: Some(ControlBody::Quarantine(QuarantineCommand {
                crashes: vec![EndpointCrash {
                    endpoint: format!("e-{index}"),
                    digests: vec![digest.clone()],
                    prompts: Vec::new(),
                }],
                ..Default::default()
            })),
        };
        state.apply_bytes(index, &command.encode_to_vec());
    }
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(restored.quarantined(), state.quarantined());
    let digest = RequestDigest::from_bytes(&digest).unwrap();
    assert!(restored.quarantined().contains(&digest));
    let records = state.audit().read(0, 10).records;
    let outcomes: Vec<&str> = records.iter().map(|record| &*record.outcome).collect();
    assert_eq!(outcomes, ["quarantined"]);
    assert_eq!(records[0].subject, digest.to_string());
}

/// An acknowledged evacuation must survive a restart of all replicas and be in the audit
/// trail.
#[test]
fn an_evacuation_survives_a_snapshot() {
    let mut state = ControlState::default();
    let orders = [(true, 0), (true, 0), (false, 1), (true, 2)];
    for (index, (evacuated, orders_before)) in (1..).zip(orders) {
        let command = ControlCommand {
            stamp_ms: index,
            body: Some(ControlBody::Evacuation(EvacuationCommand {
                data_center: "a".into(),
                evacuated,
                orders_before,
            })),
        };
        state.apply_bytes(index, &command.encode_to_vec());
    }
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(restored.evacuations(), state.evacuations());
    assert!(restored.evacuations().is_evacuated("a"));
    let records = state.audit().read(0, 10).records;
    let outcomes: Vec<&str> = records.iter().map(|record| &*record.outcome).collect();
    assert_eq!(outcomes, ["begun", "ended", "begun"]);
    let status = ControlQuestion::Status(StatusQuery {});
    let query = ControlQuery {
        query: Some(status),
    };
    let Some(ControlAnswer::Status(status)) = state.query(0, &query).reply else {
        panic!("a status query gets another kind of reply");
    };
    assert_eq!(status.evacuated, ["a"]);
}
