use std::pin::Pin;

use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::{ProgressGuard, StallEnd, StallRecord};
use crate::gateway::PoolMember;
use crate::gateway::endpoint_call::{CallError, EndpointCall};
use crate::gateway::retry_budget::SendToken;
use crate::prelude::*;
use crate::registry::BootTime;
use crate::routing::OutstandingGuard;

/// Result of waiting for the head of an answer.
pub(in crate::gateway) type HeadResult = Result<(EndpointCall, Response<Incoming>), CallError>;

/// A call that was sent and whose answer has not begun. Dropping it closes its connection.
pub(in crate::gateway) struct PendingCall {
    pub(in crate::gateway) member: Arc<PoolMember>,
    /// When the attempt began, before the connection was opened.
    pub(in crate::gateway) started: Instant,
    /// When the request was sent.
    pub(in crate::gateway) sent: BootTime,
    /// Whether the connection was a cached one, which the endpoint may have closed.
    pub(in crate::gateway) was_cached: bool,
    pub(in crate::gateway) guard: OutstandingGuard,
    pub(in crate::gateway) progress: ProgressGuard,
    /// Set once the call has stalled.
    pub(in crate::gateway) stall: Option<StallRecord>,
    sending: BoxFuture<'static, HeadResult>,
}

/// What a [`PendingCall`] is made of, beside its request.
pub(in crate::gateway) struct OpenedCall {
    pub(in crate::gateway) call: EndpointCall,
    pub(in crate::gateway) was_cached: bool,
    pub(in crate::gateway) token: SendToken,
}

impl fmt::Debug for PendingCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("PendingCall");
        debug.field("endpoint", &self.member.endpoint());
        debug.field("started", &self.started);
        debug.finish_non_exhaustive()
    }
}

impl PendingCall {
    /// Sends a request over an opened connection.
    pub(in crate::gateway) fn send(
        opened: OpenedCall,
        request: Request<Bytes>,
        member: Arc<PoolMember>,
        (started, sent): (Instant, BootTime),
        (guard, progress): (OutstandingGuard, ProgressGuard),
    ) -> Self {
        let OpenedCall {
            mut call,
            was_cached,
            token,
        } = opened;
        Self {
            member,
            started,
            sent,
            was_cached,
            guard,
            progress,
            stall: None,
            sending: Box::pin(async move {
                let response = call.send(request, token).await?;
                Ok((call, response))
            }),
        }
    }

    pub(in crate::gateway) fn endpoint(&self) -> &str {
        self.member.endpoint()
    }

    /// Records how the stall of the call ended, if it had stalled.
    pub(in crate::gateway) fn finish_stall(&mut self, end: StallEnd) {
        if let Some(stall) = self.stall.take() {
            stall.finish(end);
        }
    }

    /// Waits for the head of the answer. Cancelling the wait loses nothing.
    pub(in crate::gateway) async fn head(&mut self) -> HeadResult {
        let result = Pin::new(&mut self.sending).await;
        if result.is_ok() {
            self.progress.record_heard();
        }
        result
    }

    fn poll_head(&mut self, context: &mut std::task::Context<'_>) -> std::task::Poll<HeadResult> {
        self.sending.as_mut().poll(context)
    }
}

/// Calls of one request that have stalled and stay open while it is sent to other endpoints.
#[derive(Debug, Default)]
pub(in crate::gateway) struct StalledCalls(Vec<PendingCall>);

impl StalledCalls {
    pub(in crate::gateway) fn push(&mut self, call: PendingCall) {
        self.0.push(call);
    }

    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// When the oldest call began.
    pub(in crate::gateway) fn oldest(&self) -> Option<Instant> {
        self.0.iter().map(|call| call.started).min()
    }

    /// Takes all calls out.
    pub(in crate::gateway) fn take(&mut self) -> Vec<PendingCall> {
        std::mem::take(&mut self.0)
    }

    /// Closes all calls, which another one has replaced, and returns their endpoints.
    pub(in crate::gateway) fn finish_replaced(&mut self) -> Vec<String> {
        let calls = self.take().into_iter();
        let endpoints = calls.map(|mut call| {
            call.finish_stall(StallEnd::Replaced);
            call.endpoint().to_string()
        });
        endpoints.collect()
    }

    /// Waits for the head of the next answer, and takes its call out. Never ends without calls.
    pub(in crate::gateway) async fn next(&mut self) -> (PendingCall, HeadResult) {
        std::future::poll_fn(|context| {
            for index in 0..self.0.len() {
                if let std::task::Poll::Ready(result) = self.0[index].poll_head(context) {
                    let call = self.0.swap_remove(index);
                    if result.is_ok() {
                        call.progress.record_heard();
                    }
                    return std::task::Poll::Ready((call, result));
                }
            }
            std::task::Poll::Pending
        })
        .await
    }
}
