use crate::prelude::*;

/// Interval at which the lateness of a timer is measured. Each measurement wakes the process,
/// which must cost a small entry next to nothing.
pub(in crate::gateway) const METER_INTERVAL: Duration = Duration::from_millis(250);

/// Mean lateness above which an entry falls behind. A process that uses up its processor time
/// waits for the next period of its limit, which is usually 100 ms; more than that, again and
/// again, means that work is waiting.
const LATE: Duration = Duration::from_millis(150);

/// Mean lateness below which an entry keeps up.
const CALM: Duration = Duration::from_millis(40);

/// Part of a new measurement in the mean, which then covers about a second.
const MEAN_SHARE: f64 = 0.25;

/// Time for which an entry must be late before it reports less: longer than a burst that its own
/// requests cause, shorter than what callers wait for.
const LATE_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time between two changes, and between a gain of shards and reporting less. Work that
/// has just moved must not move on because it arrived all at once.
const MIN_CHANGE_PAUSE: Duration = Duration::from_secs(5);

/// Time for which an entry must keep up before it reports more.
const CALM_TIME: Duration = Duration::from_secs(20);

/// Longest [`CALM_TIME`] after repeated steps down.
const MAX_CALM_TIME: Duration = Duration::from_secs(320);

/// Steps of a factor of two down to the least that is reported, an eighth.
const MAX_STEPS: u32 = 3;

/// Decides how much of its capacity an entry reports, by how late its timer is: less soon after it
/// falls behind, so that other entries coordinate its shards, and more slowly.
///
/// An entry that is late again after it reported more gets twice as long to prove that it keeps up.
/// Otherwise an entry that is too slow for its shards would lose and regain them for ever.
#[derive(Debug)]
pub(in crate::gateway) struct CapacityMeter {
    /// Mean lateness in seconds.
    mean: f64,
    /// Steps of a factor of two by which less is reported.
    steps: u32,
    late_since: Option<Instant>,
    calm_since: Option<Instant>,
    /// Whether more was reported since the last step down.
    has_reported_more: bool,
    /// Time for which the entry must keep up before it reports more.
    calm_time: Duration,
    /// Time before which nothing changes.
    held_until: Option<Instant>,
}

impl Default for CapacityMeter {
    fn default() -> Self {
        Self {
            mean: 0.0,
            steps: 0,
            late_since: None,
            calm_since: None,
            has_reported_more: false,
            calm_time: CALM_TIME,
            held_until: None,
        }
    }
}

impl CapacityMeter {
    /// Steps of a factor of two by which less is reported now.
    pub(in crate::gateway) fn steps(&self) -> u32 {
        self.steps
    }

    /// Records how much later than set a timer went off. Returns the steps of a factor of two
    /// by which less is to be reported, if these change now.
    pub(in crate::gateway) fn record(&mut self, now: Instant, lateness: Duration) -> Option<u32> {
        self.mean += MEAN_SHARE * (lateness.as_secs_f64() - self.mean);
        let is_late = self.mean >= LATE.as_secs_f64();
        let is_calm = self.mean < CALM.as_secs_f64();
        self.late_since = is_late.then(|| self.late_since.unwrap_or(now));
        self.calm_since = is_calm.then(|| self.calm_since.unwrap_or(now));
        if self.held_until.is_some_and(|until| now < until) {
            return None;
        }
        let has_lasted = |since: Option<Instant>, time| since.is_some_and(|at| now >= at + time);
        if has_lasted(self.late_since, LATE_TIME) && self.steps < MAX_STEPS {
            if std::mem::take(&mut self.has_reported_more) {
                self.calm_time = (self.calm_time * 2).min(MAX_CALM_TIME);
            }
            return Some(self.change(now, self.steps + 1));
        }
        if has_lasted(self.calm_since, self.calm_time) && self.steps > 0 {
            self.has_reported_more = true;
            return Some(self.change(now, self.steps - 1));
        }
        None
    }

    /// Records that this entry has become the coordinator of another shard.
    pub(in crate::gateway) fn record_gain(&mut self, now: Instant) {
        self.held_until = Some(now + MIN_CHANGE_PAUSE);
    }

    fn change(&mut self, now: Instant, steps: u32) -> u32 {
        self.steps = steps;
        self.late_since = None;
        self.calm_since = None;
        self.held_until = Some(now + MIN_CHANGE_PAUSE);
        steps
    }
}

#[cfg(test)]
#[path = "capacity_meter_tests.rs"]
mod tests;
