use std::time::Duration;

/// How a stand-in announces itself, with the lags that real endpoints have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncementOptions {
    /// Time between announcements.
    pub interval: Duration,
    /// How long an announcement is good for.
    pub lease: Duration,
    /// Age of the load in an announcement.
    pub load_lag: Duration,
    /// Age of the cache events in an announcement.
    pub cache_lag: Duration,
    /// Every how many cache events one is lost; 0 loses none.
    pub cache_gap: u32,
}

impl Default for AnnouncementOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            lease: Duration::from_secs(3),
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gap: 0,
        }
    }
}
