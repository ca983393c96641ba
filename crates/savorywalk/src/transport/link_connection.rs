use std::sync::Mutex;

use super::connection_health::{ConnectionHealth, ConnectionSample, HealthState};
use super::connection_uses::ConnectionUses;
use super::link_limits as limits;
use crate::prelude::*;

/// Which end opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOrigin {
    /// This daemon, with its identity of this generation.
    Dialled {
        /// Generation of the certificate files that were used.
        generation: u64,
    },
    /// The peer.
    Accepted,
}

/// One connection to a peer and what is thought of it.
#[derive(Debug)]
pub(super) struct LinkConnection {
    /// The connection.
    pub(super) quic: quinn::Connection,
    /// Which end opened it.
    pub(super) origin: ConnectionOrigin,
    opened: Instant,
    /// Quiet time after which it is closed, if this daemon opened it.
    unused_time: Duration,
    uses: Arc<ConnectionUses>,
    judgement: Mutex<ConnectionJudgement>,
    /// The socket of its own, for a connection dialled past a silent one.
    _socket: Option<quinn::Endpoint>,
}

#[derive(Debug)]
struct ConnectionJudgement {
    health: ConnectionHealth,
    state: HealthState,
    streams: u64,
    used: Instant,
    retired: Option<Instant>,
}

impl LinkConnection {
    /// A connection opened at `now`; `socket` is kept open as long as it.
    pub(super) fn new(
        now: Instant,
        quic: quinn::Connection,
        origin: ConnectionOrigin,
        socket: Option<quinn::Endpoint>,
        unused_time: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            quic,
            origin,
            opened: now,
            unused_time,
            uses: Arc::default(),
            judgement: Mutex::new(ConnectionJudgement {
                health: ConnectionHealth::default(),
                state: HealthState::Live,
                streams: 0,
                used: now,
                retired: None,
            }),
            _socket: socket,
        })
    }

    /// The calls and streams in progress on it, from either end.
    pub(super) fn uses(&self) -> &Arc<ConnectionUses> {
        &self.uses
    }

    /// Whether the connection is still there.
    pub(super) fn is_open(&self) -> bool {
        self.quic.close_reason().is_none()
    }

    /// Whether its peer may have been lost.
    pub(super) fn is_suspect(&self) -> bool {
        self.judgement().state == HealthState::Suspect
    }

    /// Whether it takes nothing new.
    pub(super) fn is_retired(&self) -> bool {
        self.judgement().retired.is_some()
    }

    /// Whether this daemon opened it.
    pub(super) fn is_dialled(&self) -> bool {
        match self.origin {
            ConnectionOrigin::Dialled { .. } => true,
            ConnectionOrigin::Accepted => false,
        }
    }

    /// Time since it was opened.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.opened)
    }

    /// Whether it should be replaced for its age or an older certificate.
    pub(super) fn is_outdated(&self, now: Instant, current: u64) -> bool {
        match self.origin {
            ConnectionOrigin::Dialled { generation } => {
                generation != current || self.age(now) >= limits::MAX_CONNECTION_AGE
            }
            ConnectionOrigin::Accepted => false,
        }
    }

    /// Gives it no more work; it closes after a linger, once nothing is in progress on it.
    pub(super) fn retire(&self, now: Instant) {
        self.judgement().retired.get_or_insert(now);
    }

    /// Reads the counters; tells whether the connection has become suspect,
    /// and closes it when its linger is over and nothing is in progress on it.
    pub(super) fn inspect(&self, now: Instant) -> bool {
        let stats = self.quic.stats();
        let sample = ConnectionSample {
            asked: stats.frame_tx.stream + stats.frame_tx.ping,
            received: stats.udp_rx.datagrams,
        };
        let streams = stats.frame_tx.stream + stats.frame_rx.stream;
        let mut judgement = self.judgement();
        let before = judgement.state;
        judgement.state = judgement.health.observe(now, sample);
        if streams != judgement.streams {
            judgement.streams = streams;
            judgement.used = now;
        }
        if !self.uses.is_empty() {
            judgement.used = now;
        }
        let is_unused = now.saturating_duration_since(judgement.used) >= self.unused_time;
        if is_unused && self.is_dialled() && judgement.retired.replace(now).is_some() {
            // It took nothing new since the look before.
            self.quic.close(CLOSE_UNUSED.into(), b"unused");
        }
        let lingered = judgement
            .retired
            .is_some_and(|retired| now.saturating_duration_since(retired) >= limits::RETIRE_LINGER);
        if lingered && self.uses.is_empty() {
            self.quic.close(CLOSE_REPLACED.into(), b"replaced");
        }
        before == HealthState::Live && judgement.state == HealthState::Suspect
    }

    fn judgement(&self) -> std::sync::MutexGuard<'_, ConnectionJudgement> {
        self.judgement
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Close code of a connection that nobody uses.
const CLOSE_UNUSED: u32 = 4;

/// Close code of a connection that another one has replaced.
const CLOSE_REPLACED: u32 = 1;
