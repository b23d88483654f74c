//! Authority of a lease holder, as an input of the controllers.

use crate::{FenceToken, Mono};

/// Authority of the lease holder to control a shard of engines or the fleet of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token of the lease; it is larger than that of every earlier holder.
    pub fence: FenceToken,
    /// Time from which the authority must not be used.
    pub until: Mono,
    /// Time before which no order may be sent, because orders of an earlier holder may still
    /// arrive.
    pub first_order: Mono,
}
