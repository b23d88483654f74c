//! Retry budget that all instances share without coordination.
//!
//! Within any window, all instances together may retry `ratio` of a service's requests, plus
//! `slack`. Each instance stays within its own share. The shares must never add up to more than the
//! whole, whichever instances start, stop or are partitioned:
//!
//! - Of the ratio, an instance uses the part for the requests that it counted itself. A restarted
//!   instance begins at zero, so it does not spend again what its predecessor spent.
//! - Of the slack, it uses an equal share, divided by the maximum number of instances in the last
//!   window ([`crate::instance_count`]). It uses none for one window after its start, since its
//!   predecessor may have used that share, and none while it is missing from the instance list,
//!   since the others may not count it.
//!
//! [`USED_FRACTION`] leaves room for attempts that arrive later than they were permitted.

use {
    agate_core::Mono,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Fraction of the limits that is used.
pub const USED_FRACTION: f64 = 0.6;
/// Number of buckets per window.
const BUCKETS: u32 = 20;

/// Limits on the retries of all instances together, per service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a fraction of the requests.
    pub ratio: f64,
    /// Number of retries in addition, over all instances.
    pub slack: f64,
    /// Sliding window over which both are counted.
    pub window: Duration,
}

/// Counts of one service at one instance, over a window or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests from callers.
    pub requests: u32,
    /// Retries that were permitted.
    pub retries: u32,
    /// Retries that were denied.
    pub denied: u32,
}

impl Counts {
    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            retries: self.retries + other.retries,
            denied: self.denied + other.denied,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    counts: Counts,
}

/// Counts of one service at one instance over a sliding window.
#[derive(Debug)]
struct BudgetState {
    rates: RetryLimits,
    buckets: VecDeque<Bucket>,
}

impl BudgetState {
    fn new(rates: RetryLimits) -> Self {
        Self { rates, buckets: VecDeque::with_capacity(BUCKETS as usize + 1) }
    }

    fn on_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    fn counts(&mut self, now: Mono) -> Counts {
        self.bucket(now);
        self.buckets.iter().fold(Counts::default(), |sum, b| sum.add(b.counts))
    }

    /// Counts one retry if this instance's share allows it and returns the number of its bucket.
    /// `sharers` instances divide the slack; if `None`, this one may not use any of it.
    fn take(&mut self, sharers: Option<usize>, now: Mono) -> Option<u64> {
        let Counts { requests, retries, .. } = self.counts(now);
        let own = self.rates.ratio * f64::from(requests);
        let slack = sharers.map_or(0.0, |n| self.rates.slack / n.max(1) as f64);
        let allowed = f64::from(retries) + 1.0 <= USED_FRACTION * (own + slack);
        let bucket = self.bucket(now);
        if !allowed {
            bucket.denied += 1;
            return None;
        }
        bucket.retries += 1;
        self.buckets.back().map(|b| b.number)
    }

    /// Uncounts a retry in the bucket `number` that was not made.
    fn release(&mut self, number: u64) {
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.number == number) {
            bucket.counts.retries -= 1;
        }
    }

    /// Drops the buckets before the window and returns the one for `now`.
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

/// Retry budget of one service at one instance, shared by its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget(Arc<Mutex<BudgetState>>);

impl RetryBudget {
    /// Makes a budget without requests or retries.
    pub fn new(rates: RetryLimits) -> Self {
        Self(Arc::new(Mutex::new(BudgetState::new(rates))))
    }

    /// Counts a request from a caller, which raises the budget.
    pub fn on_request(&self, now: Mono) {
        self.lock().on_request(now);
    }

    /// Counts within the window that ends at `now`.
    pub fn counts(&self, now: Mono) -> Counts {
        self.lock().counts(now)
    }

    /// Takes a permit; `None` if the budget is spent. `sharers` instances divide the slack; if
    /// `None`, this one may not use any of it.
    pub fn take(&self, sharers: Option<usize>, now: Mono) -> Option<Permit> {
        let bucket = self.lock().take(sharers, now)?;
        Some(Permit { budget: self.clone(), bucket, spent: false })
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.0.lock().expect("lock of a retry budget is not poisoned")
    }
}

/// Permission for one retry; dropped unspent, it returns to the budget.
#[derive(Debug)]
pub struct Permit {
    budget: RetryBudget,
    bucket: u64,
    spent: bool,
}

impl Permit {
    /// Marks the retry as made.
    pub(crate) fn spend(&mut self) {
        self.spent = true;
    }

    /// Marks the retry as not made after all.
    pub(crate) fn unspend(mut self) -> Self {
        self.spent = false;
        self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.spent {
            self.budget.lock().release(self.bucket);
        }
    }
}
