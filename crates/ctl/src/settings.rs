//! Settings of the control of a piece.

use {crate::MAX_CHANGES, std::time::Duration};

/// Settings of the control of one piece.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Prompt tokens a second of a prefill engine.
    pub prefill_rate: f64,
    /// Output tokens a second of a decode engine.
    pub decode_rate: f64,
    /// Capacity wanted for each unit of demand.
    pub headroom: f64,
    /// Time for which a role change takes an engine away, with the drain.
    pub away: Duration,
    /// Time for which a split is expected to stay.
    pub dwell: Duration,
    /// Gain wanted for each engine-second lost.
    pub hysteresis: f64,
    /// Largest share of the engines away at once.
    pub share: f64,
    /// Time between two choices of the split.
    pub period: Duration,
    /// Longest life of an order: it is carried out within this time or never.
    pub order_life: Duration,
    /// Time between two reads of an engine's state.
    pub reread: Duration,
    /// Reads a second of engines' states to keep up with all of them.
    pub survey: f64,
    /// Age up to which the state of another engine counts as proof that it serves.
    pub proof: Duration,
    /// Time between two writes of the record.
    pub rewrite: Duration,
    /// Time without any answer after which an engine's change is dropped.
    pub absence: Duration,
    /// Time constants of the fast and the slow average of demand.
    pub lags: (Duration, Duration),
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
            share: 0.1,
            period: Duration::from_secs(5),
            order_life: Duration::from_secs(5),
            reread: Duration::from_secs(1),
            survey: 40.0,
            proof: Duration::from_secs(5),
            rewrite: Duration::from_secs(1),
            absence: Duration::from_secs(120),
            lags: (Duration::from_secs(10), Duration::from_secs(40)),
        }
    }
}

impl Settings {
    /// Most engines away at once out of `total`.
    pub fn max_away(&self, total: usize) -> usize {
        ((total as f64 * self.share) as usize).clamp(1, MAX_CHANGES)
    }
}
