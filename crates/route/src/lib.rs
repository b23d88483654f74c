//! Choice of endpoint: prefix affinity, predicted delay, health, retries.
//!
//! [`Table`] is the dense state of every endpoint that one instance knows. Its shape (pools,
//! availability zones, rankings) is immutable and replaced as a whole when the configuration
//! changes; its live figures ([`Live`]) are atomics shared between the old table and the new one,
//! so a request that started on the old table still settles its counters. [`choose()`] reads both
//! and changes neither; [`Table::start`] and [`Table::finish`] bracket a request.
//!
//! The functions are pure in the sense that matters for tests: time is an argument, randomness
//! comes from the table's own seed, and nothing performs I/O.

pub mod choose;
pub mod health;
pub mod known;
pub mod live;
pub mod prefix;
pub mod ranking;
pub mod retry;
pub mod table;

pub use {
    choose::{Ask, NoEndpoint, choose},
    health::Health,
    live::{Live, LoadReport},
    retry::{Budget, Failure, may_retry},
    table::{Distances, Endpoint, Role, Room, Spec, Table},
};
