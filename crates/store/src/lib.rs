//! Port of the platform's key-value service, and the one client that all callers share.
//!
//! [`port::Store`] is the only way the rest of the system reaches the service. It is a plain value
//! around one closure over a typed [`port::Call`], so metering, call budgets, faults and adapters
//! are functions from `Store` to `Store`.
//!
//! [`client::Client`] adds budget, breaker, deadline and retries; [`resolve::swap_resolved`] settles
//! writes whose answer was lost. [`memory::Memory`] is the service in memory, over the plain state
//! machine in [`model`].

pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
mod coalesce;
pub mod memory;
pub mod meter;
pub mod model;
pub mod port;
pub mod quota;
pub mod resolve;
pub mod tally;

pub use {
    client::Client,
    memory::Memory,
    port::{Call, Error, Freshness, Item, Page, Purpose, Record, Reply, Result, Revision, Store},
    resolve::{Swap, Write, swap_resolved},
};
