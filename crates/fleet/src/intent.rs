//! Record of intents, from which the next lease holder continues.

use {
    crate::{Kind, Name},
    agate_core::FenceToken,
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Most intents of one pool.
pub const MAX_INTENTS: usize = 128;
/// Most endpoints of one pool whose name hashes a record holds.
pub const MAX_KNOWN: usize = 4096;
/// Largest encoded record, in bytes.
pub const MAX_RECORD: usize = 64 << 10;
/// Version of the encoding, stored as the first byte of a record.
const VERSION: u8 = 1;

/// Operation that an intent stands for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Orders endpoints.
    Order {
        /// Availability zone in which they are to run.
        zone: Name,
        /// How they are paid for.
        kind: Kind,
        /// Number of endpoints ordered.
        count: u32,
        /// Number of them that the platform has not listed yet.
        left: u32,
    },
    /// Drains an endpoint, then releases it.
    Release {
        /// Name of the endpoint.
        endpoint: Name,
    },
}

/// An order or release that was decided. Its idempotency token derives from the holder that decided
/// it, also when a later holder executes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Fencing token of the holder that decided it.
    pub fence: FenceToken,
    /// Number, unique under this fencing token.
    pub sequence: u32,
    /// Operation to execute.
    #[serde(rename = "what")]
    pub op: Op,
}

impl Intent {
    /// Idempotency token that the platform receives.
    pub fn token(&self, pool: &str) -> String {
        format!("{pool}/{}/{}", self.fence, self.sequence)
    }
}

/// Controller state that is kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Intents that are not completed.
    pub intents: Vec<Intent>,
    /// Hashes of the names of the endpoints last listed. An endpoint that is not among them
    /// arrived for one of the orders.
    pub known: IndexSet<u32>,
}

/// Hash of an endpoint's name in [`Record::known`].
pub(crate) fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Reason why a record cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD`], [`MAX_INTENTS`] or [`MAX_KNOWN`] allow.
    #[error("fleet record is too large")]
    Large,
    /// The record was written by an unknown version.
    #[error("fleet record has unknown version {0}")]
    Version(u8),
    /// The record cannot be decoded.
    #[error("fleet record is malformed")]
    Malformed,
}

/// Encodes a record; fails with [`RecordError::Large`] if it exceeds one of the limits.
pub fn encode(record: &Record) -> Result<Vec<u8>, RecordError> {
    let bytes = postcard::to_extend(record, vec![VERSION]).map_err(|_| RecordError::Malformed)?;
    let many = record.intents.len() > MAX_INTENTS || record.known.len() > MAX_KNOWN;
    if many || bytes.len() > MAX_RECORD {
        return Err(RecordError::Large);
    }
    Ok(bytes)
}

/// Decodes a record; fails if it is too large, of another version or malformed.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
    if bytes.len() > MAX_RECORD {
        return Err(RecordError::Large);
    }
    match bytes.split_first() {
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((record, [])) => Ok(record),
            _ => Err(RecordError::Malformed),
        },
        Some((&v, _)) => Err(RecordError::Version(v)),
        None => Err(RecordError::Malformed),
    }
}
