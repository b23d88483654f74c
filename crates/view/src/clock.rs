//! Clocks, including the one by which the age of the local view is measured.

use {
    agate_core::{Mono, Wall},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time since the machine started, including suspension.
///
/// The monotonic clock of the standard library stops while a machine is suspended, so a lease or a
/// confirmation would look younger than it is.
pub fn now() -> Mono {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock exists on Linux");
    Duration::from(time)
}

/// Time that the machine was suspended since it started, which monotonic clocks leave out.
pub fn suspended() -> Duration {
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("the monotonic clock exists");
    now().saturating_sub(Duration::from(steady))
}

/// Time of day since the Unix epoch; zero if the clock is set before 1970.
pub fn wall() -> Wall {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
