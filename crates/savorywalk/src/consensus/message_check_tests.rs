use super::*;
use crate::consensus::{MemberRecord, NodeNumber, TimeoutNow};

const OWN: ReplicaId = ReplicaId::new(NodeNumber::new(1), 1);
const PEER: ReplicaId = ReplicaId::new(NodeNumber::new(2), 1);

fn message(body: Body) -> ReplicaMessage {
    ReplicaMessage {
        cluster: 7,
        from: PEER.as_u64(),
        to: OWN.as_u64(),
        term: 5,
        body: Some(body),
    }
}

fn check_message(message: &ReplicaMessage) -> Result<(), MessageError> {
    check(message, OWN, &ReplicaOptions::new(Vec::new(), 1))
}

fn append(prev: (u64, u64), entries: &[(u64, u64)]) -> Body {
    let entries = entries.iter().map(|(index, term)| LogEntry {
        index: *index,
        term: *term,
        kind: EntryKind::Command.into(),
        payload: Bytes::new(),
    });
    Body::AppendRequest(AppendRequest {
        prev_index: prev.0,
        prev_term: prev.1,
        entries: entries.collect(),
        commit: 0,
        round: 1,
        silent_members: Vec::new(),
    })
}

fn chunk(offset: u64, total: u64, voter: bool) -> Body {
    let member = MemberRecord {
        replica: PEER.as_u64(),
        voter,
        admitted: 1,
    };
    Body::SnapshotChunk(SnapshotChunk {
        index: 3,
        term: 2,
        membership: Some(MembershipRecord {
            members: vec![member],
        }),
        offset,
        total,
        data: Bytes::from_static(b"abcd"),
        ..SnapshotChunk::default()
    })
}

#[rstest::rstest]
#[case::heartbeat(append((3, 2), &[]))]
#[case::entries(append((3, 2), &[(4, 2), (5, 4)]))]
#[case::first_entry(append((0, 0), &[(1, 1)]))]
#[case::chunk(chunk(4, 8, true))]
fn a_valid_message_is_accepted(#[case] body: Body) {
    assert_eq!(check_message(&message(body)), Ok(()));
}

#[rstest::rstest]
#[case::gap(append((3, 2), &[(5, 2)]), MessageError::NonConsecutiveEntries)]
#[case::term_decreases(append((3, 3), &[(4, 2)]), MessageError::NonConsecutiveEntries)]
#[case::entry_above_message_term(append((3, 2), &[(4, 6)]), MessageError::OutOfBounds("entry term"))]
#[case::index_without_term(append((3, 0), &[]), MessageError::OutOfBounds("prev_term"))]
#[case::huge_index(append((u64::MAX, 2), &[]), MessageError::OutOfBounds("prev_index"))]
#[case::chunk_past_the_end(chunk(5, 8, true), MessageError::OutOfBounds("snapshot size"))]
#[case::chunk_overflow(chunk(u64::MAX, 8, true), MessageError::OutOfBounds("offset"))]
#[case::huge_snapshot(chunk(0, u64::MAX, true), MessageError::OutOfBounds("snapshot size"))]
#[case::no_voter(chunk(4, 8, false), MessageError::InvalidMembership)]
fn an_invalid_message_is_rejected(#[case] body: Body, #[case] error: MessageError) {
    assert_eq!(check_message(&message(body)), Err(error));
}

#[test]
fn a_message_for_another_replica_is_rejected() {
    let mut message = message(Body::TimeoutNow(TimeoutNow {}));
    message.to = OWN.node().anyone().as_u64();
    let error = MessageError::WrongRecipient(OWN.node().anyone());
    assert_eq!(check_message(&message), Err(error));
}

#[test]
fn a_message_with_an_invalid_sender_is_rejected() {
    let mut message = message(Body::TimeoutNow(TimeoutNow {}));
    for from in [0, OWN.as_u64(), PEER.node().anyone().as_u64()] {
        message.from = from;
        let error = MessageError::InvalidSender(ReplicaId::from_u64(from));
        assert_eq!(check_message(&message), Err(error));
    }
}
