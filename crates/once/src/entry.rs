//! Changes, entries and verdicts, as they are stored and sent between instances.

use serde::{Deserialize, Serialize};

/// Identity of a booking key: a hash over organisation and key.
pub type KeyHash = [u8; 16];
/// Fingerprint of the request that a booking key was used with.
pub type Print = [u8; 32];

/// Identity of one claim; never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token {
    /// Start of the process that made the claim.
    pub incarnation: u64,
    /// Number of the claim in that process.
    pub serial: u64,
}

/// The stored answer of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to send again.
    pub headers: Vec<(String, String)>,
    /// The body, or `None` if it was too large to be kept.
    pub body: Option<Vec<u8>>,
}

/// What is asked of a shard for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Claims the key for a call.
    Claim {
        /// Fingerprint of the call.
        print: Print,
        /// Milliseconds since the Unix epoch at which the claim expires.
        expiry: u64,
    },
    /// Asks how a claim stands, without claiming.
    Look {
        /// Fingerprint of the call.
        print: Print,
    },
    /// States the outcome of a claim.
    Finish(Answer),
    /// States that the outcome of a claim will never be known.
    Lose,
    /// States that nothing was sent for a claim, which frees the key.
    Free,
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key that the change is about.
    pub key: KeyHash,
    /// Claim on whose behalf the change is made.
    pub token: Token,
    /// The change.
    pub change: Change,
}

/// Answer of a shard to one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is this call's.
    Won,
    /// Another call holds the claim and has no outcome yet.
    Held,
    /// A call with this key ran.
    Ran(Answer),
    /// A call with this key ran; its answer is in the named segment.
    Sealed(String),
    /// The key was used with another request.
    Conflict,
    /// A call with this key has an unknown outcome.
    Lost,
    /// The shard holds as much as it may; nothing was claimed.
    Full,
    /// The key is free.
    Absent,
    /// A statement about a claim was noted, or the claim is no longer there.
    Noted,
}

/// How far a claim came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Claimed; the call may have been sent.
    Claimed,
    /// The call ran and was answered.
    Done(Answer),
    /// Nobody will ever know.
    Lost,
}

/// One claim as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Fingerprint of the call.
    pub print: Print,
    /// Identity of the claim.
    pub token: Token,
    /// Milliseconds since the Unix epoch at which the claim expires.
    pub expiry: u64,
    /// How far the claim came.
    pub stage: Stage,
}
