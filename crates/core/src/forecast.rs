//! Forecast from a fast and a slow average.
//!
//! The trend is the difference of the two averages over the difference of their lags. It is damped,
//! so that a swing is followed for about a slow time constant and not extrapolated for ever.

use {crate::Mono, std::time::Duration};

/// Averages of `N` quantities that are observed together.
#[derive(Clone, Debug)]
pub struct Forecast<const N: usize> {
    fast: [f64; N],
    slow: [f64; N],
    last: Option<Mono>,
    lags: (Duration, Duration),
}

impl<const N: usize> Forecast<N> {
    /// Returns a forecast with the time constants of its fast and slow averages.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        assert!(fast < slow, "the fast average has the smaller time constant");
        Self { fast: [0.0; N], slow: [0.0; N], last: None, lags: (fast, slow) }
    }

    /// Takes one observation.
    pub fn observe(&mut self, seen: [f64; N], now: Mono) {
        let Some(last) = self.last.replace(now) else {
            (self.fast, self.slow) = (seen, seen);
            return;
        };
        let passed = now.saturating_sub(last).as_secs_f64();
        let weight = |lag: Duration| 1.0 - (-passed / lag.as_secs_f64()).exp();
        blend(&mut self.fast, &seen, weight(self.lags.0));
        blend(&mut self.slow, &seen, weight(self.lags.1));
    }

    /// Whether anything was observed.
    pub fn is_ready(&self) -> bool {
        self.last.is_some()
    }

    /// Expected quantities after `ahead`.
    pub fn ahead(&self, ahead: Duration) -> [f64; N] {
        let (fast, slow) = (self.lags.0.as_secs_f64(), self.lags.1.as_secs_f64());
        let damped = slow * (1.0 - (-ahead.as_secs_f64() / slow).exp());
        // The fast average itself lags behind by its time constant.
        let steps = (damped + fast) / (slow - fast);
        std::array::from_fn(|i| (self.fast[i] + (self.fast[i] - self.slow[i]) * steps).max(0.0))
    }

    /// The slow averages.
    pub fn slow(&self) -> [f64; N] {
        self.slow
    }
}

fn blend<const N: usize>(avg: &mut [f64; N], seen: &[f64; N], weight: f64) {
    for (avg, seen) in avg.iter_mut().zip(seen) {
        *avg += (seen - *avg) * weight;
    }
}
