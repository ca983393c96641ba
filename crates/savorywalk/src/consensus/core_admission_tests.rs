use super::*;
use crate::consensus::{
    HardState, RecoveredState, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaOptions,
};

fn id(node: u32, incarnation: u32) -> ReplicaId {
    ReplicaId::new(NodeNumber::new(node), incarnation)
}

fn options() -> ReplicaOptions {
    ReplicaOptions::new((1..=3).map(NodeNumber::new).collect(), 1)
}

fn founding() -> ReplicaMembership {
    ReplicaMembership::founding((1..=3).map(|node| id(node, 1)))
}

/// Recovered state with `membership` as the first log entry.
fn recovered_state(membership: &ReplicaMembership) -> RecoveredState {
    RecoveredState {
        hard_state: HardState {
            term: 1,
            vote: 0,
            cluster: founding().cluster_number(),
        },
        snapshot: None,
        entries: vec![LogEntry {
            index: 1,
            term: 1,
            kind: EntryKind::Membership.into(),
            payload: membership.to_payload(),
        }],
    }
}

fn sent(actions: Vec<ReplicaAction>) -> Vec<Body> {
    let bodies = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send(message) => message.body,
        _ => None,
    });
    bodies.collect()
}

fn join_request(from: ReplicaId, to: ReplicaId) -> ReplicaEvent {
    ReplicaEvent::Message(Box::new(ReplicaMessage {
        cluster: 0,
        from: from.as_u64(),
        to: to.node().anyone().as_u64(),
        term: 0,
        body: Some(Body::JoinRequest(JoinRequest {})),
    }))
}

#[test]
fn a_cluster_is_founded_once_every_node_has_sent_a_join_request() {
    let now = Instant::now();
    let mut core = ReplicaCore::new(now, id(1, 1), options(), RecoveredState::default());
    core.handle(now, ReplicaEvent::Tick);
    core.handle(now, join_request(id(2, 1), id(1, 1)));
    assert!(core.membership().is_none());
    core.handle(now, join_request(id(3, 1), id(1, 1)));
    assert_eq!(core.membership(), Some(&founding()));
}

#[test]
fn a_founder_that_missed_the_founding_gets_the_offer_again() {
    let now = Instant::now();
    let mut core = ReplicaCore::new(now, id(1, 1), options(), recovered_state(&founding()));
    let bodies = sent(core.handle(now, join_request(id(2, 1), id(1, 1))));
    let replicas = (1..=3).map(|node| id(node, 1).as_u64()).collect();
    assert_eq!(bodies, [Body::FormationOffer(FormationOffer { replicas })]);
}

#[test]
fn a_replica_that_is_no_founder_gets_no_founding_offer() {
    let now = Instant::now();
    let mut core = ReplicaCore::new(now, id(1, 1), options(), recovered_state(&founding()));
    let bodies = sent(core.handle(now, join_request(id(2, 2), id(1, 1))));
    assert_eq!(bodies, []);
}

#[test]
fn a_learner_without_leader_contact_sends_join_requests_again() {
    let start = Instant::now();
    let learner = MembershipChange::AddLearner(id(3, 2));
    let membership = founding().changed(learner, 1).unwrap();
    let mut core = ReplicaCore::new(start, id(3, 2), options(), recovered_state(&membership));
    assert_eq!(sent(core.handle(start, ReplicaEvent::Tick)), []);
    let later = start + Duration::from_secs(1);
    let bodies = sent(core.handle(later, ReplicaEvent::Tick));
    let request = Body::JoinRequest(JoinRequest {});
    assert_eq!(bodies, [request.clone(), request]);
}

/// Guards against a leader that has not heard of this voter's admission yet and says that it is
/// no member.
#[rstest::rstest]
#[case::older_than_the_admission(1, true)]
#[case::newer_than_the_admission(2, false)]
fn a_notice_of_expulsion_counts_if_its_membership_is_newer(
    #[case] membership_index: u64,
    #[case] stays: bool,
) {
    let now = Instant::now();
    let mut core = ReplicaCore::new(now, id(1, 1), options(), recovered_state(&founding()));
    let hint = JoinHint {
        leader: id(2, 1).as_u64(),
        expelled: true,
        membership_index,
    };
    let event = ReplicaEvent::Message(Box::new(ReplicaMessage {
        cluster: founding().cluster_number(),
        from: id(2, 1).as_u64(),
        to: id(1, 1).as_u64(),
        term: 1,
        body: Some(Body::JoinHint(hint)),
    }));
    core.handle(now, event);
    assert_eq!(core.is_voter(), stays);
}

#[test]
fn a_new_replica_neither_votes_nor_starts_an_election() {
    let start = Instant::now();
    let mut core = ReplicaCore::new(start, id(3, 2), options(), RecoveredState::default());
    let request = super::super::VoteRequest {
        pre_vote: false,
        transfer: false,
        last_index: 5,
        last_term: 2,
    };
    let later = start + Duration::from_secs(5);
    let event = ReplicaEvent::Message(Box::new(ReplicaMessage {
        cluster: founding().cluster_number(),
        from: id(1, 1).as_u64(),
        to: id(3, 2).as_u64(),
        term: 3,
        body: Some(Body::VoteRequest(request)),
    }));
    assert_eq!(core.handle(later, event), []);
    let is_join_request = |body: &Body| matches!(body, Body::JoinRequest(_));
    let bodies = sent(core.handle(later, ReplicaEvent::Tick));
    assert!(bodies.iter().all(is_join_request));
}
