//! Framing of the records that instances keep in the store: a version byte followed by postcard.

use serde::{Serialize, de::DeserializeOwned};

/// Version of the format, the first byte of each record.
const VERSION: u8 = 1;

/// Encodes a record.
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(record, vec![VERSION]).expect("records are serializable as postcard")
}

/// Decodes a record; `None` if it has another version or is damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (version, body) = bytes.split_first()?;
    (*version == VERSION).then(|| postcard::from_bytes(body).ok())?
}
