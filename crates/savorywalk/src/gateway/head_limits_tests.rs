use super::super::{PromptPart, TokenCounts};
use super::*;

const MAX_PIECES: u32 = 1_024;

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

fn is_refused(head: &CallerHead) -> bool {
    matches!(check(head, MAX_PIECES), Err(GatewayRefusal::Malformed(_)))
}

#[test]
fn a_usual_head_is_taken() {
    assert_eq!(check(&head(), MAX_PIECES), Ok(()));
}

/// Guards against counts of pieces that take memory, each within its type and together beyond it.
#[test]
fn pieces_are_bounded_in_sum() {
    let mut head = head();
    head.piece_counts = vec![512, 512];
    assert!(!is_refused(&head));
    head.piece_counts.push(1);
    assert!(is_refused(&head));
    head.piece_counts = vec![u32::MAX; 8];
    assert!(is_refused(&head));
}

/// Guards against identities, parts and tokens that fill tables or overflow sums.
#[test]
fn what_tables_keep_is_bounded() {
    let mut long = head();
    long.request_id = "x".repeat(300);
    assert!(is_refused(&long));
    let mut many = head();
    many.prefix = vec![PromptPart { id: 1, tokens: 0 }; 4_000];
    assert!(is_refused(&many));
    let mut large = head();
    large.prefix[0].tokens = u64::MAX;
    assert!(is_refused(&large));
    let mut long_answer = head();
    long_answer.tokens = Some(TokenCounts {
        prompt: 1,
        answer: u64::MAX,
    });
    assert!(is_refused(&long_answer));
}
