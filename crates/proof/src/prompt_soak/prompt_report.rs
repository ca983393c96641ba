use savorywalk::prelude::*;

/// Most requests with the crashing part that may reach engines once all gateways know it.
const MAX_FURTHER_SENDS: usize = 3;

/// What a run has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptReport {
    /// Engines that have crashed.
    pub crashes: usize,
    /// Whether every gateway has found the crashing part.
    pub is_found: bool,
    /// Requests with the crashing part that reached engines under faults, and afterwards.
    pub sends: usize,
    /// Those that reached engines after the faults.
    pub further_sends: usize,
    /// Sound requests that were served under faults.
    pub served: usize,
    /// Sound requests that were refused because of a quarantine.
    pub blamed: usize,
    /// Sound requests after the faults, and how many of them were served.
    pub final_requests: usize,
    /// Those that were served.
    pub final_served: usize,
}

impl PromptReport {
    /// Whether the crashing part was found, stays out, and sound requests go on, at least half of
    /// them, by the users' rule.
    pub fn is_sound(&self) -> bool {
        self.is_found
            && self.further_sends <= MAX_FURTHER_SENDS
            && self.blamed <= self.served
            && self.final_served * 2 >= self.final_requests
    }
}

impl fmt::Display for PromptReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} engines crashed, part found {}, {} sends under faults and {} after; sound requests: \
             {} served and {} blamed under faults, {} of {} served after",
            self.crashes,
            self.is_found,
            self.sends,
            self.further_sends,
            self.served,
            self.blamed,
            self.final_served,
            self.final_requests
        )
    }
}
