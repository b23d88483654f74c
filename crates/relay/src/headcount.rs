//! By how many instances an allowance of the whole fleet is divided.
//!
//! The list of instances is late and can be short: before its first read, and after leases lapsed
//! although their holders live. So an instance counts for a whole window after it was last listed,
//! and an instance has a part only while the others surely count it too.

use {
    agate_core::Mono,
    std::{collections::VecDeque, time::Duration},
};

/// Part of the window within which an instance must have seen itself on the list. The others count
/// it for a whole window after it left the list, and may read the list that much earlier or later.
const LISTED_PART: f64 = 0.5;

/// What one instance knows of the number of instances.
#[derive(Clone, Debug)]
pub struct Headcount {
    window: Duration,
    started: Mono,
    newest: usize,
    /// Greater counts before the newest one, falling, with the time until which each held.
    earlier: VecDeque<(usize, Mono)>,
}

impl Headcount {
    /// Begins to count at `started`; an allowance is counted within `window`.
    pub fn new(window: Duration, started: Mono) -> Self {
        Self { window, started, newest: 0, earlier: VecDeque::new() }
    }

    /// Notes that `count` instances are listed from `now` on.
    pub fn note(&mut self, count: usize, now: Mono) {
        if count < self.newest {
            // A smaller count that held earlier adds nothing.
            while self.earlier.pop_back_if(|(before, _)| *before <= self.newest).is_some() {}
            self.earlier.push_back((self.newest, now));
        }
        self.newest = count;
        self.forget(now);
    }

    /// Greatest count of the window that ends at `now`, at least one.
    pub fn most(&mut self, now: Mono) -> usize {
        self.forget(now);
        self.earlier.front().map_or(self.newest, |(count, _)| *count).max(1)
    }

    /// When [`Self::most`] falls if nothing else is noted.
    pub fn falls(&self) -> Option<Mono> {
        self.earlier.front().map(|(_, until)| *until + self.window)
    }

    /// Number of instances that share the allowance, if this one has a part in it. It saw itself on
    /// the list `listed` ago.
    pub fn sharing(&mut self, listed: Option<Duration>, now: Mono) -> Option<usize> {
        let up = now.saturating_sub(self.started);
        let counted = listed.is_some_and(|age| age <= self.window.mul_f64(LISTED_PART));
        (up >= self.window && counted).then(|| self.most(now))
    }

    fn forget(&mut self, now: Mono) {
        let (window, newest) = (self.window, self.newest);
        self.earlier.retain(|(count, until)| *count > newest && *until + window > now);
    }
}
