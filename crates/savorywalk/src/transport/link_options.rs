use std::net::SocketAddrV4;

use super::link_limits::DEFAULT_BUDGET;
use super::{CertificateFiles, InvalidPeerName, LinkTiming, LinkTrust, PeerName, parse_peers};
use crate::prelude::*;
use crate::settings::LinkSettings;

/// Pause between looks at the certificate files, when the settings give none.
const DEFAULT_RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// How a hub is to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Name of this daemon; its certificate must hold it.
    pub name: PeerName,
    /// UDP address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Who this daemon is and whom it believes, under
    /// [`LinkTrust::Certificates`]; else not read.
    pub files: CertificateFiles,
    /// Whom this daemon believes to be a peer.
    pub trust: LinkTrust,
    /// Times of the connections.
    pub timing: LinkTiming,
    /// Peers known from the start.
    pub peers: BTreeMap<PeerName, SocketAddr>,
    /// Budget for control traffic, in bytes a second.
    pub budget: u32,
    /// Pause between looks at the certificate files.
    pub reload_interval: Duration,
}

impl LinkOptions {
    /// Options for a deployment without keys, whose daemons are known by
    /// their addresses; the port is the same everywhere.
    pub fn by_address(address: SocketAddrV4, budget: u32) -> Self {
        Self {
            name: PeerName::from_ip(*address.ip()),
            address: address.into(),
            files: CertificateFiles::default(),
            trust: LinkTrust::SourceAddress {
                port: address.port(),
            },
            timing: LinkTiming::regional(),
            peers: BTreeMap::new(),
            budget,
            reload_interval: DEFAULT_RELOAD_INTERVAL,
        }
    }

    /// Options for links that are used now and then, between daemons that are known by their
    /// addresses alone.
    pub fn occasional(address: SocketAddrV4, budget: u32) -> Self {
        Self {
            timing: LinkTiming::occasional(),
            ..Self::by_address(address, budget)
        }
    }

    /// Options for a second hub of the daemon at `address`, which only dials: it takes
    /// any free port.
    pub fn dialler(address: SocketAddrV4, budget: u32) -> Self {
        Self {
            address: SocketAddrV4::new(*address.ip(), 0).into(),
            ..Self::by_address(address, budget)
        }
    }

    /// Reads the options of the daemon `name` from its settings.
    pub fn from_settings(name: &str, settings: &LinkSettings) -> Result<Self, InvalidPeerName> {
        let address = settings.address.parse();
        let reload_interval = match settings.reload_interval_ms {
            0 => DEFAULT_RELOAD_INTERVAL,
            given => Duration::from_millis(given.into()),
        };
        let budget = match settings.budget_bytes_per_second {
            0 => DEFAULT_BUDGET,
            given => given,
        };
        Ok(Self {
            name: PeerName::new(name)?,
            address: address.map_err(|_| InvalidPeerName::Address(settings.address.clone()))?,
            files: CertificateFiles {
                certificate: settings.certificate.clone().into(),
                key: settings.key.clone().into(),
                authority: settings.authority.clone().into(),
            },
            trust: LinkTrust::Certificates,
            timing: LinkTiming::default(),
            peers: parse_peers(&settings.seeds)?,
            budget,
            reload_interval,
        })
    }
}
