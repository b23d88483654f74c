//! Authority through leases with fencing tokens held in the platform's store.
//!
//! [`machine`] decides, as a pure state machine; [`record`] is what it writes; [`Lease`] runs it.
//! [`rank::candidates`] says which instances stand for a lease.

pub mod machine;
pub mod rank;
pub mod record;
mod runner;
mod state;

pub use {
    machine::{Settings, may_act},
    runner::{Counters, Lease},
};
