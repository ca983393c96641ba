use crate::prelude::*;

/// Longest lease that is spread: an endpoint whose leaving notice was lost with
/// the only entry that had it gets no new work after this time anywhere.
pub const MAX_SPREAD_LEASE: Duration = Duration::from_millis(2_900);

/// Intervals and bounds of the directory's spreading; docs/design/directory.md
/// has the arithmetic.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryTiming {
    /// Entries of the region to which each entry passes on what is new.
    pub fan_out: usize,
    /// How often it does.
    pub spread_interval: Duration,
    /// Without any message of the region for so long, this entry's view may be
    /// stale, and it asks others for theirs.
    pub stale_after: Duration,
    /// How often it asks.
    pub refresh_interval: Duration,
    /// With less of a lease left, its renewal is asked for.
    pub lapsing: Duration,
    /// How often renewals are asked for.
    pub lapsing_interval: Duration,
    /// How often one entry of a region tells its totals to the other regions.
    pub totals_interval: Duration,
    /// How long totals of another region are good.
    pub totals_lifetime: Duration,
    /// Longest time between two reports of usage; fewer entries report sooner.
    pub usage_interval: Duration,
    /// Bytes that this entry may send each second on average.
    pub bytes_per_second: u32,
    /// Bytes that it may send at once, such as to an entry that starts.
    pub burst_bytes: u32,
}

impl Default for DirectoryTiming {
    fn default() -> Self {
        Self {
            fan_out: 2,
            spread_interval: Duration::from_millis(200),
            stale_after: Duration::from_millis(800),
            refresh_interval: Duration::from_millis(400),
            lapsing: Duration::from_millis(1_000),
            lapsing_interval: Duration::from_millis(200),
            totals_interval: Duration::from_secs(30),
            totals_lifetime: Duration::from_secs(120),
            usage_interval: Duration::from_secs(15),
            bytes_per_second: 8_000,
            burst_bytes: 128_000,
        }
    }
}
