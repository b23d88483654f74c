//! Changes, entries and verdicts, as they are stored and sent between instances.

use serde::{Deserialize, Serialize};

/// Identifies an idempotency key: a hash of the organisation and the key.
pub type KeyHash = [u8; 16];
/// Fingerprint of the request with which an idempotency key was used.
pub type Fingerprint = [u8; 32];

/// Identifies one claim; never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token {
    /// Identifies the start of the process that made the claim.
    pub incarnation: u64,
    /// Number of the claim within that process.
    pub serial: u64,
}

/// Stored response of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers to replay.
    pub headers: Vec<(String, String)>,
    /// Body; `None` if it was too large to be stored.
    pub body: Option<Vec<u8>>,
}

/// Operation on the claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Claims the key for a call.
    Claim {
        /// Fingerprint of the call.
        print: Fingerprint,
        /// Milliseconds since the Unix epoch at which the claim expires.
        expiry: u64,
    },
    /// Reads the state of a claim without claiming.
    Look {
        /// Fingerprint of the call.
        print: Fingerprint,
    },
    /// Records the response of a call that ran.
    Finish(StoredResponse),
    /// Records that the outcome will never be known.
    Lose,
    /// Records that nothing was sent for a claim, which frees the key.
    Free,
}

/// Operation on one key on behalf of one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key to change.
    pub key: KeyHash,
    /// Claim on whose behalf the change is made.
    pub token: Token,
    /// Operation to apply.
    pub change: Change,
}

/// Result of one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// This call holds the claim.
    Won,
    /// Another call holds the claim and has no outcome yet.
    Held,
    /// A call with this key ran; this is its response.
    Ran(StoredResponse),
    /// A call with this key ran; its response is in the named segment.
    Sealed(String),
    /// The key was used with another request.
    Conflict,
    /// The outcome of the call with this key is unknown.
    Lost,
    /// The shard has no room for another open claim, or the new claim would already be expired.
    /// Nothing was claimed.
    Full,
    /// The key is free.
    Absent,
    /// The outcome was recorded, or the claim no longer exists.
    Noted,
}

/// Stage of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Claimed; the call may have been sent.
    Claimed,
    /// The call ran and has a response.
    Done(StoredResponse),
    /// The outcome will never be known.
    Lost,
}

/// Stored form of one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Fingerprint of the call.
    pub print: Fingerprint,
    /// Identifies the claim.
    pub token: Token,
    /// Milliseconds since the Unix epoch at which the claim expires.
    pub expiry: u64,
    /// Stage of the claim.
    pub stage: Stage,
}
