//! Usage counters, their replication, and windows sealed and reported once.
//!
//! Each instance counts in a [`counter::Counter`] and sends whole values to peers in other
//! availability zones, which merge them into a [`ledger::Ledger`]. The holder of a shard's lease
//! gathers both, seals each window once in the store ([`sealed`]), and reports from the sealed
//! record only ([`sealer`]).
//!
//! Copies of silent instances are relayed on, and a graceful stop hands on everything. What is lost
//! when an instance is killed is at most what it counted since its last round that a peer took in,
//! always to the caller's favour. A sealed window never changes; what comes later is
//! an adjustment in a later window.

pub mod clock;
pub mod counter;
pub mod figures;
pub mod ledger;
mod pack;
pub mod runner;
pub mod sealed;
pub mod sealer;

pub use {
    figures::{Figures, Source, Window, shard_of},
    runner::Shard,
};
