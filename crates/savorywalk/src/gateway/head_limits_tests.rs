use super::super::{PromptPart, TokenCounts};
use super::*;

const LIMITS: HeadLimits = HeadLimits {
    pieces: 1_024,
    identity_bytes: 256,
    prompt_parts: 256,
    tokens: u32::MAX,
};

fn head() -> CallerHead {
    CallerHead {
        request_id: "9c41d07be2a35f68".into(),
        tokens: Some(TokenCounts {
            prompt: 53_200,
            answer: 240,
        }),
        prefix: vec![
            PromptPart {
                id: 1,
                tokens: 13_300
            };
            3
        ],
        piece_counts: vec![10, 0, 8, 40],
        ..Default::default()
    }
}

#[test]
fn a_usual_head_is_taken() {
    assert_eq!(check(&head(), &LIMITS), Ok(()));
}

/// Guards against counts of pieces that take memory, each within its type and together beyond it.
#[test]
fn pieces_are_bounded_in_sum() {
    let mut head = head();
    head.piece_counts = vec![512, 512];
    assert_eq!(check(&head, &LIMITS), Ok(()));
    head.piece_counts.push(1);
    assert_eq!(check(&head, &LIMITS), Err(HeadExcess::Pieces));
    head.piece_counts = vec![u32::MAX; 8];
    assert_eq!(check(&head, &LIMITS), Err(HeadExcess::Pieces));
}

/// Guards against identities, parts and tokens that fill tables or overflow sums.
#[test]
fn what_tables_keep_is_bounded() {
    let mut long = head();
    long.request_id = "x".repeat(300);
    assert_eq!(check(&long, &LIMITS), Err(HeadExcess::Identity));
    let mut many = head();
    many.prefix = vec![PromptPart { id: 1, tokens: 0 }; 4_000];
    assert_eq!(check(&many, &LIMITS), Err(HeadExcess::PromptParts));
    let mut large = head();
    large.prefix[0].tokens = u64::MAX;
    assert_eq!(check(&large, &LIMITS), Err(HeadExcess::Tokens));
    let mut long_answer = head();
    long_answer.tokens = Some(TokenCounts {
        prompt: 1,
        answer: u64::MAX,
    });
    assert_eq!(check(&long_answer, &LIMITS), Err(HeadExcess::Tokens));
}
