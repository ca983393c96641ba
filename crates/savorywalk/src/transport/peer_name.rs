use std::borrow::Borrow;

use crate::prelude::*;

/// Longest name; a DNS label can't be longer, and certificates carry it as one.
const MAX_NAME_BYTES: usize = 63;

/// Name of a daemon, as its certificate states it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerName(Arc<str>);

/// Why a peer can't be named so.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidPeerName {
    /// Not a DNS label.
    #[error("{0:?} can't name a daemon; use at most 63 lower-case letters, digits and `-`")]
    Name(String),
    /// Not a name and an address.
    #[error("{0:?} is no peer; write name=IP:PORT, such as control-1=10.0.0.4:7200")]
    Address(String),
    /// A name stands twice.
    #[error("{0:?} stands twice; give each daemon a name of its own")]
    Doubled(String),
}

impl PeerName {
    /// Checks that `name` can stand in a certificate.
    pub fn new(name: &str) -> std::result::Result<Self, InvalidPeerName> {
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        let length = (1..=MAX_NAME_BYTES).contains(&name.len());
        let edges = name.starts_with('-') || name.ends_with('-');
        if !length || edges || !name.bytes().all(allowed) {
            return Err(InvalidPeerName::Name(name.into()));
        }
        Ok(Self(name.into()))
    }

    pub(super) fn from_label(label: &str) -> Self {
        Self(label.into())
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for PeerName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for PeerName {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PeerName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Reads the `name=IP:PORT` words of a setting.
pub fn parse_peers(
    words: &[String],
) -> std::result::Result<BTreeMap<PeerName, SocketAddr>, InvalidPeerName> {
    let mut peers = BTreeMap::new();
    for word in words {
        let bad = || InvalidPeerName::Address(word.clone());
        let (name, address) = word.split_once('=').ok_or_else(bad)?;
        let name = PeerName::new(name.trim())?;
        let address = address.trim().parse().map_err(|_| bad())?;
        if peers.insert(name, address).is_some() {
            return Err(InvalidPeerName::Doubled(word.clone()));
        }
    }
    Ok(peers)
}

#[cfg(test)]
#[path = "peer_name_tests.rs"]
mod tests;
