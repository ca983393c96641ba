use super::*;

#[test]
fn prompts_share_the_hashes_of_the_blocks_that_they_share() {
    let shared = "a".repeat(PREFIX_BLOCK_BYTES * 2);
    let first = PrefixHash::of_blocks(format!("{shared}{}", "b".repeat(300)).as_bytes());
    let second = PrefixHash::of_blocks(format!("{shared}{}", "c".repeat(300)).as_bytes());
    assert_eq!((first.len(), second.len()), (3, 3));
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2], second[2]);
}

#[test]
fn a_prompt_shorter_than_a_block_has_no_hash() {
    assert!(PrefixHash::of_blocks(&[b'a'; PREFIX_BLOCK_BYTES - 1]).is_empty());
}

#[test]
fn a_hash_survives_its_json_and_other_text_is_refused() {
    let hash = PrefixHash::of_blocks(&[b'a'; PREFIX_BLOCK_BYTES])[0];
    let json = serde_json::to_string(&hash).unwrap();
    assert_eq!(serde_json::from_str::<PrefixHash>(&json).unwrap(), hash);
    for wrong in [
        "\"\"",
        "\"12\"",
        "\"+123456789abcdef\"",
        "\"zzzzzzzzzzzzzzzz\"",
    ] {
        assert!(
            serde_json::from_str::<PrefixHash>(wrong).is_err(),
            "{wrong}"
        );
    }
}
