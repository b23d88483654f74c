//! Authenticated requests between instances over TCP, for content too large for datagrams.
//!
//! A connection carries one request and its response at a time, each prefixed by its length, and is
//! reused for later requests. The MAC of the response covers that of the request, so a response to
//! another request is rejected. Both sides limit sizes, the number of connections and the time of
//! an exchange.

mod client;
mod pool;
mod retire;
mod sequence;
mod server;

pub use {
    client::Client,
    retire::retired_addresses,
    server::{ConnectionLimit, Server, serve},
};

use {
    agate_wire::{Reject, SealError},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// Timeout of one exchange on an open connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a request or of starting the server.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection or the listener failed, or the connection ended early.
    #[error("{step} with {peer}: {source}")]
    Io {
        /// The step that failed.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The step exceeded its timeout.
    #[error("{step} with {peer}: timed out")]
    Timeout {
        /// The step that failed.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
    },
    /// The response was rejected.
    #[error("{step} with {peer}: {reason}")]
    Rejected {
        /// The step that failed.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Why it was rejected.
        reason: Reject,
    },
    /// The request exceeds the size limit.
    #[error("{step} with {peer}: {source}")]
    Large {
        /// The step that failed.
        step: &'static str,
        /// Address of the other instance.
        peer: SocketAddr,
        /// Error of the encoding.
        source: SealError,
    },
}

/// Result of a request or of starting the server.
pub type FetchResult<T> = std::result::Result<T, FetchError>;

/// Prefixes a message with its length, as four bytes in big-endian order.
fn frame(message: &[u8]) -> io::Result<Vec<u8>> {
    let size = u32::try_from(message.len()).map_err(io::Error::other)?;
    let mut out = Vec::with_capacity(size_of::<u32>() + message.len());
    out.extend_from_slice(&size.to_be_bytes());
    out.extend_from_slice(message);
    Ok(out)
}

/// Reads one frame. The buffer grows with the received bytes, not with the announced length.
async fn read_frame(s: &mut TcpStream, limit: usize) -> io::Result<Result<Vec<u8>, Reject>> {
    let size = s.read_u32().await? as usize;
    read_body(s, size, limit).await
}

/// Reads the message of a frame whose length, `size`, was already read.
async fn read_body(
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
