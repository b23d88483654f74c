//! Short form of heads and chunks between instances.
//!
//! These records are JSON in which digests, of chunks and of keys, take a third to nearly all of the
//! bytes. The short form takes each quoted digest out of the text and carries it as 32 bytes; the
//! receiver gets back the very bytes, so that their hash can be checked. The store keeps the text.

use serde::{Deserialize, Serialize};

/// Length of a digest in hexadecimal.
const HEX: usize = 64;
/// Longest record that is restored, in bytes.
const MAX_BYTES: usize = 1 << 20;

#[derive(Serialize, Deserialize)]
struct Compact {
    text: Vec<u8>,
    /// Bytes of the text before each digest, counted from the digest before it.
    digests: Vec<(usize, [u8; HEX / 2])>,
}

/// Shortens a record.
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
            // The closing quote is taken over here, so that it does not open the next string.
            out.text.push(b'"');
            rest = &rest[HEX + 1..];
        }
    }
    out.text.extend_from_slice(rest);
    postcard::to_stdvec(&out).expect("plain values encode")
}

/// Restores a record; `None` if the bytes are no short form.
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

/// The digest at the start of `text`, if a whole quoted string is one in lower case.
fn digest(text: &[u8]) -> Option<[u8; HEX / 2]> {
    let hex = text.get(..HEX)?;
    let whole = text.get(HEX) == Some(&b'"');
    if !whole || hex.iter().any(u8::is_ascii_uppercase) {
        return None;
    }
    blake3::Hash::from_hex(hex).ok().map(|hash| *hash.as_bytes())
}
