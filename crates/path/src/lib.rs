//! Paths from an instance to endpoints.
//!
//! An instance may lose its links to some or all endpoints while callers and other instances still
//! reach it. A connection to an endpoint that does not open directly is then opened through another
//! instance, which forwards its bytes; the request is still handled by the instance that accepted
//! it.
//!
//! - [`decision`]: what an instance concludes about its path to one endpoint, and which instance it
//!   asks; pure.
//! - [`paths`]: opens and checks connections to endpoints.
//! - [`relay`]: opens connections for other instances and forwards their bytes.
//! - [`handshake`]: messages with which a relayed connection begins.
//! - [`frames`]: bytes of an endpoint on a relayed connection, with a mark at their end.
//!
//! Invariants: a relayed connection ends at an endpoint of the relay's own list, so there are no
//! loops; a path counts as broken only if another instance can open a connection that this one
//! cannot; the end of a relayed connection counts as the endpoint's only if the relay marked it.

pub mod decision;
pub mod frames;
pub mod handshake;
pub mod metrics;
pub mod paths;
pub mod relay;

use {
    agate_wire::Keys,
    futures_util::future::BoxFuture,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::net::TcpStream,
};

pub use {
    paths::{Path, Paths},
    relay::Relay,
};

/// Opens a direct connection.
pub type DialFn = dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync;
/// Returns the keys that authenticate messages between instances, once they are known.
pub type KeysFn = dyn Fn() -> Option<Arc<Keys>> + Send + Sync;
