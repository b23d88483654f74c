//! Authenticated requests between instances over TCP, for content too large for datagrams.
//!
//! A connection carries one request and its response at a time, each preceded by its length, and is
//! kept for the next one. The response's MAC covers the request's, so an answer to another request
//! is rejected. Sizes, the number of connections and the time of an exchange are bounded on both
//! sides.

mod client;
mod line;
mod pool;
mod retire;
mod server;

pub use {
    client::Client,
    retire::retired,
    server::{Capacity, Server, serve},
};

use {
    agate_wire::{Reject, SealError},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// Time for one exchange once the connection is open.
const EXCHANGE: Duration = Duration::from_secs(5);

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed or ended early.
    #[error("{step} with {peer}: {source}")]
    Io {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The step took too long.
    #[error("{step} with {peer}: timed out")]
    Timeout {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
    },
    /// The response was rejected.
    #[error("{step} with {peer}: {reason}")]
    Rejected {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        reason: Reject,
    },
    /// The request is too large.
    #[error("{step} with {peer}: {source}")]
    Large {
        /// What was attempted.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Cause.
        source: SealError,
    },
}

/// Result of a request.
pub type FetchResult<T> = std::result::Result<T, FetchError>;

/// Prefixes a message with its length.
fn frame(message: &[u8]) -> io::Result<Vec<u8>> {
    let size = u32::try_from(message.len()).map_err(io::Error::other)?;
    let mut out = Vec::with_capacity(size_of::<u32>() + message.len());
    out.extend_from_slice(&size.to_be_bytes());
    out.extend_from_slice(message);
    Ok(out)
}

/// Reads one frame; the buffer grows with the bytes that arrive, not with the length announced.
async fn read_frame(s: &mut TcpStream, limit: usize) -> io::Result<Result<Vec<u8>, Reject>> {
    let size = s.read_u32().await? as usize;
    read_rest(s, size, limit).await
}

/// Reads the message of a frame of which the length was read.
async fn read_rest(
    s: &mut TcpStream,
    size: usize,
    limit: usize,
) -> io::Result<Result<Vec<u8>, Reject>> {
    if size > limit {
        return Ok(Err(Reject::Large));
    }
    let mut bytes = Vec::new();
    s.take(size as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < size {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Ok(bytes))
}
