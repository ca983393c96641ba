use prost::Message;
use tokio::sync::mpsc;

use super::answer_memory::read_complete;
use super::endpoint_call::{CallError, EndpointCall};
use super::endpoint_paths::EndpointStream;
use super::forward_attempt::is_delimited;
use super::gateway_node::GatewayNode;
use super::gateway_view::GatewayView;
use super::retry_budget::SendToken;
use super::work_shard::WorkShard;
use super::{PoolMember, ResultHandle};
use crate::generated::work::WorkNotice;
use crate::generated::work::work_notice::Notice;
use crate::prelude::*;
use crate::registry::{BootClock, IncarnationToken};
use crate::transport::InboundMessage;

/// Capacity of the queue. Results that do not fit expire at their endpoints.
const MAX_QUEUED: usize = 8_192;

/// Interval in which released results are collected into one call. They occupy capacity
/// meanwhile, for a small part of a call's duration.
const BATCH_INTERVAL: Duration = Duration::from_millis(12);

/// Timeout of one release call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Releases results that are no longer needed, without blocking the caller. The coordinator of
/// their shard makes the calls, so it learns at once how much capacity is free.
#[derive(Clone, Debug)]
pub(super) struct ReleaseQueue {
    sender: mpsc::Sender<ReleasedResult>,
}

/// A result to release.
#[derive(Debug)]
pub(super) struct ReleasedResult {
    shard: WorkShard,
    handle: ResultHandle,
}

impl ReleaseQueue {
    /// Returns the queue, and the receiver for [`run`].
    pub(super) fn new() -> (Self, mpsc::Receiver<ReleasedResult>) {
        let (sender, released) = mpsc::channel(MAX_QUEUED);
        (Self { sender }, released)
    }

    /// Queues a result that was made in `shard` for release.
    pub(super) fn release(&self, shard: WorkShard, handle: ResultHandle) {
        if self
            .sender
            .try_send(ReleasedResult { shard, handle })
            .is_err()
        {
            log_event!(debug, "release_queue_full");
        }
    }
}

/// Sends released results to the coordinators of their shards. Releases them here if this entry
/// is the coordinator, or if it cannot be notified.
pub(super) async fn run(node: Arc<GatewayNode>, mut released: mpsc::Receiver<ReleasedResult>) {
    while let Some(first) = released.recv().await {
        tokio::time::sleep(BATCH_INTERVAL).await;
        let mut by_shard: FastMap<WorkShard, Vec<ResultHandle>> = FastMap::default();
        let mut next = Some(first);
        while let Some(ReleasedResult { shard, handle }) = next {
            by_shard.entry(shard).or_default().push(handle);
            next = released.try_recv().ok();
        }
        for (shard, handles) in by_shard {
            if !node.exchange.send_released(&node, &shard, &handles) {
                release_at_endpoints(&node, &shard, handles);
            }
        }
    }
}

/// Handles notices from other entries: results to release, reports on engines, rate limits, usage
/// of workspaces, and loads of shards.
pub(super) async fn serve(node: Arc<GatewayNode>, mut notices: mpsc::Receiver<InboundMessage>) {
    while let Some(message) = notices.recv().await {
        let notice = match WorkNotice::decode(message.payload) {
            Ok(notice) => notice.notice,
            Err(error) => {
                let from = message.from;
                log_event!(warn, "notice_unreadable", from = from, reason = error);
                continue;
            }
        };
        let notice = match notice {
            Some(Notice::Release(notice)) => notice,
            Some(Notice::Report(report)) => {
                node.engines.report(&node.view.load(), &report);
                continue;
            }
            Some(Notice::Limit(limit)) => {
                node.adopt_limit(message.from.as_str(), &limit);
                continue;
            }
            Some(Notice::Usage(usage)) => {
                node.adopt_usage(&usage);
                continue;
            }
            Some(Notice::Origins(notice)) => {
                node.origins.adopt(notice);
                continue;
            }
            Some(Notice::ShardLoad(notice)) => {
                node.record_shard_load(&message.from, &notice);
                continue;
            }
            None => continue,
        };
        let shard = WorkShard::from_name(&notice.shard);
        let handles = notice.handles.into_iter();
        let handles = handles.map(|handle| ResultHandle(handle.into())).collect();
        release_at_endpoints(&node, &shard, handles);
    }
}

