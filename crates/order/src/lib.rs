//! Adapter to engines: reads their state and gives them orders.
//!
//! Invariants of an order: it goes on a connection of its own; the holder's authority is checked at
//! each write to the socket; after the order's life the connection is reset, so that no byte which the
//! operating system still holds is delivered later. The connection is closed before the outcome is
//! returned.

mod link;
mod order;
mod state;

pub use {
    link::Allow,
    order::{Order, Outcome, give},
    state::read,
};

use std::{io, net::SocketAddr};

/// Why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("{step} at engine {peer}: not sent: {source}")]
    Connect {
        /// What was attempted.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection broke.
    #[error("{step} at engine {peer}: {source}")]
    Broken {
        /// What was attempted.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// The library's error.
        source: hyper::Error,
    },
    /// There was no answer in time.
    #[error("{step} at engine {peer}: no answer in time")]
    Late {
        /// What was attempted.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
    },
    /// The answer was not understood.
    #[error("{step} at engine {peer}: unexpected answer: {cause}")]
    Malformed {
        /// What was attempted.
        step: &'static str,
        /// Address of the engine.
        peer: SocketAddr,
        /// What is wrong with it.
        cause: String,
    },
}

/// Result of a call to an engine.
pub type Result<T> = std::result::Result<T, Error>;
