//! Time as decision logic sees it.

use std::time::Duration;

/// Monotonic time since an origin that this process chose; never compared between processes.
pub type Mono = Duration;

/// Time since the Unix epoch; used for billing windows and expiry, never for authority.
pub type Wall = Duration;
