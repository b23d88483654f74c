//! Forecast of the demand on a piece.

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
pub struct Forecast(agate_core::Forecast<2>);

impl Forecast {
    /// Returns a forecast with the time constants of its fast and slow averages.
    pub fn new(fast: Duration, slow: Duration) -> Self {
        Self(agate_core::Forecast::new(fast, slow))
    }

    /// Takes one observation.
    pub fn observe(&mut self, d: Demand, now: Mono) {
        self.0.observe([d.prefill, d.decode], now);
    }

    /// Whether anything was observed.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Expected demand after `ahead`.
    pub fn ahead(&self, ahead: Duration) -> Demand {
        let [prefill, decode] = self.0.ahead(ahead);
        Demand { prefill, decode }
    }
}
