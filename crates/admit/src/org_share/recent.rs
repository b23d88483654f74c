//! Sum over a sliding window.

use {super::WINDOW, agate_core::Mono};

/// Number of buckets per window.
const BUCKETS: usize = 20;

/// Sum of what was added within the last [`WINDOW`], accurate to a twentieth of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentSum {
    buckets: [f64; BUCKETS],
    /// Number of the newest bucket since the origin of the clock.
    newest: u64,
}

impl RecentSum {
    /// Adds `amount` at `now`; a negative one corrects an earlier one.
    pub fn add(&mut self, amount: f64, now: Mono) {
        self.advance(now);
        self.buckets[(self.newest % BUCKETS as u64) as usize] += amount;
    }

    /// Sum within the window that ends at `now`; never negative.
    pub fn sum(&mut self, now: Mono) -> f64 {
        self.advance(now);
        self.buckets.iter().sum::<f64>().max(0.0)
    }

    fn advance(&mut self, now: Mono) {
        let bucket = (now.as_micros() / (WINDOW.as_micros() / BUCKETS as u128)) as u64;
        let expired = bucket.saturating_sub(self.newest).min(BUCKETS as u64);
        for i in 0..expired {
            self.buckets[((bucket - i) % BUCKETS as u64) as usize] = 0.0;
        }
        self.newest = self.newest.max(bucket);
    }
}
