//! Settings of the controller: limits, prices and timing.

use {
    crate::Work,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Name of a pool, an availability zone or an endpoint.
pub type Name = Arc<str>;

/// How an endpoint is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The platform keeps it until it is released.
    Standard,
    /// The platform may reclaim it at a few seconds' notice, a whole availability zone at once.
    Cheap,
}

/// Whether work has a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Work with a deadline of seconds.
    Deadline,
    /// Resumable work that may wait for minutes.
    Long,
}

/// Cost of one endpoint per hour; both in the same unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Price of a standard endpoint.
    pub standard: f64,
    /// Price of a cheap endpoint.
    pub cheap: f64,
}

/// Settings of the controller of one pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the pool; part of the idempotency tokens.
    pub pool: Name,
    /// Availability zones in which endpoints may be ordered.
    pub zones: Vec<Name>,
    /// Minimum number of endpoints.
    pub min: usize,
    /// Maximum number of endpoints.
    pub max: usize,
    /// Kinds that may be ordered.
    pub kinds: Vec<Kind>,
    /// Hourly prices by kind.
    pub prices: Prices,
    /// Maximum cost per hour, in the unit of the prices.
    pub budget: f64,
    /// Order in which work is shed when the budget or the maximum is reached; the first entry
    /// first.
    pub degrade: Vec<Work>,
    /// Capacity of one endpoint, in tokens per second.
    pub rate: f64,
    /// Target capacity per unit of deadline work, as a factor.
    pub headroom: f64,
    /// Time from an order until its endpoints serve.
    pub lag: Duration,
    /// Weight of the demand trend over `lag`, between 0 and 1.
    pub trend_weight: f64,
    /// Additional capacity, as a fraction of the need, that must remain after a release.
    pub slack: f64,
    /// Time for which an endpoint must have been unneeded before it is released.
    pub hold: Duration,
    /// Saving, as a fraction of the cost, above which cheap endpoints replace standard ones.
    pub min_saving: f64,
    /// Time between two plans.
    pub plan_interval: Duration,
    /// Shortest and longest backoff of a kind in an availability zone after a refusal.
    pub backoff: (Duration, Duration),
    /// Time after which an order or release of unknown result is sent again with the same token.
    pub retry: Duration,
    /// Time after which an accepted order is dropped if its endpoints are not listed.
    pub arrival_timeout: Duration,
    /// Time between two writes of the record.
    pub write_interval: Duration,
    /// Time constants of the fast and the slow average of demand.
    pub time_constants: (Duration, Duration),
}

impl Settings {
    /// Default settings for endpoints that serve `rate` tokens per second, without a budget limit.
    pub fn new(pool: &str, zones: &[&str], rate: f64) -> Self {
        Self {
            pool: pool.into(),
            zones: zones.iter().map(|z| (*z).into()).collect(),
            min: 0,
            max: usize::MAX,
            kinds: vec![Kind::Standard, Kind::Cheap],
            prices: Prices { standard: 1.0, cheap: 0.4 },
            budget: f64::INFINITY,
            degrade: Vec::new(),
            rate,
            headroom: 1.1,
            lag: Duration::from_secs(180),
            trend_weight: 0.2,
            slack: 0.02,
            hold: Duration::from_secs(210),
            min_saving: 0.15,
            plan_interval: Duration::from_secs(5),
            backoff: (Duration::from_secs(30), Duration::from_secs(120)),
            retry: Duration::from_secs(2),
            arrival_timeout: Duration::from_secs(360),
            write_interval: Duration::from_secs(1),
            time_constants: (Duration::from_secs(20), Duration::from_secs(120)),
        }
    }

    /// Hourly price of a kind.
    pub fn price(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Standard => self.prices.standard,
            Kind::Cheap => self.prices.cheap,
        }
    }
}
