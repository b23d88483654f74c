//! What one instance does for all under a lease: reporting usage and ordering endpoints.
//!
//! Every instance keeps its counts of the last windows in a record of its own in the store
//! ([`count`]). The holder of the lease adds them up once a window is over, seals the sum with a
//! create-only write and reports what was sealed ([`window`]), so every report of a window bears the
//! same figures whoever sends it. It also compares the endpoints there are with those there should
//! be ([`order`]) and lets engines read or generate ([`stage`]). [`runner`] carries both out.

pub mod count;
pub mod counter;
pub mod order;
pub mod runner;
pub mod seat;
pub mod stage;
pub mod window;

use agate_view::table::Name;

/// Number of a usage window: its start in units of its length since 1970.
pub type Window = u64;
/// Requests that began to run, by organisation.
pub type Counts = indexmap::IndexMap<Name, u64>;
