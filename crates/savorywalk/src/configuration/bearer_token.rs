use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 of a bearer token; the token itself is never kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenDigest([u8; DIGEST_BYTES]);

impl TokenDigest {
    /// Digest of a token that a caller sent.
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Reads the hexadecimal form that a configuration holds.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Compares in constant time, so that timing tells nothing of the secret.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Hexadecimal SHA-256 of a token, as a configuration holds it.
pub fn digest_hex(token: &str) -> String {
    let digest = TokenDigest::of(token);
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
#[path = "bearer_token_tests.rs"]
mod tests;
