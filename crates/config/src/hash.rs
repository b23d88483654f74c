//! Digests of API keys.
//!
//! A key has at least as much entropy as its digest, so one round of SHA-256 is sufficient. The
//! timing of a lookup by digest reveals nothing, since a caller cannot choose the bytes of the
//! digest.

use sha2::{Digest, Sha256};

/// SHA-256 of a whole key.
pub type KeyHash = [u8; 32];

/// Returns the digest of a key as presented in a request.
pub fn digest(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Decodes 64 digits of lower-case hexadecimal; `None` for any other text.
pub fn decode(hex: &str) -> Option<KeyHash> {
    let digits = hex.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut out = KeyHash::default();
    for (byte, pair) in out.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(out)
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
