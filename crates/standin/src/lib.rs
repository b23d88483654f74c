//! Stand-ins of the outside systems: platform, model engine and plain service.
//!
//! Each stand-in serves the interface of `docs/INTERFACES.md` over HTTP on loopback, keeps a log of
//! what it really ran, and can be told to fail. [`Engine`] and [`Service`] sit behind a [`Tap`], a
//! byte forwarder that brings about the failures below HTTP: connections that go silent, are cut,
//! or carry bytes that belong to no reply.
//!
//! The logs are the truth that invariant checks compare the system's answers with, so they are
//! written before a reply leaves and are never edited by a fault.

pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
pub mod tap;

pub use {
    engine::{Engine, EngineFaults, EngineSettings},
    platform::{Platform, PlatformFaults},
    service::{Service, ServiceFaults},
    tap::{Tap, TapFaults},
};

use std::net::SocketAddr;

/// Why a stand-in could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be listened on.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// Cause given by the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
