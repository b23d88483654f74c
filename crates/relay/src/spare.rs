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

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
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

    /// Takes one repeated attempt if the part of this instance, one of `instances`, allows it.
    pub fn take(&mut self, instances: usize, now: Mono) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let own = self.rates.ratio * f64::from(requests);
        let slack = self.rates.slack / instances.max(1) as f64;
        let allowed = f64::from(repeats) + 1.0 <= SAFETY * (own + slack);
        if allowed {
            self.bucket(now).repeats += 1;
        }
        allowed
    }

    /// The bucket of `now`, after those that left the window were dropped.
    fn bucket(&mut self, now: Mono) -> &mut Bucket {
        let length = self.rates.window / BUCKETS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
