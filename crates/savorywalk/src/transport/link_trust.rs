use std::net::Ipv4Addr;

use super::{PeerName, link_limits as limits};
use crate::prelude::*;

/// Whom a daemon believes to be a peer; see docs/design/platform.md.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkTrust {
    /// The deployment's authority has signed the peer's certificate.
    #[default]
    Certificates,
    /// The network delivers source addresses truthfully: a peer is called by
    /// its address, listens on `port` there, and its packets come from there.
    /// Certificates are made at the start and only encrypt.
    SourceAddress {
        /// UDP port at which every daemon of the deployment takes links.
        port: u16,
    },
}

impl LinkTrust {
    /// Where a peer listens, when its name alone tells.
    pub(super) fn address_of(self, peer: &str) -> Option<SocketAddr> {
        match self {
            Self::Certificates => None,
            Self::SourceAddress { port } => {
                let ip = PeerName::new(peer).ok()?.ip()?;
                Some(SocketAddr::new(ip.into(), port))
            }
        }
    }

    /// Whether a peer that calls itself `name` may come from `source`.
    pub(super) fn admits(self, name: &PeerName, source: SocketAddr) -> bool {
        match self {
            Self::Certificates => true,
            Self::SourceAddress { .. } => name
                .ip()
                .is_some_and(|ip| source.ip() == std::net::IpAddr::V4(ip)),
        }
    }
}

/// Times of a hub's connections; see [`super::link_limits`] for the grounds of
/// the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Pause between a dialler's pings on a quiet connection.
    pub keep_alive: Duration,
    /// Silence after which a connection is given up.
    pub idle_timeout: Duration,
    /// Silence after which a connection is given up that carries a stream of bytes; for calls and
    /// messages it counts as lost after `idle_timeout` all the same.
    pub stream_idle_timeout: Duration,
    /// Longest handshake.
    pub handshake_timeout: Duration,
    /// Longest pause between dials.
    pub max_dial_backoff: Duration,
    /// Round trip expected before one is measured; packets of a handshake
    /// that are lost are sent again after three of these.
    pub initial_round_trip: Duration,
    /// Quiet time after which a dialled connection is closed.
    pub unused_time: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            keep_alive: limits::KEEP_ALIVE,
            idle_timeout: limits::IDLE_TIMEOUT,
            stream_idle_timeout: limits::IDLE_TIMEOUT,
            handshake_timeout: limits::HANDSHAKE_TIMEOUT,
            max_dial_backoff: limits::MAX_DIAL_BACKOFF,
            initial_round_trip: limits::INITIAL_ROUND_TRIP,
            unused_time: limits::UNUSED_TIME,
        }
    }
}

impl LinkTiming {
    /// Whether a connection with a stream of bytes outlives the idle timeout.
    pub(super) fn keeps_streams(&self) -> bool {
        self.stream_idle_timeout > self.idle_timeout
    }

    /// For VMs of one region, where a change must be known everywhere within
    /// two seconds although links are cut and healed: a silent path is given
    /// up and dialled afresh well within that time.
    pub fn regional() -> Self {
        Self {
            keep_alive: Duration::from_millis(250),
            idle_timeout: Duration::from_millis(1_100),
            stream_idle_timeout: Duration::from_millis(1_100),
            handshake_timeout: Duration::from_millis(800),
            max_dial_backoff: Duration::from_millis(400),
            initial_round_trip: Duration::from_millis(15),
            unused_time: limits::UNUSED_TIME,
        }
    }

    /// For links from many entries to the few that work for all of them: each is used every
    /// some seconds, and hundreds of links that are kept alive meanwhile cost more than new
    /// ones. They also carry the connections that entries relay for each other, which outlive
    /// the silence of a suspended process; see docs/design/stalled-calls.md.
    pub fn occasional() -> Self {
        Self {
            keep_alive: Duration::from_millis(400),
            idle_timeout: Duration::from_millis(1_500),
            stream_idle_timeout: limits::STREAM_IDLE_TIMEOUT,
            unused_time: Duration::from_secs(4),
            ..Self::regional()
        }
    }
}

impl PeerName {
    /// The name of a daemon that is known by its address alone.
    pub fn from_ip(ip: Ipv4Addr) -> Self {
        let [a, b, c, d] = ip.octets();
        // Digits and dashes always make a good label.
        Self::from_label(&format!("{a}-{b}-{c}-{d}"))
    }

    /// The address that the name spells, if it spells one.
    pub fn ip(&self) -> Option<Ipv4Addr> {
        self.as_str().replace('-', ".").parse().ok()
    }
}
