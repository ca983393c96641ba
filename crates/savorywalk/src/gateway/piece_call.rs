use super::answer_memory::read_complete;
use super::crash_detector::CallFailure;
use super::endpoint_call::{CallError, EndpointCall};
use super::forward_attempt::is_delimited;
use super::gateway_node::GatewayNode;
use super::retry_budget::SendToken;
use super::{
    EndpointTarget, LoadReport, PieceOutcome, PieceProfile, PieceRequest, PoolMember, QueuedPiece,
};
use crate::prelude::*;
use crate::registry::BootClock;
use crate::routing::AttemptReport;

/// Time after which a call has stalled, in durations of a full call: two calls may wait ahead of
/// it at the endpoint. An endpoint that takes longer is slow, suspended or has crashed, and
/// another one probably makes the pieces sooner.
const STALL_LIMIT_FULL_CALLS: u32 = 4;

/// How a call ended.
#[derive(Clone, Debug)]
pub(super) enum CallResult {
    /// The endpoint answered with one outcome per piece.
    Answered {
        outcomes: Vec<PieceOutcome>,
        load: Option<LoadReport>,
    },
    /// The endpoint did not begin the call.
    Denied { load: Option<LoadReport> },
    /// The call failed; what the endpoint did with it is unknown.
    Failed(CallError),
}

impl CallResult {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Denied { .. } => "denied",
            Self::Failed(_) => "failed",
        }
    }

    pub(super) fn load(&self) -> Option<LoadReport> {
        match self {
            Self::Answered { load, .. } | Self::Denied { load } => *load,
            Self::Failed(_) => None,
        }
    }

    /// How the call failed, if calls fail in this way when the path to the endpoint is lost.
    pub(super) fn path_failure(&self) -> Option<CallFailure> {
        match self {
            Self::Answered { .. } | Self::Denied { .. } => None,
            Self::Failed(error) => match error {
                CallError::Broken(_) => Some(CallFailure::Cut),
                CallError::Lost(_) => Some(CallFailure::TimedOut),
                CallError::Unsent(_)
                | CallError::Withheld(_)
                | CallError::OverBudget
                | CallError::Silent
                | CallError::TooLarge(_) => None,
            },
        }
    }

    /// Returns what the call shows about the endpoint's health. A refused call is no failure.
    pub(super) fn report(&self, time: Duration) -> Option<AttemptReport> {
        match self {
            Self::Answered { .. } => Some(AttemptReport::Succeeded(time)),
            Self::Denied { .. } => None,
            Self::Failed(_) => Some(AttemptReport::Failed),
        }
    }
}

/// Time, from its connection on, after which a call has stalled.
pub(super) fn stall_limit(profile: &PieceProfile) -> Duration {
    profile.call_duration(profile.batch) * STALL_LIMIT_FULL_CALLS
}

/// Opens a connection for a call, until `deadline`. An error means that nothing was sent.
pub(super) async fn open(
    node: &GatewayNode,
    member: &PoolMember,
    deadline: tokio::time::Instant,
) -> Result<EndpointCall, CallResult> {
    match tokio::time::timeout_at(deadline, node.connect(member)).await {
        Ok(Ok(_)) if !node.is_available(member.endpoint()) => {
            Err(CallResult::Denied { load: None })
        }
        Ok(Ok(call)) => Ok(call),
        Ok(Err(error)) => Err(CallResult::Failed(error)),
        Err(_) => Err(CallResult::Failed(CallError::Lost("timed out".into()))),
    }
}

/// Makes one call over a connection, however long it takes.
pub(super) async fn perform(
    node: &GatewayNode,
    pool: &str,
    member: &PoolMember,
    call: EndpointCall,
    (pieces, token): (&[QueuedPiece], SendToken),
) -> CallResult {
    let exchange = exchange(node, pool, member, call, (pieces, token));
    exchange.await.unwrap_or_else(|error| {
        node.answer_memory.record_failure(&error);
        CallResult::Failed(error)
    })
}

async fn exchange(
    node: &GatewayNode,
    pool: &str,
    member: &PoolMember,
    mut call: EndpointCall,
    (pieces, token): (&[QueuedPiece], SendToken),
) -> Result<CallResult, CallError> {
    let now = Instant::now();
    let requests: Vec<PieceRequest<'_>> = pieces
        .iter()
        .map(|piece| PieceRequest {
            request_id: &piece.task.request_id,
            stage: piece.task.stage,
            piece: piece.piece,
            remaining: piece.task.deadline.saturating_duration_since(now),
            source: &piece.task.source,
        })
        .collect();
    let target = EndpointTarget {
        name: &member.name,
        address: member.address(),
    };
    let wire = node.wire.as_ref();
    let sent = BootClock.now();
    let request = wire.piece_request(&requests, &target);
    let response = call.send(request, token).await?;
    let (parts, body) = response.into_parts();
    let head = wire.read_endpoint(&parts);
    node.record_response_head(pool, member.endpoint(), sent, &head);
    if head.not_run || head.is_other_incarnation {
        return Ok(CallResult::Denied { load: head.load });
    }
    if !parts.status.is_success() {
        return Err(CallError::Lost(format!("status {}", parts.status)));
    }
    let body = read_complete(body, node.answer_memory.hold()).await?;
    if is_delimited(&parts.headers) {
        node.connection_cache.put(member.endpoint(), call, &head);
    }
    let outcomes = wire.read_pieces(&body).map_err(CallError::Lost)?;
    if outcomes.len() != pieces.len() {
        let reason = format!("{} outcomes for {} pieces", outcomes.len(), pieces.len());
        return Err(CallError::Lost(reason));
    }
    Ok(CallResult::Answered {
        outcomes,
        load: head.load,
    })
}
