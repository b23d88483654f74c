//! Average rate of events, weighted towards the latest ones.

use {agate_core::Mono, std::time::Duration};

/// Sum of amounts that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct RateMeter {
    time_constant: Duration,
    sum: f64,
    updated: Mono,
}

impl RateMeter {
    /// Makes a meter that averages over about `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self { time_constant, sum: 0.0, updated: Mono::ZERO }
    }

    /// Adds an event of size `amount`.
    pub fn add(&mut self, amount: f64, now: Mono) {
        self.decay(now);
        self.sum += amount;
    }

    /// Amount per second, averaged over the time before `now`.
    pub fn per_second(&mut self, now: Mono) -> f64 {
        self.decay(now);
        self.sum / self.time_constant.as_secs_f64()
    }

    fn decay(&mut self, now: Mono) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.sum *= (-passed / self.time_constant.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
    }
}
