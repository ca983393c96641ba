use std::sync::Mutex;

use tokio::sync::watch;

use super::connection_health::{ConnectionHealth, ConnectionSample, HealthState};
use super::connection_silence::ConnectionSilence;
use super::connection_uses::{ConnectionUse, ConnectionUses};
use super::{LinkTiming, link_limits as limits};
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
    timing: LinkTiming,
    uses: Arc<ConnectionUses>,
    judgement: Mutex<ConnectionJudgement>,
    /// Whether nothing was received for the idle timeout.
    silent: watch::Sender<bool>,
    /// The socket of its own, for a connection dialled past a silent one.
    _socket: Option<quinn::Endpoint>,
}

#[derive(Debug)]
struct ConnectionJudgement {
    health: ConnectionHealth,
    state: HealthState,
    silence: ConnectionSilence,
    /// For how long it was silent by the last look.
    silent_for: Duration,
    /// Since when its peer answers on another one, and for how long it was silent by then.
    outlived: Option<(Instant, Duration)>,
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
        timing: LinkTiming,
    ) -> Arc<Self> {
        Arc::new(Self {
            quic,
            origin,
            opened: now,
            timing,
            uses: Arc::default(),
            silent: watch::Sender::default(),
            judgement: Mutex::new(ConnectionJudgement {
                health: ConnectionHealth::default(),
                state: HealthState::Live,
                silence: ConnectionSilence::new(now),
                silent_for: Duration::ZERO,
                outlived: None,
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

    /// Whether it takes calls and messages: it is open, neither retired nor silent for the idle
    /// timeout.
    pub(super) fn is_usable(&self) -> bool {
        self.is_open() && !self.is_retired() && !*self.silent.borrow()
    }

    /// Completes once nothing was received for the idle timeout.
    pub(super) async fn until_silent(&self) {
        let mut silent = self.silent.subscribe();
        if silent.wait_for(|is_silent| *is_silent).await.is_err() {
            std::future::pending::<()>().await;
        }
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

    /// Closes a silent connection whose peer answers on another one: what lies between the two
    /// ends has lost track of it. It is first left silent for as long again as it was by then:
    /// its probes back off exponentially, so one of them has been sent in that time.
    pub(super) fn close_if_lost(&self, now: Instant, is_peer_live: bool) {
        let mut judgement = self.judgement();
        if !*self.silent.borrow() || !is_peer_live {
            judgement.outlived = None;
            return;
        }
        let silent_for = judgement.silent_for;
        let (since, silence) = *judgement.outlived.get_or_insert((now, silent_for));
        if now.saturating_duration_since(since) >= silence {
            self.quic.close(CLOSE_SILENT.into(), b"silent");
        }
    }

    /// Gives it no more work; it closes after a linger, once nothing is in progress on it.
    pub(super) fn retire(&self, now: Instant) {
        self.judgement().retired.get_or_insert(now);
    }

    /// Reads the counters; tells whether the connection has become suspect, and closes it when
    /// its linger is over or its peer is silent, but not under a stream in progress. That stream
    /// has an owner, who gives it up once there is something better.
    pub(super) fn inspect(&self, now: Instant) -> bool {
        let stats = self.quic.stats();
        let sample = ConnectionSample {
            asked: stats.frame_tx.stream + stats.frame_tx.ping,
            received: stats.udp_rx.datagrams,
        };
        let streams = stats.frame_tx.stream + stats.frame_rx.stream;
        let mut judgement = self.judgement();
        let before = judgement.state;
        judgement.silent_for = judgement.silence.observe(now, sample.received);
        // Elsewhere the connection's own idle timeout ends it.
        let is_silent =
            self.timing.keeps_streams() && judgement.silent_for >= self.timing.idle_timeout;
        judgement.state = judgement.health.observe(now, sample);
        if streams != judgement.streams {
            judgement.streams = streams;
            judgement.used = now;
        }
        if !self.uses.is_empty() {
            judgement.used = now;
        }
        let is_unused = now.saturating_duration_since(judgement.used) >= self.timing.unused_time;
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
        if is_silent && self.uses.count(ConnectionUse::Stream) == 0 {
            self.quic.close(CLOSE_SILENT.into(), b"silent");
        }
        self.silent.send_if_modified(|before| {
            let is_new = *before != is_silent;
            *before = is_silent;
            is_new
        });
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

/// Close code of a connection whose peer is silent.
const CLOSE_SILENT: u32 = 5;
