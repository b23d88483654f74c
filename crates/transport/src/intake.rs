//! Reads the body of a caller's request into memory drawn from the budget of all callers.
//!
//! A body is copied once, out of the connection's read buffer, so the size of its chunks does not matter.

use {
    crate::memory_budget::{Account, Draw},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::sync::Arc,
};

/// Least size of a buffer, in bytes.
const MIN_BUFFER: usize = 4 << 10;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum IntakeError {
    /// It is larger than the limit.
    #[error("the body is larger than the limit")]
    Large,
    /// There is no memory for it.
    #[error("the memory for callers is used up")]
    NoMemory,
    /// It ended early or is malformed.
    #[error("reading the body: {0}")]
    Cut(String),
}

/// Size to which a buffer of `capacity` bytes grows that needs `needed` and never more than `most`.
pub(crate) fn grown(capacity: usize, needed: usize, most: usize) -> usize {
    (2 * capacity).max(MIN_BUFFER).min(most).max(needed)
}

/// A body with what it draws.
struct Held {
    bytes: Vec<u8>,
    _draw: Draw,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `max` bytes. What it draws is returned when the last copy of the bytes is
/// dropped.
///
/// # Errors
///
/// If it is larger, which an announced length shows at once; if there is no memory for it or its caller
/// gives way to others; or if it does not arrive whole.
pub async fn read<B>(body: B, account: &Arc<Account>, max: usize) -> Result<Bytes, IntakeError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.size_hint().lower() > max as u64 {
        return Err(IntakeError::Large);
    }
    tokio::select! {
        biased;
        () = account.dropped() => Err(IntakeError::NoMemory),
        read = collect(body, account, max) => read,
    }
}

async fn collect<B>(mut body: B, account: &Arc<Account>, max: usize) -> Result<Bytes, IntakeError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let most = body.size_hint().exact().map_or(max, |n| n as usize);
    let (mut bytes, mut draw) = (Vec::new(), account.draw());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| IntakeError::Cut(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        let needed = bytes.len() + data.len();
        if needed > max {
            return Err(IntakeError::Large);
        }
        if needed > bytes.capacity() {
            let size = grown(bytes.capacity(), needed, most);
            draw.grow(size).await.map_err(|_| IntakeError::NoMemory)?;
            bytes.reserve_exact(size - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(Held { bytes, _draw: draw }))
}
