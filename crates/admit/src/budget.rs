//! Spend of organisations against their caps.
//!
//! The owner of an organisation (the first member by rendezvous hashing) reserves slabs of the cap
//! in the store by compare-and-swap, and hands out slices of them to the instances that spend.
//! Nothing is spent that was not granted, and nothing is granted that was not reserved. So the
//! reserved amount, which only one compare-and-swap can raise, bounds the spend of all instances,
//! whoever believes to be the owner.
//!
//! Bounds for cap `C`, `n` spenders, slice `S` and slab `B`:
//! - requests are charged their upper bound (prompt plus maximal output) before they start and
//!   refunded after: spend never exceeds `C`, partitioned instances and two owners included;
//! - at most `B` is lost to a change of owner, and at most `S` to each spender that dies with an
//!   unspent slice, until the period ends;
//! - while the store is away the owner grants what is left of its slab, while the owner is away a
//!   spender spends what is left of its slice; then requests run on credit, up to `C / D` over all
//!   spenders that know each other, with `D` the [`CREDIT_SHARE`], and are refused beyond it. Only
//!   credit may lead over the cap.

pub mod owner;
pub mod spender;

/// Amount of money or tokens in the smallest unit.
pub type Amount = u64;
/// Number of the budget period, the same on every instance.
pub type Period = u64;

/// Slab that an owner reserves at once, as a divisor of what is left of the cap.
pub const SLAB_SHARE: Amount = 4;
/// Slice that a spender is granted at once, as a divisor of the unassigned part of the slab.
pub const SLICE_SHARE: Amount = 16;
/// What all spenders together may charge on credit, as a divisor of the cap.
pub const CREDIT_SHARE: Amount = 8;
/// Smallest slab and slice.
pub const LEAST: Amount = 1_000;
