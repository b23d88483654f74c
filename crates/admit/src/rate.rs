//! Measured rate of service while work was waiting.
//!
//! The rate is the cost of the newest samples over their time. A sample lasts until something was
//! served in it, so a pause lowers the rate in proportion to its length, and grants that are far apart
//! do not make the time between them look like the end of all service.

use {agate_core::Mono, std::time::Duration};

/// Part of the sums that is kept with each new sample.
const KEPT: f64 = 0.8;

/// Decaying sums of the cost served and of the time that it took.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    sample: Duration,
    cost: f64,
    seconds: f64,
    since: Mono,
    served: f64,
}

impl Rate {
    /// Returns an unknown rate, to be measured in samples of at least `sample`.
    pub fn new(sample: Duration) -> Self {
        Self { sample, cost: 0.0, seconds: 0.0, since: Mono::ZERO, served: 0.0 }
    }

    /// Starts a sample: work has just begun to wait.
    pub fn begin(&mut self, now: Mono) {
        self.since = now;
        self.served = 0.0;
    }

    /// Adds cost served during backlog.
    pub fn serve(&mut self, cost: f64) {
        self.served += cost;
    }

    /// Closes the sample if it is long enough and something was served in it.
    pub fn tick(&mut self, now: Mono) {
        let length = now.saturating_sub(self.since);
        if length < self.sample || self.served <= 0.0 {
            return;
        }
        self.cost = KEPT * self.cost + self.served;
        self.seconds = KEPT * self.seconds + length.as_secs_f64();
        self.begin(now);
    }

    /// Cost served in a second, or `None` while unknown.
    pub fn get(&self, now: Mono) -> Option<f64> {
        let open = now.saturating_sub(self.since);
        // An open sample that is shorter than a whole one tells little.
        let (cost, seconds) =
            if open < self.sample { (0.0, 0.0) } else { (self.served, open.as_secs_f64()) };
        (self.cost > 0.0).then(|| (self.cost + cost) / (self.seconds + seconds))
    }
}
