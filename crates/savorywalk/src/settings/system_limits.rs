use nix::sys::resource::{Resource, getrlimit};
use nix::sys::sysinfo::sysinfo;

/// Most that is taken from the system without being named in the settings: that of a usual VM. A
/// machine may be shared by more than this daemon.
const MAX_MEMORY_MB: u32 = 256;
const MAX_DESCRIPTORS: u32 = 4_096;

/// What the system gives to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SystemLimits {
    /// Memory, in MiB.
    pub(super) memory_mb: u32,
    /// Open descriptors.
    pub(super) descriptors: u32,
}

impl SystemLimits {
    /// Reads the limits; those of a usual VM if the system does not tell.
    pub(super) fn read() -> Self {
        let memory = sysinfo().map(|info| info.ram_total() >> 20);
        let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
        Self::capped(memory.unwrap_or(u64::MAX), descriptors.unwrap_or(u64::MAX))
    }

    fn capped(memory_mb: u64, descriptors: u64) -> Self {
        let cap =
            |value: u64, most: u32| u32::try_from(value).map_or(most, |value| value.min(most));
        Self {
            memory_mb: cap(memory_mb, MAX_MEMORY_MB),
            descriptors: cap(descriptors, MAX_DESCRIPTORS),
        }
    }
}

#[cfg(test)]
#[path = "system_limits_tests.rs"]
mod tests;
