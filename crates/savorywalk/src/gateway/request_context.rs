use super::{CallerHead, RouteRule};
use crate::prelude::*;

/// What is known of a request once it is admitted.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    /// Identity of the request.
    pub(super) id: Arc<str>,
    /// What its caller said.
    pub(super) head: CallerHead,
    /// Its route.
    pub(super) route: Arc<RouteRule>,
    /// Pool that serves it.
    pub(super) pool: String,
    /// Name of its workspace, when a key was shown.
    pub(super) workspace: Option<String>,
    /// How urgent it is; see [`super::request_rank`].
    pub(super) rank: u8,
    /// When it should be answered.
    pub(super) due: Instant,
    /// When its caller, or its route, gives up.
    pub(super) deadline: Instant,
    /// Whether its caller was most likely refused before.
    pub(super) is_returning: bool,
}

/// Time that an engine which is busy takes beside reading the prompt: its first
/// token takes 120 ms, and the way there and back some more.
const ENGINE_BASE: Duration = Duration::from_millis(150);

/// Prompt tokens that an engine reads in a millisecond, with what others are
/// served meanwhile: three quarters of prompts were read at least that fast on
/// asist-kosice-grown quiet-1.
const TOKENS_PER_MS: u64 = 50;

/// Tokens to read that take an engine as long as one to write, about.
const READ_PER_WRITTEN: u64 = 10;

impl RequestContext {
    /// Time left.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Hash of the part of the prompt that requests share: the last part is the
    /// request's own, and the one before it is the longest opening that others
    /// have too.
    pub(super) fn affinity(&self) -> Option<u64> {
        let shared = self.head.prefix.len().checked_sub(2)?;
        self.head.prefix.get(shared).map(|part| part.id)
    }

    /// Time from the send to a stream's first event, about.
    pub(super) fn engine_time(&self) -> Duration {
        let parts = self.head.prefix.iter().map(|part| part.tokens).sum();
        let tokens = self.head.tokens.map_or(parts, |tokens| tokens.prompt);
        ENGINE_BASE + Duration::from_millis(tokens / TOKENS_PER_MS)
    }

    /// What the request asks for, in tokens to read.
    pub(super) fn size(&self) -> u64 {
        let tokens = self.head.tokens.unwrap_or_default();
        tokens.prompt + tokens.answer * READ_PER_WRITTEN
    }
}
