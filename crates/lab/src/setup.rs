//! What a run consists of: engines, instances, policies and lags.

use {
    crate::{
        baseline::{Choice, Order},
        engine::Shape,
    },
    std::time::Duration,
};

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of engines.
    pub engines: u32,
    /// Their shape.
    pub shape: Shape,
    /// Number of entry instances.
    pub entries: usize,
    /// Order of waiting requests; `None` sends every request at once.
    pub order: Option<Order>,
    /// Choice of endpoint.
    pub choice: Choice,
    /// Lag of load reports.
    pub report_lag: Duration,
    /// Lag of outstanding counts between instances; `None` if they are not told.
    pub gossip_lag: Option<Duration>,
    /// Whether instances take only their part of the free slots they see.
    pub shared: bool,
    /// Engines set apart for prefill, if any.
    pub split: Option<Split>,
    /// Cache events, if engines publish them.
    pub cache_events: Option<CacheEvents>,
    /// Seed of the tables' sampling.
    pub seed: u64,
}

/// Engines set apart for the prefill of dossiers.
#[derive(Clone, Copy, Debug)]
pub struct Split {
    /// How many.
    pub engines: u32,
    /// Prefill tokens in one of their iterations.
    pub chunk: u32,
    /// Dossiers at one of them beyond which a dossier runs whole on another engine.
    pub slots: u32,
    /// Time to transfer the KV cache of one token.
    pub transfer: Duration,
}

/// How cache events arrive.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvents {
    /// Their lag.
    pub lag: Duration,
    /// Events lost, in percent.
    pub lost: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            engines: 8,
            shape: Shape::default(),
            entries: 8,
            order: Some(Order::Fair),
            choice: Choice::Predicted,
            report_lag: Duration::from_millis(500),
            gossip_lag: Some(Duration::from_millis(200)),
            shared: true,
            split: None,
            cache_events: None,
            seed: 1,
        }
    }
}

impl Setup {
    /// Shape of the engine at an index; the first ones are those set apart for prefill.
    pub fn shape_of(&self, index: u32) -> Shape {
        match self.split {
            Some(s) if index < s.engines => Shape { chunk: s.chunk, slots: s.slots, ..self.shape },
            _ => self.shape,
        }
    }
}
