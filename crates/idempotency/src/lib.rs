//! At-most-once execution of non-idempotent calls, by claims in the store.
//!
//! Before the first byte of a call is sent to an endpoint, its idempotency key is claimed. A call
//! that does not get the claim waits for the outcome of the call that holds it, or replays the
//! stored response. Only a compare-and-swap on the record of the key's claim shard decides a claim,
//! so any number of writers is safe. Shards have an owner to which the other instances forward
//! their changes only because this makes the batches larger.
//!
//! Modules:
//!
//! - [`entry`]: changes, entries and verdicts, as they are stored and sent.
//! - [`head`]: applies a batch of changes to a shard's head record, without I/O.
//! - [`owner`]: the choice of shard and owner.
//! - [`writer`]: one task per shard that batches changes and writes the head.
//! - [`forward`]: one task per shard that sends batches to the owner.
//! - [`counters`]: counters of the writers, for metrics.
//! - [`claim`]: the handle [`ClaimCoordinator`], and the [`Permit`] that a successful claim returns.
//!
//! Invariants:
//!
//! - A claim passes to another call only if its holder recorded that nothing was sent, or after the
//!   claim expired.
//! - The holder of a claim may start to send only within [`Settings::dispatch`] of its request or
//!   renewal, which is far less than [`Settings::retention`]. A claim that is confirmed later is
//!   released unused.
//! - A call whose claim holder disappeared is not run again while the claim is retained; its
//!   outcome is unknown.
//! - If the store did not confirm a claim, it is refused and nothing was sent.

pub mod claim;
pub mod counters;
pub mod entry;
pub mod forward;
pub mod head;
pub mod owner;
mod shard;
pub mod writer;

pub use {
    claim::{Claim, ClaimCoordinator, ClaimError, Permit, Settings, fresh_incarnation},
    counters::Counters,
    entry::{Change, Fingerprint, KeyHash, Op, StoredResponse, Token, Verdict},
    forward::Forward,
};
