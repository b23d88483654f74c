//! Framing of records that instances keep in the store: a version byte, then the postcard bytes.

use serde::{Serialize, de::DeserializeOwned};

/// Version of the format; the first byte of each record.
const VERSION: u8 = 1;

/// Bytes of a record.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(record, vec![VERSION]).expect("plain data has a postcard form")
}

/// Reads a record; `None` if another build wrote it or it is damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (version, body) = bytes.split_first()?;
    (*version == VERSION).then(|| postcard::from_bytes(body).ok())?
}
