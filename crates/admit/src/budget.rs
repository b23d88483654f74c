//! Budgets: limit what an organisation spends in a period to its cap.
//!
//! Each organisation has an owner, the first member by rendezvous hashing. The owner reserves slabs
//! of the cap in the store by compare-and-swap and grants slices of them to the instances that
//! spend. Nothing is spent that was not granted, and nothing is granted that was not reserved. So
//! the reserved amount bounds the spend of all instances, even if several believe to be the owner.
//!
//! Bounds for cap `C`, slice `S` and slab `B`:
//!
//! - Requests are charged their maximum cost (prompt plus maximum output) before they start and
//!   refunded afterwards. Spend without credit never exceeds `C`, also with partitioned instances
//!   or two owners.
//! - Until the period ends, at most `B` is lost when the owner changes, and at most `S` for each
//!   spender that stops with an unspent slice.
//! - While the store is unavailable, the owner grants the rest of its slab. While the owner is
//!   unavailable, a spender spends the rest of its slice. Then requests run on credit, up to `C /
//!   D` over all spenders that know each other, where `D` is [`CREDIT_DIVISOR`]; further requests are
//!   refused. Only credit can exceed the cap.

pub mod owner;
pub mod spender;

/// Amount of money or tokens, in the smallest unit.
pub type Amount = u64;
/// Number of a budget period, equal on every instance.
pub type Period = u64;

/// Slab that an owner reserves at once, as a divisor of the unreserved part of the cap.
pub const SLAB_DIVISOR: Amount = 4;
/// Slice that a spender is granted at once, as a divisor of the ungranted part of the slab.
pub const SLICE_DIVISOR: Amount = 16;
/// Maximum amount that all spenders together may charge on credit, as a divisor of the cap.
pub const CREDIT_DIVISOR: Amount = 8;
/// Minimum size of a slab and of a slice, if that much is left.
pub const MIN_SLICE: Amount = 1_000;
