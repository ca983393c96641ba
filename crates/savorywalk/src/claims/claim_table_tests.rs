use super::*;

const RETENTION: Duration = Duration::from_secs(3_600);
const LIMITS: ClaimLimits = ClaimLimits {
    claims: 4,
    workspace_claims: 3,
    answers: 2,
    answer_bytes: 100,
    largest_answer: 60,
    entries: 2,
};

fn owner(incarnation: u64) -> ClaimOwner {
    ClaimOwner {
        entry: "entry-1".into(),
        incarnation,
    }
}

fn key(workspace: &str, key: &str) -> ClaimKey {
    ClaimKey {
        workspace: workspace.into(),
        key: key.into(),
    }
}

fn renew(table: &mut ClaimTable, now_ms: u64, incarnation: u64) -> bool {
    let lease = EntryLease {
        owner: Some(owner(incarnation)),
        lease_ms: 3_000,
    };
    table.renew(now_ms, lease)
}

fn call(table: &mut ClaimTable, now_ms: u64, step: ClaimStep) -> ClaimDecision {
    let calls = vec![ClaimCall { call: Some(step) }];
    let batch = ClaimBatch { shard: 0, calls };
    let mut outcome = table.apply(now_ms, RETENTION, batch);
    outcome.outcomes.remove(0).outcome.unwrap()
}

fn claim(table: &mut ClaimTable, now_ms: u64, key: ClaimKey, run: u8) -> ClaimDecision {
    let request = ClaimRequest {
        key: Some(key),
        digest: vec![1; DIGEST_BYTES].into(),
        owner: Some(owner(1)),
        run: vec![run; RUN_BYTES].into(),
    };
    call(table, now_ms, ClaimStep::Claim(request))
}

fn finish(table: &mut ClaimTable, key: ClaimKey, run: u8, length: usize) -> ClaimDecision {
    let answer = ClaimAnswer {
        status: 200,
        body: vec![b'a'; length].into(),
    };
    let finish = ClaimFinish {
        key: Some(key),
        run: vec![run; RUN_BYTES].into(),
        answer: Some(answer),
    };
    call(table, 0, ClaimStep::Finish(finish))
}

fn registered() -> ClaimTable {
    let mut table = ClaimTable::new(LIMITS);
    assert!(renew(&mut table, 0, 1));
    table
}

#[test]
fn a_resend_waits_then_gets_the_kept_answer() {
    let mut table = registered();
    let booking = key("north", "booking-1");
    let first = claim(&mut table, 0, booking.clone(), 1);
    assert!(matches!(first, ClaimDecision::Granted(_)));
    let resent = claim(&mut table, 1, booking.clone(), 2);
    assert!(matches!(resent, ClaimDecision::Running(_)));
    finish(&mut table, booking.clone(), 1, 10);
    let answered = claim(&mut table, 2, booking, 3);
    assert!(matches!(answered, ClaimDecision::Answered(_)));
}

#[test]
fn a_dead_claimant_leaves_the_outcome_unknown() {
    let mut table = registered();
    let booking = key("north", "booking-1");
    claim(&mut table, 0, booking.clone(), 1);
    let expired = claim(&mut table, 3_000, booking.clone(), 2);
    assert!(matches!(expired, ClaimDecision::Orphaned(_)));
    renew(&mut table, 3_000, 1);
    let alive = claim(&mut table, 3_001, booking.clone(), 2);
    assert!(matches!(alive, ClaimDecision::Running(_)));
    renew(&mut table, 3_002, 2);
    let restarted = claim(&mut table, 3_003, booking, 2);
    assert!(matches!(restarted, ClaimDecision::Orphaned(_)));
}

#[test]
fn an_older_incarnation_can_neither_renew_nor_claim() {
    let mut table = registered();
    renew(&mut table, 0, 2);
    assert!(!renew(&mut table, 1, 1));
    let refused = claim(&mut table, 1, key("north", "booking-1"), 1);
    assert_eq!(
        refused,
        ClaimDecision::Refused(ClaimRefusal::NotRegistered.into())
    );
}

#[test]
fn an_answer_that_comes_after_the_lease_ran_out_is_kept() {
    let mut table = registered();
    let booking = key("north", "booking-1");
    claim(&mut table, 0, booking.clone(), 1);
    finish(&mut table, booking.clone(), 1, 10);
    let late = claim(&mut table, 60_000, booking, 2);
    assert!(matches!(late, ClaimDecision::Answered(_)));
}

#[test]
fn a_dropped_answer_is_told_as_such_and_never_run_again() {
    let mut table = registered();
    for run in 1..=3 {
        let booking = key("north", &format!("booking-{run}"));
        claim(&mut table, 0, booking.clone(), run);
        finish(&mut table, booking, run, 10);
    }
    assert_eq!(table.answers(), LIMITS.answers);
    let dropped = claim(&mut table, 0, key("north", "booking-1"), 9);
    assert!(matches!(dropped, ClaimDecision::AnswerDropped(_)));
    let large = key("south", "booking-4");
    claim(&mut table, 0, large.clone(), 4);
    finish(&mut table, large.clone(), 4, LIMITS.largest_answer + 1);
    let dropped = claim(&mut table, 0, large, 9);
    assert!(matches!(dropped, ClaimDecision::AnswerDropped(_)));
}

#[test]
fn a_full_table_refuses_and_forgets_nothing() {
    let mut table = registered();
    for run in 1..=3 {
        claim(&mut table, 0, key("north", &run.to_string()), run);
    }
    let full = ClaimDecision::Refused(ClaimRefusal::Full.into());
    assert_eq!(claim(&mut table, 0, key("north", "4"), 4), full);
    claim(&mut table, 0, key("south", "1"), 5);
    assert_eq!(claim(&mut table, 0, key("south", "2"), 6), full);
    let first = claim(&mut table, 0, key("north", "1"), 9);
    assert!(matches!(first, ClaimDecision::Running(_)));
}

#[test]
fn a_claim_is_forgotten_after_its_retention_and_not_before() {
    let mut table = registered();
    let booking = key("north", "booking-1");
    claim(&mut table, 0, booking.clone(), 1);
    let retention_ms = RETENTION.as_millis() as u64;
    renew(&mut table, retention_ms - 1, 1);
    let known = claim(&mut table, retention_ms - 1, booking.clone(), 2);
    assert!(matches!(known, ClaimDecision::Running(_)));
    let free = claim(&mut table, retention_ms, booking, 2);
    assert!(matches!(free, ClaimDecision::Granted(_)));
    assert_eq!(table.len(), 1);
}

#[test]
fn another_shard_is_refused() {
    let mut table = registered();
    let batch = ClaimBatch {
        shard: 1,
        calls: vec![ClaimCall::default()],
    };
    let outcome = table.apply(0, RETENTION, batch).outcomes.remove(0);
    let wrong = ClaimDecision::Refused(ClaimRefusal::WrongShard.into());
    assert_eq!(outcome.outcome, Some(wrong));
}
