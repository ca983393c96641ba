use super::{
    AppendRequest, Body, EntryKind, LogEntry, MembershipRecord, ReplicaId, ReplicaMembership,
    ReplicaMessage, ReplicaOptions, Result, SnapshotChunk, VoteRequest,
};
use crate::prelude::*;

/// Exclusive upper bound of indexes, terms and offsets, above any that a log can reach.
/// It keeps sums from overflowing.
const NUMBER_LIMIT: u64 = 1 << 62;

/// Most members that a heartbeat names as silent.
const MAX_SILENT_MEMBERS: usize = 64;

/// Why a message from another replica was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message can't be decoded.
    #[error("the message can't be read: {0}; run one version of savorywalk at all replicas")]
    Unreadable(String),
    /// The message has no body, or a kind of body that this version does not know.
    #[error("the message has no known body; run one version of savorywalk at all replicas")]
    UnknownBody,
    /// The message is addressed to another replica.
    #[error("the message is for replica {0}; check that each node has its own name")]
    WrongRecipient(ReplicaId),
    /// The sender is this replica itself, or has no incarnation.
    #[error("the message names {0} as its sender; check that each node has its own name")]
    InvalidSender(ReplicaId),
    /// A number, length or entry kind in the message is out of bounds.
    #[error("{0} of the message is out of bounds; check the sender's version and memory")]
    OutOfBounds(&'static str),
    /// The entries are not consecutive, or their terms decrease.
    #[error("the entries do not follow one another; check the sender's version and memory")]
    NonConsecutiveEntries,
    /// A membership in the message can't be read or has no voter.
    #[error("the membership has no voter or can't be read; check the sender's version and memory")]
    InvalidMembership,
}

/// Checks the parts of a message that can be checked without the log.
pub(super) fn check(
    message: &ReplicaMessage,
    own: ReplicaId,
    options: &ReplicaOptions,
) -> Result<(), MessageError> {
    let body = message.body.as_ref().ok_or(MessageError::UnknownBody)?;
    check_addresses(message, body, own)?;
    check_number("term", message.term)?;
    match body {
        Body::JoinRequest(_) | Body::JoinHint(_) => Ok(()),
        Body::FormationOffer(offer) => check_length("replicas", offer.replicas.len(), 64),
        Body::VoteRequest(request) => check_vote(message.term, request),
        Body::AppendRequest(request) => check_append(message.term, request),
        Body::SnapshotChunk(chunk) => check_chunk(message.term, chunk, options),
        Body::VoteReply(_) | Body::TimeoutNow(_) => check_term(message.term),
        Body::AppendReply(reply) => {
            check_term(message.term)?;
            check_number("index", reply.index)?;
            check_number("refused", reply.refused)
        }
        Body::SnapshotReply(reply) => {
            check_term(message.term)?;
            check_number("next_offset", reply.next_offset)
        }
    }
}

fn check_addresses(
    message: &ReplicaMessage,
    body: &Body,
    own: ReplicaId,
) -> Result<(), MessageError> {
    let from = ReplicaId::from_u64(message.from);
    if from.incarnation() == 0 || from == own {
        return Err(MessageError::InvalidSender(from));
    }
    let to = ReplicaId::from_u64(message.to);
    let accepts_any_incarnation = matches!(body, Body::JoinRequest(_) | Body::FormationOffer(_));
    let is_recipient = to == own || (accepts_any_incarnation && to == own.node().anyone());
    if is_recipient {
        return Ok(());
    }
    Err(MessageError::WrongRecipient(to))
}

fn check_term(term: u64) -> Result<(), MessageError> {
    if term == 0 {
        return Err(MessageError::OutOfBounds("term"));
    }
    Ok(())
}

fn check_number(name: &'static str, number: u64) -> Result<(), MessageError> {
    if number >= NUMBER_LIMIT {
        return Err(MessageError::OutOfBounds(name));
    }
    Ok(())
}

fn check_length(name: &'static str, length: usize, limit: usize) -> Result<(), MessageError> {
    if length > limit {
        return Err(MessageError::OutOfBounds(name));
    }
    Ok(())
}

fn check_vote(term: u64, request: &VoteRequest) -> Result<(), MessageError> {
    check_term(term)?;
    check_number("last_index", request.last_index)?;
    if request.last_term >= term {
        return Err(MessageError::OutOfBounds("last_term"));
    }
    Ok(())
}

fn check_append(term: u64, request: &AppendRequest) -> Result<(), MessageError> {
    check_term(term)?;
    check_number("prev_index", request.prev_index)?;
    check_length(
        "silent_members",
        request.silent_members.len(),
        MAX_SILENT_MEMBERS,
    )?;
    for silence in &request.silent_members {
        check_number("silent_ms", silence.silent_ms)?;
    }
    if (request.prev_index == 0) != (request.prev_term == 0) {
        return Err(MessageError::OutOfBounds("prev_term"));
    }
    let mut previous = (request.prev_index, request.prev_term);
    for entry in &request.entries {
        let is_consecutive = entry.index == previous.0 + 1 && entry.term >= previous.1.max(1);
        if !is_consecutive {
            return Err(MessageError::NonConsecutiveEntries);
        }
        check_entry(entry)?;
        previous = (entry.index, entry.term);
    }
    if previous.1 > term {
        return Err(MessageError::OutOfBounds("entry term"));
    }
    Ok(())
}

fn check_entry(entry: &LogEntry) -> Result<(), MessageError> {
    match entry.kind() {
        EntryKind::Unspecified => Err(MessageError::OutOfBounds("entry kind")),
        EntryKind::Noop | EntryKind::Command => Ok(()),
        EntryKind::Membership => {
            let membership = ReplicaMembership::from_payload(&entry.payload);
            check_membership(membership.as_ref())
        }
    }
}

fn check_chunk(
    term: u64,
    chunk: &SnapshotChunk,
    options: &ReplicaOptions,
) -> Result<(), MessageError> {
    check_term(term)?;
    check_number("index", chunk.index)?;
    check_number("offset", chunk.offset)?;
    if chunk.index == 0 || chunk.term == 0 || chunk.term > term {
        return Err(MessageError::OutOfBounds("snapshot term"));
    }
    let end = chunk.offset + chunk.data.len() as u64;
    if end > chunk.total || chunk.total > options.max_snapshot_bytes {
        return Err(MessageError::OutOfBounds("snapshot size"));
    }
    let record: Option<&MembershipRecord> = chunk.membership.as_ref();
    check_membership(record.map(ReplicaMembership::from_record).as_ref())
}

fn check_membership(membership: Option<&ReplicaMembership>) -> Result<(), MessageError> {
    match membership {
        Some(membership) if membership.voters().next().is_some() => Ok(()),
        Some(_) | None => Err(MessageError::InvalidMembership),
    }
}

#[cfg(test)]
#[path = "message_check_tests.rs"]
mod tests;
