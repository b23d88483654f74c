//! Time types of the decision logic.

use std::time::Duration;

/// Monotonic time since an origin that this process chose; not comparable between processes.
pub type Mono = Duration;

/// Time since the Unix epoch; used for billing windows and expiry, not for the validity of leases.
pub type Wall = Duration;
