use crate::prelude::*;

/// Frames of one event from which it is logged that events come in pieces. An event holds a few tokens
/// and usually comes in one frame.
const MIN_LOGGED_FRAMES: u64 = 32;

/// How the body of a stream arrives from one endpoint, as a state machine without I/O.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct StreamProgress {
    /// When the endpoint last sent something.
    heard: Instant,
    frames: u64,
    /// Frames since the last one that completed an event.
    partial_frames: u64,
    /// Whether it was logged that events come in pieces.
    is_logged: bool,
}

impl StreamProgress {
    /// Begins with the head of the answer.
    pub(in crate::gateway) fn begin(now: Instant) -> Self {
        Self {
            heard: now,
            frames: 0,
            partial_frames: 0,
            is_logged: false,
        }
    }

    /// Records a frame. Returns whether events now count as coming in pieces, once a stream.
    pub(in crate::gateway) fn record_frame(&mut self, now: Instant) -> bool {
        self.heard = now;
        self.frames += 1;
        self.partial_frames += 1;
        let is_due = self.partial_frames >= MIN_LOGGED_FRAMES && !self.is_logged;
        self.is_logged |= is_due;
        is_due
    }

    /// Records that the last frame completed an event, or another part that callers get.
    pub(in crate::gateway) fn record_events(&mut self) {
        self.partial_frames = 0;
    }

    /// When the endpoint last sent something.
    pub(in crate::gateway) fn heard(&self) -> Instant {
        self.heard
    }

    /// Frames so far.
    pub(in crate::gateway) fn frames(&self) -> u64 {
        self.frames
    }

    /// Frames since the last one that completed an event.
    pub(in crate::gateway) fn partial_frames(&self) -> u64 {
        self.partial_frames
    }
}
