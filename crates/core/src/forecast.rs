//! Forecast from a fast and a slow exponential moving average.
//!
//! The trend is the difference of the two averages divided by the difference of their time
//! constants. It is damped, so that a change is extrapolated for about one slow time constant
//! and not without limit.

use {crate::Mono, std::time::Duration};

/// Damped trend forecast of `N` quantities that are observed together.
#[derive(Clone, Debug)]
pub struct Forecast<const N: usize> {
    fast: [f64; N],
    slow: [f64; N],
    last: Option<Mono>,
    /// Time constants of the fast and the slow average.
    time_constants: (Duration, Duration),
}

impl<const N: usize> Forecast<N> {
    /// Returns a forecast without observations. `fast` and `slow` are the time constants of the
    /// two averages.
    ///
    /// # Panics
    ///
    /// If `fast` is not smaller than `slow`.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        assert!(fast < slow, "the fast time constant must be smaller than the slow one");
        Self { fast: [0.0; N], slow: [0.0; N], last: None, time_constants: (fast, slow) }
    }

    /// Updates both averages with one observation; the first one sets them.
    pub fn observe(&mut self, observed: [f64; N], now: Mono) {
        let Some(last) = self.last.replace(now) else {
            (self.fast, self.slow) = (observed, observed);
            return;
        };
        let elapsed = now.saturating_sub(last).as_secs_f64();
        let weight = |time_constant: Duration| 1.0 - (-elapsed / time_constant.as_secs_f64()).exp();
        blend(&mut self.fast, &observed, weight(self.time_constants.0));
        blend(&mut self.slow, &observed, weight(self.time_constants.1));
    }

    /// Whether there was an observation yet.
    pub fn is_ready(&self) -> bool {
        self.last.is_some()
    }

    /// Expected quantities after `horizon`; never negative.
    pub fn predict(&self, horizon: Duration) -> [f64; N] {
        let (fast, slow) =
            (self.time_constants.0.as_secs_f64(), self.time_constants.1.as_secs_f64());
        let damped = slow * (1.0 - (-horizon.as_secs_f64() / slow).exp());
        // The fast average lags by its own time constant, so that time is added.
        let steps = (damped + fast) / (slow - fast);
        std::array::from_fn(|i| (self.fast[i] + (self.fast[i] - self.slow[i]) * steps).max(0.0))
    }

    /// Slow averages, without trend.
    pub fn slow(&self) -> [f64; N] {
        self.slow
    }
}

fn blend<const N: usize>(avg: &mut [f64; N], observed: &[f64; N], weight: f64) {
    for (avg, observed) in avg.iter_mut().zip(observed) {
        *avg += (observed - *avg) * weight;
    }
}
