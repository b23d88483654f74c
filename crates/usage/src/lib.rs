//! Usage counters, their replication, and billing windows that are sealed and reported once.
//!
//! Each instance counts in a [`counter::Counter`] and sends absolute values to peers in other
//! availability zones, which merge them into a [`ledger::Ledger`]. The lease holder of a shard
//! collects both, seals each window in one store record ([`sealed`]), and reports only from that
//! record ([`sealer`]).
//!
//! Copies of silent instances are relayed to further peers, and an instance that stops gracefully
//! sends all its counters and copies to its peers. When an instance is killed, at most what it
//! counted after the last round that a peer merged is lost, which means that callers are charged
//! less, never more. A sealed window never changes; counts that arrive later are added to a later
//! window as an adjustment.

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
