use super::{EndpointAnnouncement, endpoint_detail};
use crate::prelude::*;

/// Finds endpoints by the keys of their details.
///
/// A key has 32 bits. Should two endpoints ever share one (three in a million
/// for the 160 endpoints of a region), neither can be renewed by it: the index
/// then finds nobody, and both are spread in full.
#[derive(Debug, Default)]
pub(super) struct KeyIndex {
    names: FastMap<u32, Vec<Arc<str>>>,
    keys: FastMap<Arc<str>, u32>,
}

impl KeyIndex {
    /// Sets the key of an endpoint to that of its newest announcement.
    pub(super) fn set(&mut self, announcement: &EndpointAnnouncement) -> u32 {
        let key = endpoint_detail::key_of(announcement);
        let endpoint = announcement.endpoint.as_str();
        if self.keys.get(endpoint) == Some(&key) {
            return key;
        }
        self.remove(endpoint);
        let name: Arc<str> = endpoint.into();
        self.names.entry(key).or_default().push(Arc::clone(&name));
        self.keys.insert(name, key);
        key
    }

    pub(super) fn remove(&mut self, endpoint: &str) {
        let Some(key) = self.keys.remove(endpoint) else {
            return;
        };
        if let Some(names) = self.names.get_mut(&key) {
            names.retain(|name| **name != *endpoint);
            if names.is_empty() {
                self.names.remove(&key);
            }
        }
    }

    /// The one endpoint of a key.
    pub(super) fn endpoint(&self, key: u32) -> Option<&Arc<str>> {
        match self.names.get(&key).map(Vec::as_slice) {
            Some([name]) => Some(name),
            Some(_) | None => None,
        }
    }

    /// All endpoints of a key.
    pub(super) fn endpoints(&self, key: u32) -> &[Arc<str>] {
        self.names.get(&key).map_or(&[], Vec::as_slice)
    }

    pub(super) fn knows(&self, key: u32) -> bool {
        self.names.contains_key(&key)
    }

    pub(super) fn key(&self, endpoint: &str) -> Option<u32> {
        self.keys.get(endpoint).copied()
    }

    /// Forgets endpoints for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let gone: Vec<Arc<str>> = self
            .keys
            .keys()
            .filter(|name| !keep(name))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name);
        }
    }
}
