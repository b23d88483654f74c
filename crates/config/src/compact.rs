//! Compact form of heads and chunks, for messages between instances.
//!
//! These records are JSON. Digests of chunks and keys take from a third to nearly all of their
//! bytes. The compact form removes each quoted digest from the text and encodes it as 32 bytes. The
//! receiver restores the same bytes, so that it can check their hash. The store keeps the JSON
//! text.

use serde::{Deserialize, Serialize};

/// Length of a digest in hexadecimal.
const HEX: usize = 64;
/// Maximum size of a restored record, in bytes.
const MAX_BYTES: usize = 1 << 20;

#[derive(Serialize, Deserialize)]
struct Compact {
    text: Vec<u8>,
    /// Digests in order, each with the number of bytes of `text` since the previous digest.
    digests: Vec<(usize, [u8; HEX / 2])>,
}

/// Encodes a record in compact form.
pub fn pack(record: &[u8]) -> Vec<u8> {
    let mut out = Compact { text: Vec::with_capacity(record.len()), digests: Vec::new() };
    let (mut rest, mut last) = (record, 0);
    while let Some(at) = rest.iter().position(|b| *b == b'"') {
        let (before, after) = rest.split_at(at + 1);
        out.text.extend_from_slice(before);
        rest = after;
        if let Some(digest) = digest(rest) {
            out.digests.push((out.text.len() - last, digest));
            last = out.text.len();
            // The closing quote is copied here, so that it does not count as an opening quote.
            out.text.push(b'"');
            rest = &rest[HEX + 1..];
        }
    }
    out.text.extend_from_slice(rest);
    postcard::to_stdvec(&out).expect("plain values encode")
}

/// Restores a record from its compact form. Returns `None` if the bytes are not a compact form or
/// the record would exceed 1 MiB.
pub fn unpack(bytes: &[u8]) -> Option<Vec<u8>> {
    let short: Compact = postcard::from_bytes(bytes).ok()?;
    let size = short.text.len() + short.digests.len() * HEX;
    if size > MAX_BYTES {
        return None;
    }
    let (mut out, mut rest) = (Vec::with_capacity(size), &short.text[..]);
    for (gap, digest) in short.digests {
        let (before, after) = rest.split_at_checked(gap)?;
        out.extend_from_slice(before);
        out.extend_from_slice(blake3::Hash::from_bytes(digest).to_hex().as_bytes());
        rest = after;
    }
    out.extend_from_slice(rest);
    Some(out)
}

/// Returns the digest at the start of `text`, if it is a digest in lower case up to the closing
/// quote.
fn digest(text: &[u8]) -> Option<[u8; HEX / 2]> {
    let hex = text.get(..HEX)?;
    let whole = text.get(HEX) == Some(&b'"');
    if !whole || hex.iter().any(u8::is_ascii_uppercase) {
        return None;
    }
    blake3::Hash::from_hex(hex).ok().map(|hash| *hash.as_bytes())
}
