//! The record of intentions that survives a change of holder.

use {
    crate::{Kind, Name},
    agate_core::FenceToken,
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Most intentions of one pool.
pub const MAX_INTENTS: usize = 128;
/// Most endpoints of one pool that are known by the hash of their names.
pub const MAX_KNOWN: usize = 4096;
/// Most bytes of a record.
pub const MAX_RECORD: usize = 64 << 10;
/// Version of the encoding; the first byte of a record.
const VERSION: u8 = 1;

/// What is intended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Endpoints were or will be ordered.
    Order {
        /// Availability zone.
        zone: Name,
        /// Kind.
        kind: Kind,
        /// Number ordered.
        count: u32,
        /// Number not listed yet.
        left: u32,
    },
    /// An endpoint is drained, then released.
    Release {
        /// The endpoint.
        endpoint: Name,
    },
}

/// One intention; who made it gives the idempotency token, whoever carries it out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Fencing token of the holder that made it.
    pub fence: FenceToken,
    /// Number, unique under this fencing token.
    pub sequence: u32,
    /// What is intended.
    pub what: What,
}

impl Intent {
    /// Idempotency token towards the platform.
    pub fn token(&self, pool: &str) -> String {
        format!("{pool}/{}/{}", self.fence, self.sequence)
    }
}

/// Content of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Intentions that have not ended.
    pub intents: Vec<Intent>,
    /// Hashes of the names of the endpoints that were listed: a later one was ordered since.
    pub known: IndexSet<u32>,
}

/// Hash under which the name of an endpoint is known.
pub(crate) fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD`], [`MAX_INTENTS`] or [`MAX_KNOWN`] allow.
    #[error("the record of the fleet is too large")]
    Large,
    /// The record was written by an unknown version.
    #[error("the record of the fleet has the unknown version {0}")]
    Version(u8),
    /// The record cannot be decoded.
    #[error("the record of the fleet is malformed")]
    Malformed,
}

/// Encodes a record.
pub fn encode(record: &Record) -> Result<Vec<u8>, RecordError> {
    let bytes = postcard::to_extend(record, vec![VERSION]).map_err(|_| RecordError::Malformed)?;
    let many = record.intents.len() > MAX_INTENTS || record.known.len() > MAX_KNOWN;
    if many || bytes.len() > MAX_RECORD {
        return Err(RecordError::Large);
    }
    Ok(bytes)
}

/// Decodes a record.
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
