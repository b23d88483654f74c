//! Failure detector of one endpoint.
//!
//! An endpoint goes offline after a number of consecutive failures, or if the failure rate over a
//! sliding window with a minimum number of requests is too high. The offline period doubles each
//! time. When it ends, the endpoint is on probation: one failure takes it offline again, and a
//! number of consecutive successes ends the probation. If too few endpoints of a pool are usable,
//! those nearest to the end of their offline period return early.
//!
//! Reading the state costs one atomic load; recording a result locks the endpoint's mutex.

use {
    agate_core::Mono,
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Number of consecutive failures that take an endpoint offline.
pub const MAX_CONSECUTIVE: u32 = 3;
/// Failure rate that takes an endpoint offline, in percent.
pub const RATE_PERCENT: u32 = 50;
/// Minimum number of requests in the window for the failure rate to apply.
pub const MIN_REQUESTS: u32 = 10;
/// Duration of one bucket of the window.
pub const BUCKET: Duration = Duration::from_secs(2);
/// Number of buckets in the window.
pub const BUCKETS: usize = 5;
/// Initial offline period.
pub const OFFLINE_MIN: Duration = Duration::from_secs(1);
/// Maximum offline period.
pub const OFFLINE_MAX: Duration = Duration::from_secs(30);
/// Number of consecutive successes that end the probation.
pub const PROBATION_SUCCESSES: u32 = 3;
/// Minimum share of a pool that is kept usable, in percent.
pub const USABLE_PERCENT: usize = 34;

/// Result of one exchange with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The endpoint responded.
    Success,
    /// The endpoint rejected the request for lack of capacity, so it works.
    Busy,
    /// The connection failed, or the response was invalid or did not arrive in time.
    Failure,
    /// The exchange ended for a reason on the caller's side and says nothing about the endpoint.
    Neutral,
}

/// State of the failure detector of one endpoint; the default is online.
#[derive(Debug, Default)]
pub struct Health {
    // End of the offline period in microseconds; zero means online.
    offline_until: AtomicU64,
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    buckets: [Bucket; BUCKETS],
    // Number of the latest bucket, counted from time zero.
    newest: u64,
    consecutive: u32,
    successes: u32,
    // Offline periods since a probation last ended.
    trips: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    failures: u32,
}

/// Whether the endpoint may be used.
pub fn usable(health: &Health, now: Mono) -> bool {
    health.offline_until.load(Relaxed) <= micros(now)
}

/// Remaining offline period; zero if the endpoint is usable.
pub fn offline_left(health: &Health, now: Mono) -> Duration {
    Duration::from_micros(health.offline_until.load(Relaxed).saturating_sub(micros(now)))
}

/// Records a result; returns whether it took the endpoint offline.
pub fn on_result(health: &Health, kind: ExchangeResult, now: Mono) -> bool {
    let mut w = health.window.lock().expect("detector mutex is never poisoned");
    match kind {
        ExchangeResult::Neutral => false,
        ExchangeResult::Success | ExchangeResult::Busy => {
            on_success(&mut w, now);
            false
        }
        ExchangeResult::Failure => {
            let trip = on_failure(&mut w, now) && usable(health, now);
            if trip {
                let period = (OFFLINE_MIN * (1 << w.trips.min(10))).min(OFFLINE_MAX);
                w.trips += 1;
                w.consecutive = 0;
                w.successes = 0;
                w.buckets = Default::default();
                health.offline_until.store(micros(now + period), Relaxed);
            }
            trip
        }
    }
}

/// Forgets all results.
pub fn reset(health: &Health) {
    *health.window.lock().expect("detector mutex is never poisoned") = Window::default();
    health.offline_until.store(0, Relaxed);
}

/// Brings endpoints back online, those nearest to the end of their offline period first, until
/// [`USABLE_PERCENT`] of `pool` are usable.
pub fn return_early(pool: &[&Health], now: Mono) {
    let least = (pool.len() * USABLE_PERCENT).div_ceil(100);
    let mut offline: Vec<_> = pool.iter().filter(|h| !usable(h, now)).collect();
    let usable = pool.len() - offline.len();
    offline.sort_by_key(|h| h.offline_until.load(Relaxed));
    for health in offline.into_iter().take(least.saturating_sub(usable)) {
        health.offline_until.store(0, Relaxed);
    }
}

fn on_success(w: &mut Window, now: Mono) {
    w.advance(now).requests += 1;
    w.consecutive = 0;
    w.successes += 1;
    if w.successes >= PROBATION_SUCCESSES {
        w.trips = 0;
    }
}

/// Counts a failure; returns whether it should take the endpoint offline.
fn on_failure(w: &mut Window, now: Mono) -> bool {
    let bucket = w.advance(now);
    bucket.requests += 1;
    bucket.failures += 1;
    w.consecutive += 1;
    w.successes = 0;
    let requests: u32 = w.buckets.iter().map(|b| b.requests).sum();
    let failures: u32 = w.buckets.iter().map(|b| b.failures).sum();
    let rate = requests >= MIN_REQUESTS && failures * 100 >= requests * RATE_PERCENT;
    w.trips > 0 || w.consecutive >= MAX_CONSECUTIVE || rate
}

impl Window {
    /// Advances the window to `now` and returns its latest bucket.
    fn advance(&mut self, now: Mono) -> &mut Bucket {
        let number = (now.as_micros() / BUCKET.as_micros()) as u64;
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for i in 0..passed {
            self.buckets[((number - i) % BUCKETS as u64) as usize] = Bucket::default();
        }
        self.newest = self.newest.max(number);
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }
}

fn micros(time: Mono) -> u64 {
    time.as_micros() as u64
}
