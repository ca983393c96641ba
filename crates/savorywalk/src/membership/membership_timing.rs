use crate::prelude::*;

/// Intervals and limits of the membership protocol. The measurements behind the defaults are in
/// docs/measurements/membership.md.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Time between two probes of a neighbour in the region.
    pub probe_interval: Duration,
    /// Time without an answer to a direct probe until indirect probes are requested.
    pub probe_timeout: Duration,
    /// Consecutive probe rounds without an answer until a neighbour is suspected.
    pub missed_rounds: u32,
    /// Time in which a suspect must refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two probes of another region by a bridge.
    pub bridge_interval: Duration,
    /// Time between two probes of dead members of the region.
    pub dead_interval: Duration,
    /// Shortest time between two requests to a seed while a member is alone or new.
    pub join_interval: Duration,
    /// Time after its start in which a member counts as new.
    pub join_time: Duration,
    /// Shortest time between two requests to a seed afterwards.
    pub seed_interval: Duration,
    /// Shortest time between two comparisons of records with other members.
    pub sync_interval: Duration,
    /// Time for which the record of a member is kept after it died or left.
    pub retention: Duration,
    /// Number of neighbours that each member probes and sends updates to.
    pub fan_out: usize,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(1_500),
            probe_timeout: Duration::from_millis(400),
            missed_rounds: 2,
            suspicion_timeout: Duration::from_secs(3),
            bridge_interval: Duration::from_secs(2),
            dead_interval: Duration::from_secs(10),
            join_interval: Duration::from_secs(1),
            join_time: Duration::from_secs(5),
            seed_interval: Duration::from_secs(600),
            sync_interval: Duration::from_secs(2),
            retention: Duration::from_secs(24 * 60 * 60),
            fan_out: 2,
        }
    }
}
