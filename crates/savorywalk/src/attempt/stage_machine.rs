use super::attempt_track::{AttemptState, AttemptTrack, EventPosition};
use super::{
    AttemptError, AttemptEvent, LaunchKind, PoolBudgets, StageAction, StageEnd, StageEvent,
    StageReply, TokenEvent,
};
use crate::prelude::*;

/// Maximum number of times that the work of a stage is started, hedges included.
const MAX_STARTS: usize = 3;
/// Maximum number of times that streams of a stage are resumed.
const MAX_RESUMES: usize = 4;

/// Constraints on the attempts of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRules {
    /// False when the stage may run at most once.
    pub idempotent: bool,
    /// True when text is sent to the caller as it arrives, and so can't be
    /// replaced by that of a retry.
    pub streams_text: bool,
}

/// Counters of a stage's attempts and dropped events, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// New attempts after a failure or a stall.
    pub retries: u32,
    /// Attempts in parallel with a slow one.
    pub hedges: u32,
    /// Streams that were resumed.
    pub resumes: u32,
    /// Times that an attempt exceeded its limit for time without progress.
    pub stalls: u32,
    /// Events dropped because their attempt or the stage had already ended.
    pub late: u32,
    /// Events dropped as duplicates.
    pub duplicates: u32,
}

/// State machine that decides on all attempts of one stage of one request.
///
/// It guarantees:
/// - The stage has at most one result, from an attempt that is still running.
/// - A stage that may run once is restarted only on proof that nothing ran.
/// - The text sent to the caller is a prefix of the text in the result.
#[derive(Debug)]
pub struct StageMachine {
    rules: StageRules,
    tracks: Vec<AttemptTrack>,
    /// Text already sent to the caller.
    sent_text: String,
    /// First error of an attempt that may have run.
    uncertain_error: Option<AttemptError>,
    last_error: Option<AttemptError>,
    finished: bool,
    counts: StageCounts,
}

impl StageMachine {
    /// Creates the state machine of one stage.
    pub fn new(rules: StageRules) -> Self {
        Self {
            rules,
            tracks: Vec::new(),
            sent_text: String::new(),
            uncertain_error: None,
            last_error: None,
            finished: false,
            counts: StageCounts::default(),
        }
    }

    /// Returns the action that starts the first attempt.
    pub fn start(&mut self) -> StageAction {
        self.launch(AttemptTrack::new(LaunchKind::First))
    }

    /// Counters up to now.
    pub fn counts(&self) -> StageCounts {
        self.counts
    }

    /// Handles an event and returns the actions that follow, in order. `budgets`
    /// are those of the stage's pool.
    pub fn handle(
        &mut self,
        now: Instant,
        event: StageEvent,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        match event {
            StageEvent::Attempt(attempt, event) => {
                self.handle_attempt(now, attempt, event, budgets)
            }
            StageEvent::HedgeDue => self.hedge(now, budgets).into_iter().collect(),
            StageEvent::DeadlinePassed => self.expire(),
        }
    }

    fn handle_attempt(
        &mut self,
        now: Instant,
        attempt: u16,
        event: AttemptEvent,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        let state = self.track(attempt).state;
        match state {
            AttemptState::Running if !self.finished => {}
            AttemptState::Succeeded => {
                self.counts.duplicates += 1;
                return Vec::new();
            }
            AttemptState::Running
            | AttemptState::Unsent
            | AttemptState::Failed
            | AttemptState::Abandoned => {
                self.counts.late += 1;
                return Vec::new();
            }
        }
        match event {
            AttemptEvent::NoEndpoint => self.handle_no_endpoint(attempt),
            AttemptEvent::StreamNamed(stream) => {
                self.track_mut(attempt).set_stream(stream);
                Vec::new()
            }
            AttemptEvent::Token(token_event) => {
                self.handle_token_event(now, attempt, token_event, budgets)
            }
            AttemptEvent::StreamEnded(tokens) => self.end_stream(now, attempt, tokens, budgets),
            AttemptEvent::Answered(reply) => self.succeed(attempt, reply, budgets),
            AttemptEvent::Failed(error) => self.fail(now, attempt, error, budgets),
            AttemptEvent::Stalled => self.stall(now, attempt, budgets),
        }
    }

    fn track(&self, attempt: u16) -> &AttemptTrack {
        &self.tracks[usize::from(attempt)]
    }

