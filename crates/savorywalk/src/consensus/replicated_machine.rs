use crate::prelude::*;

/// State machine to which the log's commands are applied, identically at every replica.
///
/// Methods may depend only on the state and their arguments, not on a clock, a
/// random source or the order of a hash map.
pub trait ReplicatedMachine: Send + 'static {
    /// Applies the command at `index` and returns its outcome.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// Encodes the whole state for [`ReplicatedMachine::restore`].
    fn snapshot(&self) -> Bytes;

    /// Replaces the state by one that [`ReplicatedMachine::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns the reason why the state can't be read; the replica then stops.
    fn restore(&mut self, state: &[u8]) -> std::result::Result<(), String>;
}
