use super::{CallerHead, DataCenterFilter, RouteRule};
use crate::prelude::*;

/// Properties of an admitted request.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    /// Identity of the request.
    pub(super) id: Arc<str>,
    /// Values that its caller sent in the head.
    pub(super) head: CallerHead,
    /// Its route.
    pub(super) route: Arc<RouteRule>,
    /// Pool that serves it.
    pub(super) pool: String,
    /// Name of its workspace, if its key belongs to one.
    pub(super) workspace: Option<String>,
    /// Name of its workspace, else its key; empty without a key.
    pub(super) caller: String,
    /// Its rank, 0 first; see [`super::request_rank`].
    pub(super) rank: u8,
    /// Its rank while its route has fallen behind others; see [`super::turn_rank`].
    pub(super) turn_rank: u8,
    /// Time by which it should be answered.
    pub(super) due: Instant,
    /// Time at which its caller, or its route, stops waiting.
    pub(super) deadline: Instant,
    /// Data centres in which it and its stages may be worked on.
    pub(super) data_center_filter: DataCenterFilter,
    /// Whether its caller was most likely refused before.
    pub(super) is_returning: bool,
}

/// Maximum number of parts of a prompt in a log line. Usual prompts have two or three.
const MAX_LOGGED_PARTS: usize = 8;

/// Prompt tokens that an engine reads in about the time of writing one token.
const READ_TOKENS_PER_WRITTEN: u64 = 10;

impl RequestContext {
    /// Time until the deadline.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Id of the part of the prompt that requests are placed by. The last part is unique to
    /// the request; the one before it is the longest beginning that other requests share.
    pub(super) fn affinity(&self) -> Option<u64> {
        let shared = self.head.prefix.len().checked_sub(2)?;
        self.head.prefix.get(shared).map(|part| part.id)
    }

    /// Length of its prompt in tokens.
    pub(super) fn prompt_tokens(&self) -> u64 {
        let parts = self.head.prefix.iter().map(|part| part.tokens).sum();
        self.head.tokens.map_or(parts, |tokens| tokens.prompt)
    }

    /// The parts of its prompt for a log line, each with its id and its length in tokens.
    pub(super) fn prompt_text(&self) -> String {
        let parts = self.head.prefix.iter().take(MAX_LOGGED_PARTS);
        let texts: Vec<String> = parts
            .map(|part| format!("{:x}:{}", part.id, part.tokens))
            .collect();
        match self.head.prefix.len().saturating_sub(MAX_LOGGED_PARTS) {
            0 => texts.join(","),
            more => format!("{},+{more}", texts.join(",")),
        }
    }

    /// Work that the request needs from an engine, in prompt tokens.
    pub(super) fn size(&self) -> u64 {
        let tokens = self.head.tokens.unwrap_or_default();
        tokens.prompt + tokens.answer * READ_TOKENS_PER_WRITTEN
    }
}
