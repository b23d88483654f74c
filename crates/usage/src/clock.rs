//! Clock of billing windows, which limits the effect of wall clock jumps.
//!
//! The time never goes back, and advances at most twice as fast as the monotonic clock. So a window
//! that this process has left stays closed, and a wall clock that is wrong for some time shifts
//! counts by at most that time.

use {
    crate::figures::Window,
    agate_core::{Mono, Wall},
    std::time::Duration,
};

/// Monotonic, rate-limited wall clock that is divided into windows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowClock {
    length: Duration,
    time: Wall,
    read_at: Mono,
}

impl WindowClock {
    /// Creates a clock that starts at the wall time `wall`, for windows of `length`.
    ///
    /// # Panics
    ///
    /// Panics if `length` is zero.
    pub fn open(length: Duration, wall: Wall, now: Mono) -> Self {
        assert!(!length.is_zero(), "window length must not be zero");
        Self { length, time: wall, read_at: now }
    }

    /// Advances the clock towards the wall time `wall` and returns its time.
    pub fn read(&mut self, wall: Wall, now: Mono) -> Wall {
        let elapsed = now.saturating_sub(self.read_at);
        self.time = wall.clamp(self.time, self.time + elapsed * 2);
        self.read_at = self.read_at.max(now);
        self.time
    }

    /// Window of the time last returned by [`WindowClock::read`].
    pub fn window(&self) -> Window {
        window_of(self.time, self.length)
    }
}

/// Number of the window that contains `time`.
pub fn window_of(time: Wall, length: Duration) -> Window {
    (time.as_nanos() / length.as_nanos()) as Window
}

/// End of `window`, which is the start of the next one.
pub fn window_end(window: Window, length: Duration) -> Wall {
    let nanos = length.as_nanos() * (u128::from(window) + 1);
    Duration::from_nanos_u128(nanos)
}
