//! Endpoint selection: prefix affinity, predicted delay, failure detection and retry rules.
//!
//! [`Table`] holds every endpoint that one instance knows. Its structure (pools, availability
//! zones, rankings) is immutable and replaced as a whole when the configuration changes. Its
//! statistics ([`EndpointStats`]) are atomics shared between the old table and the new one, so a
//! request that started on the old table still updates its counters when it ends. [`choose()`]
//! changes neither. Callers call [`Table::start`] before and [`Table::finish`] after each request.
//!
//! [`signals`] decides when an endpoint may get requests by what it states about itself, and [`pace`]
//! divides a stated rate limit among the instances. [`hedge`] decides when a slow call gets a second
//! attempt.
//!
//! The functions are deterministic for tests: time is an argument, randomness comes from the
//! table's seed, and nothing performs I/O.

pub mod cache_index;
pub mod choose;
pub mod health;
pub mod hedge;
pub mod pace;
pub mod prefix;
pub mod ranking;
pub mod rate_meter;
pub mod retry;
pub mod signals;
pub mod stats;
pub mod table;

pub use {
    choose::{NoEndpoint, RouteQuery, choose},
    health::Health,
    retry::{Budget, Failure, may_retry},
    stats::{EndpointStats, LoadReport},
    table::{Distances, Endpoint, FreeSlots, Role, Spec, Table},
};
