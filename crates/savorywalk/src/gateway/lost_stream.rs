use super::forward_run::ForwardRun;
use super::stalled_calls::{ReplacementChance, SearchDelay};
use crate::prelude::*;

/// How a wait between two searches ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchWait {
    /// The next search may begin.
    Over,
    /// The request was quarantined, or this entry answers no more requests.
    Ended,
}

/// Streams whose endpoint is lost, and that another one has not resumed yet.
impl ForwardRun {
    /// Waits after a refusal until the stream can probably be resumed. Returns false, at once if that
    /// is known, when it can't be: no send or endpoint is left, its time is over, it is quarantined, or
    /// this entry stops.
    pub(super) async fn await_resume_chance(&self, delay: &mut SearchDelay) -> bool {
        let mut wait = delay.after_refusal();
        while self.may_be_resumed() {
            match self.wait_for_search(wait).await {
                SearchWait::Over => {}
                SearchWait::Ended => return false,
            }
            wait = match self.find_resume_chance() {
                ReplacementChance::Likely => return true,
                ReplacementChance::NoEndpoint => SearchDelay::AFTER_NONE,
                ReplacementChance::Denied => delay.after_refusal(),
            };
        }
        false
    }

    /// Whether the stream may be resumed now or later.
    fn may_be_resumed(&self) -> bool {
        self.has_send_left() && self.has_endpoint_left() && !self.is_quarantined()
    }

    fn is_quarantined(&self) -> bool {
        self.node.quarantine_list().find(&self.identity).is_some()
    }

    fn find_resume_chance(&self) -> ReplacementChance {
        match self.has_endpoint_now() {
            false => ReplacementChance::NoEndpoint,
            true if self.may_send_again() => ReplacementChance::Likely,
            true => ReplacementChance::Denied,
        }
    }

    async fn wait_for_search(&self, wait: Duration) -> SearchWait {
        let next_search = Instant::now() + wait;
        let wake_at = next_search.min(self.context.deadline).into();
        tokio::select! {
            biased;
            () = self.node.until_quarantined(&self.identity) => SearchWait::Ended,
            () = self.node.stop.until_sent_answered() => SearchWait::Ended,
            () = tokio::time::sleep_until(wake_at) => SearchWait::Over,
        }
    }
}
