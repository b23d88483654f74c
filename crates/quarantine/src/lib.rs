//! Requests that crash the endpoints that run them.
//!
//! A request is known by a [`Print`] of its path, caller and body, since it returns with another
//! identifier. What leads to its quarantine:
//!
//! - [`evidence`]: which calls an endpoint left unanswered, and what shows that it crashed. Both are
//!   needed: a connection that was reset, cut or went silent before a living endpoint shows nothing.
//! - [`suspicion`]: crashes by request, told among instances. An answer to the request anywhere ends
//!   the suspicion, so a popular request that happened to be in flight at crashes is soon cleared.
//! - [`table`]: suspects and their trials, in one record of the store, so that they outlive every
//!   process and all instances share them.
//! - [`quarantine`]: puts these together for one instance; [`record`] follows and changes the record,
//!   [`trial`] is the permission to send a suspect.
//!
//! Invariants: a suspect is sent only as a trial, which is in the record before the call leaves, to an
//! endpoint that has no other trial. So the fleet makes a bounded number of trials, whatever
//! instances start, end or are cut off, and a crash during one names its cause.

pub mod evidence;
pub mod meter;
pub mod quarantine;
pub mod record;
pub mod suspicion;
pub mod table;
pub mod trial;

pub use {
    quarantine::{Judgement, Quarantine},
    record::Role,
    trial::Trial,
};

/// Hash of what identifies a request on each of its returns.
pub type Print = u64;
/// Hash of one incarnation of an endpoint.
pub type EndpointHash = u32;

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