/// Calls endpoints to release results, then counts their capacity as free. Results at endpoints
/// that are unavailable or have a rate limit are kept until they expire.
fn release_at_endpoints(node: &Arc<GatewayNode>, shard: &WorkShard, handles: Vec<ResultHandle>) {
    let mut by_holder: BTreeMap<SocketAddr, Vec<ResultHandle>> = BTreeMap::new();
    for handle in handles {
        match handle.holder() {
            Some(holder) => by_holder.entry(holder).or_default().push(handle),
            None => log_event!(warn, "handle_without_keeper", handle = handle.0),
        }
    }
    let view = node.view.load_full();
    for (holder, handles) in by_holder {
        let member = stage_member(&view, holder);
        let may_release = |(_, member): (&str, &PoolMember)| node.may_release(member.endpoint());
        if !member.is_none_or(may_release) {
            log_event!(debug, "release_withheld", keeper = holder);
            continue;
        }
        let member = member.map(|(pool, member)| (pool.to_string(), member.clone()));
        let node = Arc::clone(node);
        let shard = shard.clone();
        tokio::spawn(async move {
            let calling = call(&node, member, holder, &handles);
            match tokio::time::timeout(CALL_TIMEOUT, calling).await {
                Ok(Ok(())) => node.record_released(&shard, &handles),
                Ok(Err(reason)) => {
                    log_event!(debug, "release_failed", keeper = holder, reason = reason);
                }
                Err(_) => log_event!(debug, "release_timed_out", keeper = holder),
            }
        });
    }
}

impl GatewayNode {
    /// Whether release requests may be sent to an endpoint. They are not sent under a rate
    /// limit, where they would use up permits that calls with pieces need.
    fn may_release(&self, endpoint: &str) -> bool {
        self.is_available(endpoint) && self.permits.limits.rate(endpoint).is_none()
    }
}

/// Returns the endpoint of a stage pool at an address, with the name of its pool.
fn stage_member(view: &GatewayView, address: SocketAddr) -> Option<(&str, &PoolMember)> {
    let pools = view.table.as_ref()?.pools();
    let pools = pools.filter(|pool| pool.pieces.is_some());
    let mut members = pools.flat_map(|pool| {
        let members = view.roster.pool(&pool.name).iter();
        members.map(|member| (pool.name.as_str(), member))
    });
    let found = members.find(|(_, member)| member.address() == address);
    found.map(|(pool, member)| (pool, member.as_ref()))
}

async fn call(
    node: &GatewayNode,
    member: Option<(String, PoolMember)>,
    holder: SocketAddr,
    handles: &[ResultHandle],
) -> Result<(), CallError> {
    let mut call = match &member {
        Some((_, member)) => node.open_cached(member).await?.0,
        None => {
            let stream = node.connector.connect_to(holder, CALL_TIMEOUT).await?;
            let stream = EndpointStream::Direct(stream);
            EndpointCall::start(stream, &IncarnationToken::default()).await?
        }
    };
    let sent = BootClock.now();
    let request = node.wire.release_request(handles, holder);
    let (parts, body) = call
        .send(request, SendToken::for_release())
        .await?
        .into_parts();
    let head = node.wire.read_endpoint(&parts);
    if let Some((pool, member)) = &member {
        node.record_response_head(pool, member.endpoint(), sent, &head);
    }
    read_complete(body, node.answer_memory.hold()).await?;
    if let Some((_, member)) = member
        && is_delimited(&parts.headers)
    {
        node.connection_cache.put(member.endpoint(), call, &head);
    }
    Ok(())
}

#[cfg(test)]
#[path = "release_queue_tests.rs"]
mod tests;
