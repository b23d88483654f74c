//! Requests that crash the endpoints that run them.
//!
//! A request is known by a [`Print`] of its path, caller and body, since it returns with another
//! identifier.

/// Hash of what identifies a request on each of its returns.
pub type Print = u64;

/// Context of the prints, so that they equal no other hash of the same bytes.
const CONTEXT: &str = "agatetrack prints of requests";

/// What a call asks of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Running the request.
    Run,
    /// Only reading its prompt.
    Read,
}

/// Print of some work of a request of the organisation `org`, empty if it has none; equal on every
/// instance and for each return of the request.
pub fn print(work: Work, org: &str, path: &str, body: &[u8]) -> Print {
    let kind: &[u8] = if work == Work::Read { b"read" } else { b"run" };
    let parts = [kind, org.as_bytes(), path.as_bytes(), body];
    let hash = hash_parts(blake3::Hasher::new_derive_key(CONTEXT), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}

/// Text of a print in log lines.
pub fn hex(print: Print) -> String {
    format!("{print:016x}")
}

/// Hashes parts with their lengths, so that no two lists of parts look alike.
pub fn hash_parts<const N: usize>(mut hash: blake3::Hasher, parts: [&[u8]; N]) -> [u8; 32] {
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    *hash.finalize().as_bytes()
}
