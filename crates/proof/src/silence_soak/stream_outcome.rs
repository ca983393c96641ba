use savorywalk::prelude::*;

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamEnd {
    /// All events came in order, none twice, and then the end of the answer.
    Whole,
    /// Another status than success came.
    Refused,
    /// The gateway accepted no connection.
    Unreached,
    /// The connection ended before the head of an answer.
    Unanswered,
    /// The connection ended within the answer.
    Broken,
    /// No event came for as long as a caller waits, and it left.
    Left,
    /// An event was missing, came twice or was not the caller's, or the answer ended too early.
    Wrong,
}

/// Why a stream that is not whole is not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamExcuse {
    /// No engine began it, so the gateway may not have read it, or its stages were not made.
    NotRun,
    /// Its caller left before an event came, and it had waited for its stages until shortly before.
    BegunLate,
    /// Its gateway was killed.
    Killed,
    /// Its gateway was asked to stop, and most of the stop time is over.
    StopTimeOver,
    /// It has lasted for as long as the shortest timeout of its route.
    TimedOut,
    /// The engine that sent its last event, and its gateway, were silent and suspended for longer
    /// than its caller waits.
    Silent,
}

/// One stream as its caller saw it.
#[derive(Clone, Debug)]
pub struct StreamOutcome {
    /// Id of the request.
    pub id: String,
    /// Position of the gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the last event came; when it was sent if none did.
    pub heard: Instant,
    /// When it ended for the caller.
    pub ended: Instant,
    /// Events that came.
    pub events: u64,
    /// Longest wait for an event after the first.
    pub longest_gap: Duration,
    /// How it ended.
    pub end: StreamEnd,
}

impl fmt::Display for StreamOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at gateway {}: {:?} after {} events, {} ms after the last and {} ms after it was sent",
            self.id,
            self.gateway,
            self.end,
            self.events,
            (self.ended - self.heard).as_millis(),
            (self.ended - self.sent).as_millis()
        )
    }
}
