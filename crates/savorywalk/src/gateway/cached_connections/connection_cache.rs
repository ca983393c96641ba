use std::sync::{Mutex, PoisonError};

use super::idle_connections::IdleConnections;
use crate::gateway::EndpointHead;
use crate::gateway::endpoint_call::EndpointCall;
use crate::prelude::*;

/// Idle connections to endpoints, reused by calls of some kinds.
///
/// A faulty endpoint may send a second answer after the first one, which the next call on
/// the connection would receive as its own. So a connection is reused only if the answer
/// names its request, or if the answer is not used. Neither holds for calls with pieces.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ConnectionCache {
    connections: Mutex<IdleConnections<EndpointCall>>,
}

impl ConnectionCache {
    /// Takes an open connection to an endpoint.
    pub(in crate::gateway) fn take(&self, endpoint: &str) -> Option<EndpointCall> {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while let Some(call) = connections.take(Instant::now(), endpoint) {
            if call.is_open() {
                return Some(call);
            }
        }
        None
    }

    /// Caches the connection of a call whose answer was read completely, unless the
    /// endpoint closes the connection, is leaving or is another incarnation, or unless another
    /// entry relays it, which should not last longer than the loss of the own path.
    pub(in crate::gateway) fn put(&self, endpoint: &str, call: EndpointCall, head: &EndpointHead) {
        if head.closes || head.is_leaving || head.is_other_incarnation || call.is_relayed() {
            return;
        }
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.put(Instant::now(), endpoint, call, head.keep_alive);
    }

    /// Closes the connections to an endpoint.
    pub(in crate::gateway) fn close_all(&self, endpoint: &str) {
        while self.take(endpoint).is_some() {}
    }

    /// Closes connections that have been idle for too long.
    pub(in crate::gateway) fn expire(&self) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.expire(Instant::now());
    }
}
