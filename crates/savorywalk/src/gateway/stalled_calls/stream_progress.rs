use crate::prelude::*;

/// Frames of one event from which it is logged that events come in pieces. An event holds a few tokens
/// and usually comes in one frame.
const MIN_LOGGED_FRAMES: u64 = 32;

/// How the body of a stream arrives from one endpoint, as a state machine without I/O.
///
/// Callers wait for events, so bytes that complete none are no progress, however many they are.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct StreamProgress {
    /// When something last arrived that callers get; at first, when the head did.
    progressed: Instant,
    frames: u64,
    /// Frames since the last progress.
    partial_frames: u64,
    /// Whether it was logged that events come in pieces.
    is_logged: bool,
}

/// What a frame of a stream is for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum FrameKind {
    /// The caller gets something with it.
    Progress,
    /// A piece of an event that is not complete yet.
    Partial {
        /// Whether it is to be logged that events come in pieces; once a stream.
        is_due: bool,
    },
}

impl StreamProgress {
    /// Begins with the head of the answer.
    pub(in crate::gateway) fn begin(now: Instant) -> Self {
        Self {
            progressed: now,
            frames: 0,
            partial_frames: 0,
            is_logged: false,
        }
    }

    /// Records a frame, and whether the caller gets something with it.
    pub(in crate::gateway) fn record_frame(
        &mut self,
        now: Instant,
        is_progress: bool,
    ) -> FrameKind {
        self.frames += 1;
        if is_progress {
            self.progressed = now;
            self.partial_frames = 0;
            return FrameKind::Progress;
        }
        self.partial_frames += 1;
        let is_due = self.partial_frames >= MIN_LOGGED_FRAMES && !self.is_logged;
        self.is_logged |= is_due;
        FrameKind::Partial { is_due }
    }

    /// When something last arrived that callers get.
    pub(in crate::gateway) fn progressed(&self) -> Instant {
        self.progressed
    }

    /// Frames so far.
    pub(in crate::gateway) fn frames(&self) -> u64 {
        self.frames
    }

    /// Frames since the last progress.
    pub(in crate::gateway) fn partial_frames(&self) -> u64 {
        self.partial_frames
    }
}

#[cfg(test)]
#[path = "stream_progress_tests.rs"]
mod tests;