    fn track_mut(&mut self, attempt: u16) -> &mut AttemptTrack {
        &mut self.tracks[usize::from(attempt)]
    }

    fn launch(&mut self, track: AttemptTrack) -> StageAction {
        let attempt = self.tracks.len() as u16;
        let kind = track.kind.clone();
        match &kind {
            LaunchKind::First => {}
            LaunchKind::Retry => self.counts.retries += 1,
            LaunchKind::Hedge => self.counts.hedges += 1,
            LaunchKind::Resume(_) => self.counts.resumes += 1,
        }
        self.tracks.push(track);
        StageAction::Launch(attempt, kind)
    }

    fn is_running(&self) -> bool {
        self.tracks.iter().any(AttemptTrack::is_running)
    }

    /// Whether any running attempt has not stalled.
    fn is_progressing(&self) -> bool {
        let mut tracks = self.tracks.iter();
        tracks.any(|track| track.is_running() && !track.stalled)
    }

    fn handle_no_endpoint(&mut self, attempt: u16) -> Vec<StageAction> {
        self.track_mut(attempt).state = AttemptState::Unsent;
        if self.is_running() {
            return Vec::new();
        }
        vec![self.finish_failed()]
    }

    fn handle_token_event(
        &mut self,
        now: Instant,
        attempt: u16,
        token_event: TokenEvent,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        let track = self.track_mut(attempt);
        let expected = track.events;
        match track.classify_event(token_event.offset) {
            EventPosition::Next => {}
            EventPosition::Duplicate => {
                self.counts.duplicates += 1;
                return Vec::new();
            }
            EventPosition::Gap => {
                let error = AttemptError::Cut(format!("token event {expected} is missing"));
                return self.fail(now, attempt, error, budgets);
            }
            EventPosition::MissingOffset => {
                let error = AttemptError::Unreadable("a resumed stream names no offset".into());
                return self.fail(now, attempt, error, budgets);
            }
        }
        let before = track.text.len();
        track.events += 1;
        track.stalled = false;
        track.text.push_str(&token_event.text);
        if !self.rules.streams_text {
            return self.cancel_others(attempt);
        }
        let text = &self.tracks[usize::from(attempt)].text;
        let overlap = before..self.sent_text.len().min(text.len()).max(before);
        if text.as_bytes()[overlap.clone()] != self.sent_text.as_bytes()[overlap] {
            return self.fail(now, attempt, AttemptError::Diverged, budgets);
        }
        let Some(new_text) = text
            .get(self.sent_text.len()..)
            .filter(|new_text| !new_text.is_empty())
        else {
            return Vec::new();
        };
        let new_text = new_text.to_string();
        self.sent_text.push_str(&new_text);
        let mut actions = self.cancel_others(attempt);
        actions.push(StageAction::SendText(new_text));
        actions
    }

    fn end_stream(
        &mut self,
        now: Instant,
        attempt: u16,
        tokens: u64,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        let track = self.track_mut(attempt);
        let text = std::mem::take(&mut track.text);
        if self.rules.streams_text && text.len() < self.sent_text.len() {
            return self.fail(now, attempt, AttemptError::Diverged, budgets);
        }
        self.succeed(attempt, StageReply::Text { text, tokens }, budgets)
    }

    fn succeed(
        &mut self,
        attempt: u16,
        reply: StageReply,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        budgets.deposit();
        let mut actions = self.cancel_others(attempt);
        self.track_mut(attempt).state = AttemptState::Succeeded;
        self.finished = true;
        actions.push(StageAction::Finish(StageEnd::Answered { attempt, reply }));
        actions
    }

    fn cancel_others(&mut self, attempt: u16) -> Vec<StageAction> {
        let mut actions = Vec::new();
        for (number, track) in (0_u16..).zip(&mut self.tracks) {
            if number != attempt && track.is_running() {
                track.state = AttemptState::Abandoned;
                actions.push(StageAction::Cancel(number));
            }
        }
        actions
    }

