//! Settings of the controller of a piece.

use {crate::MAX_CHANGES, std::time::Duration};

/// Rates, limits and intervals of the controller of one piece.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Capacity of a prefill engine, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Capacity of a decode engine, in output tokens per second.
    pub decode_rate: f64,
    /// Target capacity per unit of demand, as a factor.
    pub headroom: f64,
    /// Time during which an engine that changes its role does not serve, including the drain.
    pub away: Duration,
    /// Time for which a split is expected to last.
    pub dwell: Duration,
    /// Minimum gain per engine-second lost by a change, in engine-seconds.
    pub hysteresis: f64,
    /// Largest fraction of the engines that may change their role at the same time.
    pub max_fraction: f64,
    /// Time between two choices of the split.
    pub plan_interval: Duration,
    /// Time after which an order expires; an engine executes it before then or not at all.
    pub order_life: Duration,
    /// Shortest time between two reads of an engine's state.
    pub read_interval: Duration,
    /// State reads per second for polling all engines in turn.
    pub poll_rate: f64,
    /// Maximum age of another engine's state that confirms that it serves.
    pub max_age: Duration,
    /// Shortest time between two writes of the record.
    pub write_interval: Duration,
    /// Time without a response from an engine after which its change is dropped.
    pub failure_limit: Duration,
    /// Time constants of the fast and the slow average of the demand forecast.
    pub time_constants: (Duration, Duration),
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 8_000.0,
            decode_rate: 2_000.0,
            headroom: 1.1,
            away: Duration::from_secs(20),
            dwell: Duration::from_secs(60),
            hysteresis: 1.5,
            max_fraction: 0.1,
            plan_interval: Duration::from_secs(5),
            order_life: Duration::from_secs(5),
            read_interval: Duration::from_secs(1),
            poll_rate: 40.0,
            max_age: Duration::from_secs(5),
            write_interval: Duration::from_secs(1),
            failure_limit: Duration::from_secs(120),
            time_constants: (Duration::from_secs(10), Duration::from_secs(40)),
        }
    }
}

impl Settings {
    /// Most engines, out of `total`, that may change their role at the same time; at least one.
    pub fn max_away(&self, total: usize) -> usize {
        ((total as f64 * self.max_fraction) as usize).clamp(1, MAX_CHANGES)
    }
}
