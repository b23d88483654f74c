//! Leases with fencing tokens, held in the platform's store.
//!
//! [`machine`] is the pure state machine of one lease, [`record`] the format of its record in the
//! store, and [`Lease`] runs the machine. [`rank::candidates`] selects the instances that compete
//! for a lease.

pub mod machine;
pub mod rank;
pub mod record;
mod runner;
mod state;

pub use {
    machine::{Settings, may_act},
    runner::{Counters, Lease},
};
