//! Stand-ins for the external systems: platform, model engine and plain service.
//!
//! Each stand-in serves the interface of `docs/INTERFACES.md` over HTTP on loopback, keeps a log of
//! what it ran, and can inject faults. In front of [`Engine`] and [`Service`] is a [`FaultProxy`], a TCP
//! proxy that injects faults of connections: stalled or closed connections, and bytes that belong
//! to no response.
//!
//! Invariant checks compare the responses that callers got with these logs. An entry is therefore
//! written before the response is sent, and faults do not alter it.

pub mod engine;
pub mod fault_proxy;
pub mod platform;
pub mod ports;
pub mod server;
pub mod service;

pub use {
    engine::{Engine, EngineFaults, EngineSettings},
    fault_proxy::{FaultProxy, ProxyFaults},
    platform::{Platform, PlatformFaults},
    service::{Service, ServiceFaults},
};

use std::net::SocketAddr;

/// Error while starting a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on the address failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
