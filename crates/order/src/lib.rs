//! Adapter to engines: reads their state and sends them orders.
//!
//! Each order uses its own connection. The lease is checked before each write to the socket. When
//! the order expires, the connection is reset, so that the operating system discards bytes that it
//! has not delivered yet. The connection is closed before the outcome is returned.

mod connection;
mod order;
mod state;

pub use {
    connection::Allow,
    order::{Order, Outcome, send_order},
    state::read,
};

use std::{io, net::SocketAddr};

/// Failure of a call to an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("{step} at engine {peer}: not sent: {source}")]
    Connect {
        /// Operation that failed.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection failed during the call.
    #[error("{step} at engine {peer}: {source}")]
    Broken {
        /// Operation that failed.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// There was no response within the time limit.
    #[error("{step} at engine {peer}: timed out waiting for the response")]
    Late {
        /// Operation that failed.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
    },
    /// The response was not understood.
    #[error("{step} at engine {peer}: unexpected response: {cause}")]
    Malformed {
        /// Operation that failed.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// Description of the mismatch.
        cause: String,
    },
}

/// Result of a call to an engine.
pub type Result<T> = std::result::Result<T, Error>;
