//! Quarantine for requests that crash the endpoints that run them.
//!
//! A request is recognised by a [`Fingerprint`] of its path, caller and body, since a retry by the
//! caller has another request ID. The stages on the way to quarantine are:
//!
//! - [`evidence`]: calls that an endpoint left unanswered, and signs that it crashed. Both are
//!   needed: a connection that is reset, closed or times out does not show that the endpoint
//!   crashed.
//! - [`suspicion`]: crashes per request, exchanged between instances. A response to the request
//!   anywhere ends the suspicion, so a popular request that happened to be in flight during crashes
//!   is soon cleared.
//! - [`table`]: suspects and their trials, in one record of the store, so that they survive
//!   restarts and all instances share them.
//! - [`quarantine`]: combines these for one instance. [`record`] follows and changes the record;
//!   [`trial`] is the permission to send a suspect.
//!
//! Invariants: a suspect is sent only as a trial. The trial is written to the record before the
//! call is sent, and its endpoint has no other trial. So the number of trials in the fleet is
//! bounded, whichever instances start, stop or are partitioned, and a crash during a trial
//! identifies its cause.

pub mod evidence;
pub mod metrics;
pub mod quarantine;
pub mod record;
pub mod suspicion;
pub mod table;
pub mod trial;

pub use {
    quarantine::{Decision, Quarantine},
    record::Role,
    trial::Trial,
};

/// Hash that identifies a request across retries by its caller.
pub type Fingerprint = u64;
/// Hash of an endpoint's incarnation (its name and start time).
pub type EndpointHash = u32;

/// Key derivation context, so that a fingerprint differs from any other hash of the same bytes.
const CONTEXT: &str = "agatetrack prints of requests";

/// Part of a request's work that a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The request itself.
    Run,
    /// Only the prefill of its prompt.
    Prefill,
}

/// Fingerprint of a request's work; equal on every instance and for every retry by the caller.
/// `org` is the caller's organisation, empty if there is none.
pub fn fingerprint(work: Work, org: &str, path: &str, body: &[u8]) -> Fingerprint {
    let kind: &[u8] = if work == Work::Prefill { b"read" } else { b"run" };
    let parts = [kind, org.as_bytes(), path.as_bytes(), body];
    let hash = hash_parts(blake3::Hasher::new_derive_key(CONTEXT), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}

/// Fingerprint of a part of prompts to the model engines of `service`; equal on every instance and
/// for all requests whose prompts contain the part.
pub fn part_fingerprint(service: &str, part: u64) -> Fingerprint {
    let parts = [b"part".as_slice(), service.as_bytes(), &part.to_le_bytes()];
    let hash = hash_parts(blake3::Hasher::new_derive_key(CONTEXT), parts);
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 32 bytes"))
}

/// Formats a fingerprint in hexadecimal, for log lines.
pub fn hex(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Hashes the parts, each prefixed with its length, so that different lists never hash equal bytes.
pub fn hash_parts<const N: usize>(mut hash: blake3::Hasher, parts: [&[u8]; N]) -> [u8; 32] {
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    *hash.finalize().as_bytes()
}
