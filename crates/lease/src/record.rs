//! Record of a lease in the store.
//!
//! The record stays when the lease ends, so that the greatest fencing token is never forgotten. It
//! is JSON, so that an operator can read it; an unknown version is refused, not guessed at.

use {
    agate_core::FenceToken,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Version of the record that this build reads and writes.
pub const VERSION: u32 = 1;

/// Longest record accepted, in bytes.
const MAX_BYTES: usize = 4096;

/// What the record of a lease says.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Body {
    /// Name of the holder, unique for each start of an instance; empty after a release.
    pub holder: String,
    /// Fencing token of the present or last term.
    pub token: FenceToken,
    /// Number of this write among those of its holder.
    pub beat: u64,
    /// Time for which the holder may act after it sent this write.
    pub ttl: Duration,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The record is not what this build writes.
    #[error("record of lease {key} is corrupt: {cause}")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The record was written by a build with another format.
    #[error("record of lease {key} has unknown version {version}")]
    Version {
        /// Key of the record.
        key: String,
        /// Version found.
        version: u32,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    version: u32,
    holder: String,
    token: FenceToken,
    beat: u64,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Head {
    version: u32,
}

/// Key of the record of lease `name`.
pub fn key(name: &str) -> String {
    format!("lease/{name}")
}

/// Writes a record.
pub fn encode(body: &Body) -> Vec<u8> {
    let text = Text {
        version: VERSION,
        holder: body.holder.clone(),
        token: body.token,
        beat: body.beat,
        ttl_ms: u64::try_from(body.ttl.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_vec(&text).expect("a record of plain fields can be written")
}

/// Reads a record found under `key`.
pub fn decode(key: &str, bytes: &[u8]) -> Result<Body, Error> {
    let corrupt = |cause: String| Error::Corrupt { key: key.to_owned(), cause };
    if bytes.len() > MAX_BYTES {
        return Err(corrupt(format!("{} bytes", bytes.len())));
    }
    let head: Head = serde_json::from_slice(bytes).map_err(|e| corrupt(e.to_string()))?;
    if head.version != VERSION {
        return Err(Error::Version { key: key.to_owned(), version: head.version });
    }
    let text: Text = serde_json::from_slice(bytes).map_err(|e| corrupt(e.to_string()))?;
    let ttl = Duration::from_millis(text.ttl_ms);
    Ok(Body { holder: text.holder, token: text.token, beat: text.beat, ttl })
}
