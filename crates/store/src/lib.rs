//! Interface to the platform's key-value service, and the client that all callers share.
//!
//! [`port::Store`] is the only way for other crates to reach the service. It wraps one closure over
//! a typed [`port::Call`], so metering, call budgets, faults and adapters are functions from
//! `Store` to `Store`.
//!
//! [`client::Client`] adds budgets, a circuit breaker, deadlines and retries.
//! [`resolve::swap_resolved`] resolves writes whose response was lost. [`memory::Memory`] is an
//! in-memory service on top of the pure state machine in [`model`].

pub mod backoff;
pub mod breaker;
pub mod budget;
pub mod client;
mod coalesce;
pub mod era;
pub mod memory;
pub mod metrics;
pub mod model;
pub mod port;
pub mod quota;
pub mod resolve;
pub mod tally;

pub use {
    client::Client,
    memory::Memory,
    port::{
        Call, Error, Freshness, Item, Page, Purpose, Record, Result, Revision, Store, StoreResponse,
    },
    resolve::{SwapOutcome, Write, swap_resolved},
};
