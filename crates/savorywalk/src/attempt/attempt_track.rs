use super::{LaunchKind, ResumePoint};

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    Running,
    /// Nothing was sent, because no endpoint was available.
    Unsent,
    Failed,
    /// Cancelled or replaced. Its later events are dropped and counted as late.
    Abandoned,
    Succeeded,
}

/// State of one attempt in the stage machine.
#[derive(Clone, Debug)]
pub(super) struct AttemptTrack {
    pub(super) kind: LaunchKind,
    pub(super) state: AttemptState,
    /// Text received, including that of the stream it resumes.
    pub(super) text: String,
    /// Number of token events received, including those of the stream it resumes.
    pub(super) events: u64,
    stream: Option<String>,
    has_offsets: bool,
    pub(super) stalled: bool,
}

/// Position of a token event after those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventPosition {
    Next,
    Duplicate,
    /// Earlier events are missing.
    Gap,
    /// An event of a resumed stream has no offset, so its position is unknown.
    MissingOffset,
}

impl AttemptTrack {
    pub(super) fn new(kind: LaunchKind) -> Self {
        Self {
            kind,
            state: AttemptState::Running,
            text: String::new(),
            events: 0,
            stream: None,
            has_offsets: true,
            stalled: false,
        }
    }

    /// Returns the initial state of an attempt that resumes this one's stream.
    pub(super) fn resumed(&self, point: ResumePoint) -> Self {
        Self {
            stream: Some(point.stream.clone()),
            text: self.text.clone(),
            events: self.events,
            ..Self::new(LaunchKind::Resume(point))
        }
    }

    pub(super) fn set_stream(&mut self, stream: String) {
        self.stream = Some(stream);
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == AttemptState::Running
    }

    pub(super) fn is_resume(&self) -> bool {
        match self.kind {
            LaunchKind::Resume(_) => true,
            LaunchKind::First | LaunchKind::Retry | LaunchKind::Hedge => false,
        }
    }

    /// Determines the position of a token event with `offset`, and records
    /// whether the engine sends offsets.
    pub(super) fn classify_event(&mut self, offset: Option<u64>) -> EventPosition {
        let Some(offset) = offset else {
            self.has_offsets = false;
            return match self.is_resume() {
                true => EventPosition::MissingOffset,
                false => EventPosition::Next,
            };
        };
        match offset.cmp(&self.events) {
            std::cmp::Ordering::Less => EventPosition::Duplicate,
            std::cmp::Ordering::Equal => EventPosition::Next,
            std::cmp::Ordering::Greater => EventPosition::Gap,
        }
    }

    /// Returns where the stream can be resumed. `None` when the engine can't
    /// resume it, or when this attempt was itself a resume and got no events.
    pub(super) fn resume_point(&self, attempt: u16) -> Option<ResumePoint> {
        if let LaunchKind::Resume(point) = &self.kind
            && point.offset == self.events
        {
            return None;
        }
        let stream = self.stream.clone().filter(|_| self.has_offsets)?;
        Some(ResumePoint {
            attempt,
            stream,
            offset: self.events,
        })
    }
}
