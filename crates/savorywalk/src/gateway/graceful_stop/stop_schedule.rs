use tokio::sync::watch;

use crate::prelude::*;

/// Part of the stop time, in thousandths, after which a request that was sent to no
/// endpoint is refused: its caller then has time left to use another daemon.
const UNSENT_PERMILLE: u32 = 600;

/// Part of the stop time, in thousandths, after which a request whose endpoint has not
/// begun to answer is refused.
const SENT_PERMILLE: u32 = 900;

/// Deadlines by which a stopping daemon answers the requests that it can't finish. Without
/// an answer a caller would see its connection close when the process ends.
#[derive(Debug, Default)]
pub(in crate::gateway) struct StopSchedule {
    stop: watch::Sender<Option<StopTimes>>,
}

#[derive(Clone, Copy, Debug)]
struct StopTimes {
    unsent: Instant,
    sent: Instant,
}

impl StopSchedule {
    /// Starts the schedule of a daemon that has begun to stop and ends after `stop_time`.
    pub(in crate::gateway) fn begin(&self, now: Instant, stop_time: Duration) {
        self.stop.send_replace(Some(StopTimes {
            unsent: now + stop_time * UNSENT_PERMILLE / 1_000,
            sent: now + stop_time * SENT_PERMILLE / 1_000,
        }));
    }

    /// Whether the daemon is stopping.
    pub(in crate::gateway) fn has_begun(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Waits until requests that no endpoint can have run must be refused.
    pub(in crate::gateway) async fn until_unsent_refused(&self) {
        self.wait_for(|times| times.unsent).await;
    }

    /// Waits until requests whose endpoint has not begun to answer must be refused.
    pub(in crate::gateway) async fn until_sent_answered(&self) {
        self.wait_for(|times| times.sent).await;
    }

    async fn wait_for(&self, deadline_of: impl Fn(&StopTimes) -> Instant) {
        let mut stop = self.stop.subscribe();
        let begun = stop.wait_for(Option::is_some).await;
        let times = begun.map(|times| *times);
        match times {
            Ok(Some(times)) => tokio::time::sleep_until(deadline_of(&times).into()).await,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}

#[cfg(test)]
#[path = "stop_schedule_tests.rs"]
mod tests;
