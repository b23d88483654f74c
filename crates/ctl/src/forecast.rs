//! Forecast of demand from a fast and a slow average.
//!
//! The trend is the difference of the two averages over the difference of their lags. It is damped,
//! so that a swing is followed for about a slow time constant and not extrapolated for ever.

use {agate_core::Mono, std::time::Duration};

/// Work asked of a piece, in tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens.
    pub prefill: f64,
    /// Output tokens.
    pub decode: f64,
}

/// Averages of the demand.
#[derive(Clone, Debug)]
pub struct Forecast {
    fast: Demand,
    slow: Demand,
    last: Option<Mono>,
    lags: (Duration, Duration),
}

impl Forecast {
    /// Returns a forecast with the time constants of its fast and slow averages.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        assert!(fast < slow, "the fast average has the smaller time constant");
        Self { fast: Demand::default(), slow: Demand::default(), last: None, lags: (fast, slow) }
    }

    /// Takes one observation.
    pub fn observe(&mut self, d: Demand, now: Mono) {
        let Some(last) = self.last.replace(now) else {
            (self.fast, self.slow) = (d, d);
            return;
        };
        let passed = now.saturating_sub(last).as_secs_f64();
        let weight = |lag: Duration| 1.0 - (-passed / lag.as_secs_f64()).exp();
        blend(&mut self.fast, d, weight(self.lags.0));
        blend(&mut self.slow, d, weight(self.lags.1));
    }

    /// Whether anything was observed.
    pub fn is_ready(&self) -> bool {
        self.last.is_some()
    }

    /// Expected demand after `ahead`.
    pub fn ahead(&self, ahead: Duration) -> Demand {
        let (fast, slow) = (self.lags.0.as_secs_f64(), self.lags.1.as_secs_f64());
        let damped = slow * (1.0 - (-ahead.as_secs_f64() / slow).exp());
        // The fast average itself lags behind by its time constant.
        let steps = (damped + fast) / (slow - fast);
        let at = |f: f64, s: f64| (f + (f - s) * steps).max(0.0);
        Demand {
            prefill: at(self.fast.prefill, self.slow.prefill),
            decode: at(self.fast.decode, self.slow.decode),
        }
    }
}

fn blend(avg: &mut Demand, d: Demand, weight: f64) {
    avg.prefill += (d.prefill - avg.prefill) * weight;
    avg.decode += (d.decode - avg.decode) * weight;
}
