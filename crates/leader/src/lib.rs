//! Tasks that one instance performs for all while it holds the leader lease: reporting usage,
//! ordering endpoints and assigning engine stages.
//!
//! Every instance keeps its usage counts of the latest windows in its own record in the store
//! ([`count`]). When a window is over, the lease holder adds them up, seals the sum with a
//! create-only write and reports the sealed sum ([`window`]). So every report of a window has the
//! same content, whichever instance sends it. The lease holder also compares the existing endpoints
//! with the target ([`order`], by demand in [`capacity`]) and assigns engines to prefill or decode ([`stage`]). [`runner`]
//! executes these tasks.

pub mod candidate;
pub mod capacity;
pub mod count;
pub mod counter;
pub mod order;
pub mod runner;
pub mod seal;
pub mod stage;
pub mod window;

use agate_view::table::Name;

/// Number of a usage window: its start since 1970 divided by its length.
pub type Window = u64;
/// Number of requests that began to run, by organisation.
pub type Counts = indexmap::IndexMap<Name, u64>;
