//! Service rate, measured while requests are waiting.
//!
//! The rate is the cost served in recent samples divided by their duration. A sample lasts until
//! something was served in it. So a pause lowers the rate in proportion to its length, and a long
//! time between two grants does not look like a rate of zero.

use {agate_core::Mono, std::time::Duration};

/// Decay of the sums with each new sample.
const DECAY: f64 = 0.8;

/// Decaying sums of the cost served and of the duration.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    min_sample: Duration,
    cost: f64,
    seconds: f64,
    since: Mono,
    served: f64,
}

impl Rate {
    /// Makes an unknown rate, to be measured in samples of at least `min_sample`.
    pub fn new(min_sample: Duration) -> Self {
        Self { min_sample, cost: 0.0, seconds: 0.0, since: Mono::ZERO, served: 0.0 }
    }

    /// Starts a sample, discarding the open one.
    pub fn begin_sample(&mut self, now: Mono) {
        self.since = now;
        self.served = 0.0;
    }

    /// Adds cost that was served while requests waited.
    pub fn add(&mut self, cost: f64) {
        self.served += cost;
    }

    /// Closes the sample if it is long enough and something was served in it.
    pub fn close_sample(&mut self, now: Mono) {
        let length = now.saturating_sub(self.since);
        if length < self.min_sample || self.served <= 0.0 {
            return;
        }
        self.cost = DECAY * self.cost + self.served;
        self.seconds = DECAY * self.seconds + length.as_secs_f64();
        self.begin_sample(now);
    }

    /// Cost served per second; `None` while unknown.
    pub fn per_second(&self, now: Mono) -> Option<f64> {
        let open = now.saturating_sub(self.since);
        // An open sample below the minimum length is too inaccurate.
        let (cost, seconds) =
            if open < self.min_sample { (0.0, 0.0) } else { (self.served, open.as_secs_f64()) };
        (self.cost > 0.0).then(|| (self.cost + cost) / (self.seconds + seconds))
    }
}
