//! Authority of the holder of a lease, as pure controllers take it.

use crate::{FenceToken, Mono};

/// Authority over a piece of engines or the fleet of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token.
    pub fence: FenceToken,
    /// Time after which the authority must not be used.
    pub until: Mono,
    /// Time before which orders of an earlier holder may still arrive.
    pub first_order: Mono,
}
