//! The clock on which beliefs age.

use {
    agate_core::{Mono, Wall},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time since the machine started, suspension included.
///
/// The monotonic clock of the standard library stands still while a machine is suspended, so a lease
/// or a proof would look younger than it is.
pub fn now() -> Mono {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock exists on Linux");
    Duration::from(time)
}

/// Time that the machine spent suspended since it started; what monotonic clocks leave out.
pub fn suspended() -> Duration {
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("the monotonic clock exists");
    now().saturating_sub(Duration::from(steady))
}

/// Time of day; zero if it lies before 1970.
pub fn wall() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
