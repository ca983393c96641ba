use savorywalk::prelude::*;

/// Identity of a request in a history, chosen by its caller and kept through
/// resends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestMark(pub String);

/// Name of an endpoint in a history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointName(pub String);

/// Name of an entry in a history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryName(pub String);

/// One event with the time at which it was recorded.
#[derive(Clone, Debug)]
pub struct HistoryRecord {
    /// Time since the history began.
    pub at: Duration,
    /// What happened.
    pub event: HistoryEvent,
}

/// What callers, endpoints, entries and operators saw.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// A caller sent a request, for the first time or again.
    Sent {
        /// The request.
        request: RequestMark,
        /// False when it may run at most once.
        idempotent: bool,
    },
    /// A caller got an answer that the system called whole.
    Answered {
        /// The request that was answered.
        request: RequestMark,
        /// What the answer says, for comparison with `expected`.
        content: String,
        /// What a whole answer to this very request says.
        expected: String,
    },
    /// A caller was told that no part of the request ran.
    NotRun {
        /// The request.
        request: RequestMark,
    },
    /// A caller got another typed error.
    Failed {
        /// The request.
        request: RequestMark,
        /// Kind of the error.
        kind: String,
    },
    /// The connection to the caller broke without an answer or an error.
    Cut {
        /// The request.
        request: RequestMark,
        /// Entry that had it.
        entry: EntryName,
    },
    /// An endpoint received a dispatch and did not refuse it.
    Received {
        /// The endpoint.
        endpoint: EndpointName,
        /// The request.
        request: RequestMark,
        /// The stage.
        stage: String,
    },
    /// An endpoint's leaving notice was accepted by an entry.
    Leaving {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// An endpoint announced a new incarnation and serves again.
    Returned {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// An entry served a request or a status under this version.
    VersionServed {
        /// The entry.
        entry: EntryName,
        /// The version.
        version: u64,
    },
    /// An operator was told that a patch made this version.
    PatchAcknowledged {
        /// The version.
        version: u64,
        /// Identity of the patch.
        patch: String,
    },
    /// The history of versions as it stood at the end: the patch of one version.
    VersionKept {
        /// The version.
        version: u64,
        /// Identity of the patch that made it.
        patch: String,
    },
    /// An endpoint carried out an order.
    OrderExecuted {
        /// The endpoint.
        endpoint: EndpointName,
        /// Term and index under which it was given.
        fencing: (u64, u64),
    },
    /// No entry took the request: its address accepted no connection.
    Unreached {
        /// The request.
        request: RequestMark,
    },
    /// An entry's process was started.
    Started {
        /// The entry.
        entry: EntryName,
    },
    /// An entry was asked to stop as planned.
    StopRequested {
        /// The entry.
        entry: EntryName,
    },
}
