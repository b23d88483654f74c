//! At most one run of a non-idempotent call, by claims in the store.
//!
//! Before the first byte of a call goes to an endpoint, its booking key is claimed; whoever loses
//! the claim waits for the winner's outcome or replays it. A claim is decided by nothing but a
//! compare-and-swap on the record of the key's claim shard, so any number of writers is safe.
//! That one instance owns a shard and the others forward to it only makes batches large.
//!
//! How the pieces fit:
//!
//! - [`entry`]: the changes, entries and verdicts, as they are stored and sent.
//! - [`head`]: the pure decision: applies a batch of changes to a shard's head record.
//! - [`owner`]: the pure choice of shard and owner.
//! - [`writer`]: one task per shard that batches changes and writes the head.
//! - [`forward`]: one task per shard that hands batches to the owner.
//! - [`tally`]: counters of the writers, for metrics.
//! - [`claim`]: the handle [`Once`], and the [`Permit`] that its winner holds.
//!
//! Invariants:
//!
//! - A key's claim passes to another call only if its holder stated that nothing was sent, or after
//!   the claim expired.
//! - A holder may begin to dispatch only within [`Settings::dispatch`] of asking, which is far less
//!   than [`Settings::retention`]; a claim that is answered later is given up unused.
//! - A claim whose holder vanished is never run again while it is retained: its outcome is unknown.
//! - A claim that the store did not confirm is refused, and nothing was sent.

pub mod claim;
pub mod entry;
pub mod forward;
pub mod head;
pub mod owner;
mod shard;
pub mod tally;
pub mod writer;

pub use {
    claim::{Claim, ClaimError, Once, Permit, Settings, fresh_incarnation},
    entry::{Answer, Change, KeyHash, Op, Print, Token, Verdict},
    forward::Forward,
    tally::Tally,
};
