use super::{CallerHead, GatewayRefusal};

/// Longest identity of a request, in bytes: it is kept in logs and tables after the request.
const MAX_ID_BYTES: usize = 256;

/// Most parts of a prompt: each is kept in the tables of prompts.
const MAX_PROMPT_PARTS: usize = 256;

/// Most tokens of a part, a prompt or an answer; sums of them fit their type.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Refuses a head whose identity or numbers would take memory far beyond its own size.
pub(super) fn check(head: &CallerHead, max_pieces: u32) -> Result<(), GatewayRefusal> {
    let malformed = |reason| Err(GatewayRefusal::Malformed(reason));
    if head.request_id.len() > MAX_ID_BYTES {
        return malformed("the identity of the request is too long");
    }
    let pieces: u64 = head
        .piece_counts
        .iter()
        .map(|pieces| u64::from(*pieces))
        .sum();
    if pieces > u64::from(max_pieces) {
        return malformed("the request has too many pieces");
    }
    if head.prefix.len() > MAX_PROMPT_PARTS {
        return malformed("the prompt has too many parts");
    }
    let counts = head.tokens.unwrap_or_default();
    let parts = head.prefix.iter().map(|part| part.tokens);
    if parts
        .chain([counts.prompt, counts.answer])
        .any(|tokens| tokens > MAX_TOKENS)
    {
        return malformed("the request has too many tokens");
    }
    Ok(())
}

#[cfg(test)]
#[path = "head_limits_tests.rs"]
mod tests;
