//! Configuration of a simulation: engines, instances, policies and delays.

use {
    crate::{
        baseline::{Choice, Order},
        engine::Config,
    },
    std::time::Duration,
};

/// Configuration of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of engines.
    pub engines: u32,
    /// Size and speed of the engines.
    pub engine: Config,
    /// Number of entry instances.
    pub entries: usize,
    /// Order of waiting requests; with `None` requests are sent without waiting.
    pub order: Option<Order>,
    /// Policy for choosing an endpoint.
    pub choice: Choice,
    /// Delay of load reports.
    pub report_lag: Duration,
    /// Delay of the exchange of outstanding counts between instances; `None` without an exchange.
    pub gossip_lag: Option<Duration>,
    /// Whether an instance uses only its share of the free slots.
    pub shared: bool,
    /// Engines dedicated to prefill, if any.
    pub split: Option<Split>,
    /// Delivery of cache events; `None` if engines publish none.
    pub cache_events: Option<CacheEvents>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Engines dedicated to the prefill of dossiers.
#[derive(Clone, Copy, Debug)]
pub struct Split {
    /// Number of these engines.
    pub engines: u32,
    /// Maximum number of prefill tokens in one of their iterations.
    pub chunk: u32,
    /// Maximum number of dossiers at one of them; further ones run entirely on other engines.
    pub slots: u32,
    /// Time to transfer the KV cache of one token.
    pub transfer: Duration,
}

/// Delivery of cache events.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvents {
    /// Delay of an event.
    pub lag: Duration,
    /// Percentage of events that are lost.
    pub lost: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            engines: 8,
            engine: Config::default(),
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
    /// Size and speed of the engine at an index; engines dedicated to prefill have the lowest
    /// indices.
    pub fn engine_config(&self, i: u32) -> Config {
        match self.split {
            Some(s) if i < s.engines => Config { chunk: s.chunk, slots: s.slots, ..self.engine },
            _ => self.engine,
        }
    }
}
