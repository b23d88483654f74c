//! Forecast of the demand for the engines of a piece.

use {agate_core::Mono, std::time::Duration};

/// Work for the engines of a piece, in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens to process.
    pub prefill: f64,
    /// Output tokens to generate.
    pub decode: f64,
}

/// Damped trend forecast of the demand; see [`agate_core::Forecast`].
#[derive(Clone, Debug)]
pub struct Forecast(agate_core::Forecast<2>);

impl Forecast {
    /// Returns a forecast without observations. `fast` and `slow` are the time constants of its
    /// averages; `fast` must be the smaller one, or this panics.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        Self(agate_core::Forecast::new(fast, slow))
    }

    /// Updates the averages with one observation.
    pub fn observe(&mut self, d: Demand, now: Mono) {
        self.0.observe([d.prefill, d.decode], now);
    }

    /// Whether there was an observation yet.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Expected demand after `horizon`.
    pub fn predict(&self, horizon: Duration) -> Demand {
        let [prefill, decode] = self.0.predict(horizon);
        Demand { prefill, decode }
    }
}
