//! Budget of repeated attempts that all instances share without talking.
//!
//! The whole fleet may send `ratio` of a service's requests again, plus `slack`, within any window.
//! Each instance stays below its own part: the ratio of its own requests, and an equal part of the
//! slack by the number of instances known. [`SAFETY`] covers uneven and outdated knowledge of it.

use {
    agate_core::Mono,
    std::{collections::VecDeque, time::Duration},
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
    /// Arrivals at endpoints beyond the first of each request.
    pub arrivals: u32,
}

impl Counts {
    fn add(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            repeats: self.repeats + other.repeats,
            denied: self.denied + other.denied,
            arrivals: self.arrivals + other.arrivals,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    counts: Counts,
}

/// Counts of one service at one instance.
#[derive(Clone, Debug)]
pub struct Spare {
    rates: Rates,
    buckets: VecDeque<Bucket>,
}

impl Spare {
    /// Opens an empty count.
    pub fn new(rates: Rates) -> Self {
        Self { rates, buckets: VecDeque::with_capacity(BUCKETS as usize + 1) }
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    /// Counts an arrival at an endpoint beyond the first of its request.
    pub fn on_arrival(&mut self, now: Mono) {
        self.bucket(now).arrivals += 1;
    }

    /// Counts within the window that ends at `now`.
    pub fn counts(&mut self, now: Mono) -> Counts {
        self.bucket(now);
        self.buckets.iter().fold(Counts::default(), |sum, b| sum.add(b.counts))
    }

    /// Takes one repeated attempt if the part of this instance, one of `instances`, allows it.
    pub fn take(&mut self, instances: usize, now: Mono) -> bool {
        let Counts { requests, repeats, .. } = self.counts(now);
        let own = self.rates.ratio * f64::from(requests);
        let slack = self.rates.slack / instances.max(1) as f64;
        let allowed = f64::from(repeats) + 1.0 <= SAFETY * (own + slack);
        let bucket = self.bucket(now);
        if allowed {
            bucket.repeats += 1;
        } else {
            bucket.denied += 1;
        }
        allowed
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
