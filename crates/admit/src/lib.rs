//! Admission control: concurrency limits, budgets and a weighted fair queue.
//!
//! There are independent state machines: [`queue`] orders the requests that wait for a pool,
//! [`share`] limits how many scarce slots an instance fills, [`limit`] bounds the concurrent
//! requests at one endpoint, [`budget`] bounds what an organisation spends in a period, [`quota`]
//! bounds the weight of its requests in each window, and [`org_share`] with [`rank_share`] divides the engines of an overloaded service between
//! organisations and ranks. Time is an argument; none of them performs I/O.

pub mod budget;
pub mod limit;
pub mod org_share;
pub mod queue;
pub mod quota;
pub mod rank_share;
mod rate;
pub mod share;

pub use {
    limit::Limit,
    queue::{Event, Queue, Refused, Ticket},
    share::Share,
};
