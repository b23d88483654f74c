//! Record of a lease in the store.
//!
//! The record remains when the lease ends, so that the greatest fencing token is preserved. It is
//! JSON so that operators can read it. Records of an unknown version are rejected.

use {
    agate_core::FenceToken,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Version of the record format that this build reads and writes.
pub const VERSION: u32 = 1;

/// Maximum size of a record in bytes.
const MAX_BYTES: usize = 4096;

/// Content of the record of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRecord {
    /// Name of the holder, unique for each start of an instance; empty after a release.
    pub holder: String,
    /// Fencing token of the current or last term.
    pub token: FenceToken,
    /// Number of this write among those of its holder, starting at 1.
    pub write_number: u64,
    /// Time for which the holder may act after it sent this write.
    pub ttl: Duration,
}

/// Reason why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The record is too long, not valid JSON or has unexpected fields.
    #[error("record of lease {key} is corrupt: {cause}")]
    Corrupt {
        /// Store key of the record.
        key: String,
        /// Reason for the log.
        cause: String,
    },
    /// The record has a version that this build does not support.
    #[error("record of lease {key} has unknown version {version}")]
    Version {
        /// Store key of the record.
        key: String,
        /// Version in the record.
        version: u32,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct JsonRecord {
    version: u32,
    holder: String,
    token: FenceToken,
    beat: u64,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct VersionHeader {
    version: u32,
}

/// Store key of the record of lease `name`.
pub fn key(name: &str) -> String {
    format!("lease/{name}")
}

/// Encodes a record.
pub fn encode(record: &LeaseRecord) -> Vec<u8> {
    let json = JsonRecord {
        version: VERSION,
        holder: record.holder.clone(),
        token: record.token,
        beat: record.write_number,
        ttl_ms: u64::try_from(record.ttl.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_vec(&json).expect("a lease record is serializable as JSON")
}

/// Decodes the record found under `key`.
///
/// # Errors
///
/// [`Error::Version`] for an unsupported version, [`Error::Corrupt`] for any other record that this
/// build did not write.
pub fn decode(key: &str, bytes: &[u8]) -> Result<LeaseRecord, Error> {
    let corrupt = |cause: String| Error::Corrupt { key: key.to_owned(), cause };
    if bytes.len() > MAX_BYTES {
        return Err(corrupt(format!("{} bytes", bytes.len())));
    }
    let header: VersionHeader =
        serde_json::from_slice(bytes).map_err(|e| corrupt(e.to_string()))?;
    if header.version != VERSION {
        return Err(Error::Version { key: key.to_owned(), version: header.version });
    }
    let json: JsonRecord = serde_json::from_slice(bytes).map_err(|e| corrupt(e.to_string()))?;
    let ttl = Duration::from_millis(json.ttl_ms);
    Ok(LeaseRecord { holder: json.holder, token: json.token, write_number: json.beat, ttl })
}
