//! Admission of requests: limits, budgets and the fair queue.
//!
//! Three independent machines, all pure: [`queue`] orders the requests that wait for a pool,
//! [`limit`] bounds the requests that one endpoint holds, and [`budget`] bounds what an
//! organisation spends in a period. Time is an argument; none of them performs I/O.

pub mod budget;
pub mod limit;
pub mod queue;
mod rate;

pub use {
    limit::Limit,
    queue::{Event, Queue, Refused, Ticket},
};
