//! Number of instances that divide a limit on the whole fleet.
//!
//! The instance list is delayed and can be incomplete: before it is first read, and after leases of
//! live instances expired. So each instance counts for a whole window after it was last listed, and
//! an instance uses a share only while the others are sure to count it.

use {
    agate_core::Mono,
    std::{collections::VecDeque, time::Duration},
};

/// Fraction of the window within which an instance must have seen itself on the list. The others
/// count it for a whole window after it left the list, but may read the list earlier or later than
/// it does.
const LISTED_FRACTION: f64 = 0.5;

/// Sliding maximum of the number of listed instances.
#[derive(Clone, Debug)]
pub struct InstanceCount {
    window: Duration,
    started: Mono,
    latest: usize,
    /// Larger counts before the latest one, in decreasing order, each with the time it ended.
    earlier: VecDeque<(usize, Mono)>,
}

impl InstanceCount {
    /// Makes the count of an instance that started at `started`; `window` is that of the limit.
    pub fn new(window: Duration, started: Mono) -> Self {
        Self { window, started, latest: 0, earlier: VecDeque::new() }
    }

    /// Records that `count` instances are listed from `now` on.
    pub fn record(&mut self, count: usize, now: Mono) {
        if count < self.latest {
            // An earlier count that is not larger never becomes the maximum again.
            while self.earlier.pop_back_if(|(before, _)| *before <= self.latest).is_some() {}
            self.earlier.push_back((self.latest, now));
        }
        self.latest = count;
        self.expire(now);
    }

    /// Maximum count in the window that ends at `now`; at least one.
    pub fn max(&mut self, now: Mono) -> usize {
        self.expire(now);
        self.earlier.front().map_or(self.latest, |(count, _)| *count).max(1)
    }

    /// Time at which [`Self::max`] decreases if nothing else is recorded.
    pub fn next_decrease(&self) -> Option<Mono> {
        self.earlier.front().map(|(_, until)| *until + self.window)
    }

    /// Number of instances that divide the limit; `None` while this one must not use a share. It
    /// last saw itself on the list `listed` ago.
    pub fn sharers(&mut self, listed: Option<Duration>, now: Mono) -> Option<usize> {
        let up = now.saturating_sub(self.started);
        let counted = listed.is_some_and(|age| self.is_recent(age));
        (up >= self.window && counted).then(|| self.max(now))
    }

    /// Whether the others are sure to count an instance that last saw itself on the list `age` ago.
    pub fn is_recent(&self, age: Duration) -> bool {
        age <= self.window.mul_f64(LISTED_FRACTION)
    }

    fn expire(&mut self, now: Mono) {
        let (window, latest) = (self.window, self.latest);
        self.earlier.retain(|(count, until)| *count > latest && *until + window > now);
    }
}
