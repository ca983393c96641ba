use std::sync::RwLock;

use super::PeerName;
use crate::prelude::*;

/// Where each peer listens; membership keeps it current.
#[derive(Debug, Default)]
pub struct AddressBook {
    addresses: RwLock<FastMap<PeerName, SocketAddr>>,
}

impl AddressBook {
    /// Sets or replaces the address of `peer`.
    pub fn set(&self, peer: PeerName, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.insert(peer, address);
    }

    /// Forgets `peer`; its open connections stay.
    pub fn remove(&self, peer: &str) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.remove(peer);
    }

    /// The address of `peer`, when it is known.
    pub fn get(&self, peer: &str) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(|poison| poison.into_inner());
        addresses.get(peer).copied()
    }
}
