//! The record of intentions that survives a change of holder.

use {
    crate::{Phase, Role},
    agate_core::FenceToken,
    serde::{Deserialize, Serialize},
};

/// Most role changes under way in one piece.
pub const MAX_CHANGES: usize = 128;
/// Most bytes of a record.
pub const MAX_RECORD: usize = 16 << 10;
/// Version of the encoding; the first byte of a record.
const VERSION: u8 = 1;

/// One intention.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// Name of the engine.
    pub engine: String,
    /// Role before the change.
    pub from: Role,
    /// Role after the change.
    pub to: Role,
    /// How far orders may have gone.
    pub phase: Phase,
}

/// Why a record cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is larger than [`MAX_RECORD`] or holds more than [`MAX_CHANGES`] changes.
    #[error("the record of intentions is too large")]
    Large,
    /// The record was written by an unknown version.
    #[error("the record of intentions has the unknown version {0}")]
    Version(u8),
    /// The record cannot be decoded.
    #[error("the record of intentions is malformed")]
    Malformed,
}

/// Encodes the intentions of the holder with this fencing token.
pub fn encode(fence: FenceToken, changes: &[Saved]) -> Result<Vec<u8>, RecordError> {
    let bytes = postcard::to_extend(&(fence, changes), vec![VERSION]);
    let bytes = bytes.map_err(|_| RecordError::Malformed)?;
    if bytes.len() > MAX_RECORD || changes.len() > MAX_CHANGES {
        return Err(RecordError::Large);
    }
    Ok(bytes)
}

/// Decodes a record into the fencing token of its writer and the intentions.
pub fn decode(bytes: &[u8]) -> Result<(FenceToken, Vec<Saved>), RecordError> {
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
