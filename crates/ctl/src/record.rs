//! Record of intents, from which the next lease holder continues.

use {
    crate::{Phase, Role},
    agate_core::FenceToken,
    serde::{Deserialize, Serialize},
};

/// Most role changes in progress in one piece.
pub const MAX_CHANGES: usize = 128;
/// Largest encoded record, in bytes.
pub const MAX_RECORD: usize = 16 << 10;
/// Version of the encoding, stored as the first byte of a record.
const VERSION: u8 = 1;

/// Stored form of a role change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeIntent {
    /// Name of the engine.
    pub engine: String,
    /// Role before the change.
    pub from: Role,
    /// Role after the change.
    pub to: Role,
    /// Phase that the change reached.
    pub phase: Phase,
}

/// Reason why a record cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD`] or holds more than [`MAX_CHANGES`] changes.
    #[error("intent record is too large")]
    Large,
    /// The record was written by an unknown version.
    #[error("intent record has unknown version {0}")]
    Version(u8),
    /// The record cannot be decoded.
    #[error("intent record is malformed")]
    Malformed,
}

/// Encodes the intents of the lease holder with this fencing token; fails with
/// [`RecordError::Large`] if a limit is exceeded.
pub fn encode(fence: FenceToken, changes: &[ChangeIntent]) -> Result<Vec<u8>, RecordError> {
    let bytes = postcard::to_extend(&(fence, changes), vec![VERSION]);
    let bytes = bytes.map_err(|_| RecordError::Malformed)?;
    if bytes.len() > MAX_RECORD || changes.len() > MAX_CHANGES {
        return Err(RecordError::Large);
    }
    Ok(bytes)
}

/// Decodes a record into the fencing token of its writer and the intents; fails if the record is
/// too large, of another version or malformed.
pub fn decode(bytes: &[u8]) -> Result<(FenceToken, Vec<ChangeIntent>), RecordError> {
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
