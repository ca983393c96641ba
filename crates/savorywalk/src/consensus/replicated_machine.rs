use crate::prelude::*;

/// What the log's commands act on; the same at every replica.
///
/// A call may depend on nothing but the state and its arguments: no clock, no
/// random source, no order of a hash map.
pub trait ReplicatedMachine: Send + 'static {
    /// Applies the command at `index` and tells its outcome.
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes;

    /// The whole state, as [`ReplicatedMachine::restore`] reads it.
    fn snapshot(&self) -> Bytes;

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// The text says why the state can't be read; the replica then stops.
    fn restore(&mut self, state: &[u8]) -> std::result::Result<(), String>;
}
