use super::CallerHead;
use crate::settings::HeadLimits;

/// What a head has too much of: it would take memory far beyond its own size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadExcess {
    /// The identity is kept in logs and tables after its request.
    Identity,
    /// Each piece is queued.
    Pieces,
    /// Each part of a prompt is kept in the tables of prompts.
    PromptParts,
    /// Sums of tokens have to fit their type.
    Tokens,
}

impl HeadExcess {
    /// Why the request is malformed.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Identity => "the identity of the request is too long",
            Self::Pieces => "the request has too many pieces",
            Self::PromptParts => "the prompt has too many parts",
            Self::Tokens => "the request has too many tokens",
        }
    }

    /// Name of the limit in metrics, which is that of its setting.
    pub(super) const fn limit(self) -> &'static str {
        match self {
            Self::Identity => "identity_bytes",
            Self::Pieces => "pieces",
            Self::PromptParts => "prompt_parts",
            Self::Tokens => "tokens",
        }
    }
}

/// Refuses a head whose identity or numbers would take memory far beyond its own size.
pub(super) fn check(head: &CallerHead, limits: &HeadLimits) -> Result<(), HeadExcess> {
    if head.request_id.len() > limits.identity_bytes as usize {
        return Err(HeadExcess::Identity);
    }
    let pieces = head.piece_counts.iter().copied().map(u64::from);
    if pieces.sum::<u64>() > u64::from(limits.pieces) {
        return Err(HeadExcess::Pieces);
    }
    if head.prefix.len() > limits.prompt_parts as usize {
        return Err(HeadExcess::PromptParts);
    }
    let counts = head.tokens.unwrap_or_default();
    let parts = head.prefix.iter().map(|part| part.tokens);
    let mut tokens = parts.chain([counts.prompt, counts.answer]);
    match tokens.any(|tokens| tokens > u64::from(limits.tokens)) {
        true => Err(HeadExcess::Tokens),
        false => Ok(()),
    }
}

#[cfg(test)]
#[path = "head_limits_tests.rs"]
mod tests;
