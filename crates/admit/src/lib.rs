//! Admission of requests: limits, budgets and the fair queue.
//!
//! Four independent machines, all pure: [`queue`] orders the requests that wait for a pool,
//! [`share`] bounds what an instance takes of scarce slots, [`limit`] bounds the requests that one
//! endpoint holds, and [`budget`] bounds what an organisation spends in a period. Time is an
//! argument; none of them performs I/O.

pub mod budget;
pub mod limit;
pub mod queue;
mod rate;
pub mod share;

pub use {
    limit::Limit,
    queue::{Event, Queue, Refused, Ticket},
    share::Share,
};
