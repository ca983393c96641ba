/// Endpoint time that one entry gave one workspace at one pool since its last
/// report.
///
/// Reports are increments: they add up, and a receiver gets each one once or
/// not at all. An entry sends the heaviest few of all that it has gathered;
/// the rest goes on gathering until it is among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkspaceUsage {
    /// The pool, by [`WorkspaceUsage::key`] of its name.
    pub pool: u32,
    /// The workspace, by [`WorkspaceUsage::key`] of its name.
    pub workspace: u32,
    /// Endpoint time, in microseconds.
    pub endpoint_micros: u64,
}

impl WorkspaceUsage {
    /// Names a pool or a workspace in four bytes; every entry knows all names
    /// from the configuration and so finds it back.
    pub fn key(name: &str) -> u32 {
        crc32c::crc32c(name.as_bytes())
    }
}
