//! Time of billing windows, guarded against jumps of the wall clock.
//!
//! The guarded time never goes back, and goes forward at most twice as fast as the monotonic clock.
//! So a window that this process has left stays closed, and a clock that is wrong for a while
//! carries the counts off by no more than that while.

use {
    crate::figures::Window,
    agate_core::{Mono, Wall},
    std::time::Duration,
};

/// Guarded wall clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowClock {
    length: Duration,
    time: Wall,
    at: Mono,
}

impl WindowClock {
    /// Opens the clock at the wall time `wall`, for windows of `length`.
    pub fn open(length: Duration, wall: Wall, now: Mono) -> Self {
        assert!(!length.is_zero(), "a window lasts some time");
        Self { length, time: wall, at: now }
    }

    /// Guarded time, given what the wall clock reads.
    pub fn read(&mut self, wall: Wall, now: Mono) -> Wall {
        let passed = now.saturating_sub(self.at);
        self.time = wall.clamp(self.time, self.time + passed * 2);
        self.at = self.at.max(now);
        self.time
    }

    /// Window of the last time read.
    pub fn window(&self) -> Window {
        window_of(self.time, self.length)
    }
}

/// Window that `time` falls in.
pub fn window_of(time: Wall, length: Duration) -> Window {
    (time.as_nanos() / length.as_nanos()) as Window
}

/// Time at which `window` ends.
pub fn window_end(window: Window, length: Duration) -> Wall {
    let nanos = length.as_nanos() * (u128::from(window) + 1);
    Duration::from_nanos_u128(nanos)
}
