use super::ConfigurationSnapshot;
use crate::prelude::*;

/// The configuration in force at this process.
///
/// The request path reads it without a lock; a version is never replaced by
/// an older one, whoever offers it.
#[derive(Debug)]
pub struct ConfigurationCell {
    current: ArcSwap<ConfigurationSnapshot>,
}

impl ConfigurationCell {
    /// A cell that starts with `snapshot`.
    pub fn new(snapshot: ConfigurationSnapshot) -> Self {
        Self {
            current: ArcSwap::from_pointee(snapshot),
        }
    }

    /// The snapshot in force; a request keeps the one it began with.
    pub fn load(&self) -> Arc<ConfigurationSnapshot> {
        self.current.load_full()
    }

    /// Puts `snapshot` in force if it is newer; tells whether it was.
    pub fn advance(&self, snapshot: ConfigurationSnapshot) -> bool {
        let offered = Arc::new(snapshot);
        let previous = self.current.rcu(|current| {
            if offered.version > current.version {
                Arc::clone(&offered)
            } else {
                Arc::clone(current)
            }
        });
        offered.version > previous.version
    }
}

#[cfg(test)]
#[path = "configuration_cell_tests.rs"]
mod tests;
