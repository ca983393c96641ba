use super::*;

#[test]
fn hexadecimal_reads_back() {
    let digest = TokenDigest::from_hex(&digest_hex("secret")).unwrap();
    assert!(digest.matches(&TokenDigest::of("secret")));
    assert!(!digest.matches(&TokenDigest::of("other")));
}

#[test]
fn broken_hexadecimal_is_refused() {
    assert_eq!(TokenDigest::from_hex("abc"), None);
    assert_eq!(TokenDigest::from_hex(&"zz".repeat(32)), None);
    assert_eq!(TokenDigest::from_hex(&"é".repeat(32)), None);
}