    fn fail(
        &mut self,
        now: Instant,
        attempt: u16,
        error: AttemptError,
        budgets: &mut PoolBudgets,
    ) -> Vec<StageAction> {
        let track = self.track_mut(attempt);
        track.state = AttemptState::Failed;
        // The error of a resume does not prove that the resumed work did not run.
        if track.is_resume() || error.not_run().is_none() {
            self.uncertain_error.get_or_insert(error.clone());
        }
        self.last_error = Some(error.clone());
        if self.is_progressing() {
            return Vec::new();
        }
        if let Some(action) = self.resume(attempt, &error) {
            return vec![action];
        }
        if error.is_retryable()
            && let Some(action) = self.retry(now, error.is_unsent(), budgets)
        {
            return vec![action];
        }
        if self.is_running() {
            return Vec::new();
        }
        vec![self.finish_failed()]
    }

    fn stall(&mut self, now: Instant, attempt: u16, budgets: &mut PoolBudgets) -> Vec<StageAction> {
        self.counts.stalls += 1;
        self.track_mut(attempt).stalled = true;
        if self.is_progressing() {
            return Vec::new();
        }
        // The stalled attempt continues in parallel with the new one, as it may
        // only be slow. The first of them to make progress is kept.
        let action = match self.resume(attempt, &AttemptError::TimedOut) {
            Some(action) => {
                self.uncertain_error.get_or_insert(AttemptError::TimedOut);
                Some(action)
            }
            None => self.retry(now, false, budgets),
        };
        action.into_iter().collect()
    }

    fn resume(&mut self, attempt: u16, error: &AttemptError) -> Option<StageAction> {
        let resumes = self.tracks.iter().filter(|track| track.is_resume()).count();
        if resumes >= MAX_RESUMES || !error.may_leave_stream() {
            return None;
        }
        let point = self.track(attempt).resume_point(attempt)?;
        let track = self.track(attempt).resumed(point);
        Some(self.launch(track))
    }

    /// Starts the work again at another endpoint, if rules and budget allow it.
    /// A retry after an unsent attempt needs no budget, because that attempt caused
    /// no load.
    fn retry(
        &mut self,
        now: Instant,
        is_unsent: bool,
        budgets: &mut PoolBudgets,
    ) -> Option<StageAction> {
        let may_retry = self.rules.idempotent || self.not_run();
        let starts = self
            .tracks
            .iter()
            .filter(|track| !track.is_resume())
            .count();
        if !may_retry || starts >= MAX_STARTS {
            return None;
        }
        if !is_unsent && !budgets.retry.try_take(now) {
            return None;
        }
        Some(self.launch(AttemptTrack::new(LaunchKind::Retry)))
    }

    fn hedge(&mut self, now: Instant, budgets: &mut PoolBudgets) -> Option<StageAction> {
        let [only] = self.tracks.as_slice() else {
            return None;
        };
        let is_waiting = only.is_running() && only.text.is_empty() && !only.stalled;
        if self.finished || !self.rules.idempotent || !is_waiting {
            return None;
        }
        if !budgets.hedge.try_take(now) {
            return None;
        }
        Some(self.launch(AttemptTrack::new(LaunchKind::Hedge)))
    }

    fn expire(&mut self) -> Vec<StageAction> {
        if self.finished {
            return Vec::new();
        }
        let error = match self.not_run() {
            true => AttemptError::Expired,
            false => AttemptError::TimedOut,
        };
        let mut actions = Vec::new();
        for (number, track) in (0_u16..).zip(&mut self.tracks) {
            if track.is_running() {
                track.state = AttemptState::Abandoned;
                actions.push(StageAction::Cancel(number));
            }
        }
        self.last_error = Some(error);
        actions.push(self.finish_failed());
        actions
    }

    /// Whether it is proven that no attempt ran.
    fn not_run(&self) -> bool {
        let mut tracks = self.tracks.iter();
        self.uncertain_error.is_none()
            && tracks.all(|track| match track.state {
                AttemptState::Unsent | AttemptState::Failed => true,
                AttemptState::Running | AttemptState::Abandoned | AttemptState::Succeeded => false,
            })
    }

    /// Ends the stage with the last error. A stage that may run once reports the
    /// error of the attempt that may have run instead, if there is one.
    fn finish_failed(&mut self) -> StageAction {
        self.finished = true;
        let not_run = self.not_run();
        let last_error = self.last_error.take();
        let error = match self.rules.idempotent {
            true => last_error,
            false => self.uncertain_error.take().or(last_error),
        };
        StageAction::Finish(StageEnd::Failed { error, not_run })
    }
}

#[cfg(test)]
#[path = "stage_machine_tests.rs"]
mod tests;
