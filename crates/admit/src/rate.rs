//! Measured rate of service while work was waiting.

use {agate_core::Mono, std::time::Duration};

/// Weight of a sample of the nominal length.
const WEIGHT: f64 = 0.2;

/// Running mean of the cost served in a second of backlog.
#[derive(Clone, Debug)]
pub(crate) struct Rate {
    sample: Duration,
    mean: Option<f64>,
    since: Mono,
    served: f64,
}

impl Rate {
    /// Returns an unknown rate, to be measured in samples of at least `sample`.
    pub fn new(sample: Duration) -> Self {
        Self { sample, mean: None, since: Mono::ZERO, served: 0.0 }
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

    /// Closes the sample if it is long enough.
    pub fn tick(&mut self, now: Mono) {
        let length = now.saturating_sub(self.since);
        if length < self.sample {
            return;
        }
        let rate = self.served / length.as_secs_f64();
        let count = length.as_secs_f64() / self.sample.as_secs_f64();
        let weight = 1.0 - (1.0 - WEIGHT).powf(count);
        self.mean = Some(self.mean.map_or(rate, |m| m + (rate - m) * weight));
        self.begin(now);
    }

    /// Cost served in a second, or `None` while unknown.
    pub fn get(&self) -> Option<f64> {
        self.mean.filter(|m| *m > 0.0)
    }
}
