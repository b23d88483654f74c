//! Budget of repeated attempts that all instances share without talking.
//!
//! The whole fleet may send `ratio` of a service's requests again, plus `slack`, within any window.
//! Each instance stays below its own part, which must add up to no more than the whole at every
//! moment, whatever starts, ends or is cut off:
//!
//! - Of the ratio it takes that of the requests which it counted itself. Those of a predecessor are not
//!   counted again, so nothing that the predecessor sent is forgotten.
//! - Of the slack it takes an equal part, divided by the greatest number of instances of the last
//!   window ([`crate::headcount`]). For one window after its start it takes none, since the predecessor may
//!   have used that part; nor does it while it does not see itself on the list that the others read,
//!   since they may not count it.
//!
//! [`SAFETY`] covers attempts that arrive later than they were permitted.

use {
    agate_core::Mono,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Part of the allowance that is used.
pub const SAFETY: f64 = 0.6;
/// Buckets that a window is counted in.
const BUCKETS: u32 = 20;

/// The fleet's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Repeated attempts as a part of the requests.
    pub ratio: f64,
    /// Repeated attempts besides, of the whole fleet.
    pub slack: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

/// Counts of one service at one instance, over a window or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Callers' requests.
    pub requests: u32,
    /// Repeated attempts that were permitted.
    pub repeats: u32,
    /// Repeated attempts that were not.
    pub denied: u32,
}

impl Counts {
    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            repeats: self.repeats + other.repeats,
            denied: self.denied + other.denied,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    counts: Counts,
}

/// Counts of one service at one instance.
#[derive(Debug)]
struct Spare {
    rates: Rates,
    buckets: VecDeque<Bucket>,
}

impl Spare {
    fn new(rates: Rates) -> Self {
        Self { rates, buckets: VecDeque::with_capacity(BUCKETS as usize + 1) }
    }

    fn on_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    fn counts(&mut self, now: Mono) -> Counts {
        self.bucket(now);
        self.buckets.iter().fold(Counts::default(), |sum, b| sum.add(b.counts))
    }

    /// Takes one repeated attempt if the part of this instance allows it; `sharing` instances divide
    /// the slack, none of which this one may use if that is absent. Returns the bucket it counts in.
    fn take(&mut self, sharing: Option<usize>, now: Mono) -> Option<u64> {
        let Counts { requests, repeats, .. } = self.counts(now);
        let own = self.rates.ratio * f64::from(requests);
        let slack = sharing.map_or(0.0, |n| self.rates.slack / n.max(1) as f64);
        let allowed = f64::from(repeats) + 1.0 <= SAFETY * (own + slack);
        let bucket = self.bucket(now);
        if !allowed {
            bucket.denied += 1;
            return None;
        }
        bucket.repeats += 1;
        self.buckets.back().map(|b| b.number)
    }

    /// Gives back an attempt that was counted in the bucket `number` and not made.
    fn give_back(&mut self, number: u64) {
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.number == number) {
            bucket.counts.repeats -= 1;
        }
    }

    /// The bucket of `now`, after those that left the window were dropped.
    fn bucket(&mut self, now: Mono) -> &mut Counts {
        let length = self.rates.window / BUCKETS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, counts: Counts::default() });
        }
        &mut self.buckets.back_mut().expect("a bucket was just pushed").counts
    }
}

/// The budget of one service at one instance, shared by its requests.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Spare>>);

impl Budget {
    /// Opens an empty budget.
    pub fn new(rates: Rates) -> Self {
        Self(Arc::new(Mutex::new(Spare::new(rates))))
    }

    /// Counts a caller's request.
    pub fn on_request(&self, now: Mono) {
        self.lock().on_request(now);
    }

    /// Counts within the window that ends at `now`.
    pub fn counts(&self, now: Mono) -> Counts {
        self.lock().counts(now)
    }

    /// Takes a permit, if one is left; `sharing` instances divide the slack, none of which this one
    /// may use if that is absent.
    pub fn take(&self, sharing: Option<usize>, now: Mono) -> Option<Permit> {
        let bucket = self.lock().take(sharing, now)?;
        Some(Permit { budget: self.clone(), bucket, spent: false })
    }

    fn lock(&self) -> MutexGuard<'_, Spare> {
        self.0.lock().expect("no panic under the lock of a budget")
    }
}

/// Permission for one repeated attempt; it returns to the budget if it is dropped unspent.
#[derive(Debug)]
pub struct Permit {
    budget: Budget,
    bucket: u64,
    spent: bool,
}

impl Permit {
    /// Notes that the attempt is made.
    pub(crate) fn spend(&mut self) {
        self.spent = true;
    }

    /// Notes that the attempt was not made after all.
    pub(crate) fn unspent(mut self) -> Self {
        self.spent = false;
        self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.spent {
            self.budget.lock().give_back(self.bucket);
        }
    }
}
