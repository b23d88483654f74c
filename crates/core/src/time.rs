//! Time types of the decision logic.

use std::time::Duration;

/// Monotonic time since an origin that this process chose; not comparable between processes.
pub type Mono = Duration;

/// Time since the Unix epoch; used for billing windows and expiry, not for the validity of leases.
pub type Wall = Duration;

/// Longest time that [`seconds`] returns. It can be added to any time without overflow.
pub const MAX_SPAN: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Converts a number of seconds, whoever stated it: at most [`MAX_SPAN`], and zero if the number is
/// negative or not a number.
pub fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.clamp(0.0, MAX_SPAN.as_secs_f64())).unwrap_or_default()
}
