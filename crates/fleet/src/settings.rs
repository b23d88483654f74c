//! What may be ordered for a pool, and how the controller weighs it.

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
    /// Kept until released.
    Standard,
    /// May be reclaimed, a whole availability zone at once, at a few seconds' notice.
    Cheap,
}

/// Whether work has to be answered soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Work with a deadline of seconds.
    Deadline,
    /// Resumable work that may wait for minutes.
    Long,
}

/// Cost of one endpoint for an hour, in any one unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Of a standard endpoint.
    pub standard: f64,
    /// Of a cheap endpoint.
    pub cheap: f64,
}

/// Settings of the control of one pool.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The pool.
    pub pool: Name,
    /// Availability zones in which endpoints may be ordered.
    pub zones: Vec<Name>,
    /// Fewest endpoints.
    pub min: usize,
    /// Most endpoints.
    pub max: usize,
    /// Kinds that may be ordered.
    pub kinds: Vec<Kind>,
    /// Prices.
    pub prices: Prices,
    /// Most cost in an hour, in the unit of the prices.
    pub budget: f64,
    /// Work that is refused first when the budget or the maximum is reached, in this order.
    pub degrade: Vec<Work>,
    /// Tokens a second that one endpoint serves.
    pub rate: f64,
    /// Capacity wanted for each unit of deadline work.
    pub headroom: f64,
    /// Time from an order to the arrival of its endpoints.
    pub lag: Duration,
    /// Part of the trend that is trusted to go on for the arrival lag, between 0 and 1.
    pub trust: f64,
    /// Further capacity, as a share, with which endpoints must be superfluous to be released.
    pub slack: f64,
    /// Time for which they must have been superfluous.
    pub hold: Duration,
    /// Saving, as a share of the cost, for which standard endpoints are replaced by cheap ones.
    pub saving: f64,
    /// Time between two plans.
    pub period: Duration,
    /// Least and greatest time for which a refused kind is not ordered in an availability zone.
    pub backoff: (Duration, Duration),
    /// Time after which an order of unknown result is repeated with the same token.
    pub retry: Duration,
    /// Time after which an ordered endpoint that was not listed is given up.
    pub patience: Duration,
    /// Time between two writes of the record.
    pub rewrite: Duration,
    /// Time constants of the fast and the slow average of demand.
    pub lags: (Duration, Duration),
}

impl Settings {
    /// Returns settings of a pool whose endpoints serve `rate` tokens a second, with no budget.
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
            trust: 0.2,
            slack: 0.02,
            hold: Duration::from_secs(210),
            saving: 0.15,
            period: Duration::from_secs(5),
            backoff: (Duration::from_secs(30), Duration::from_secs(120)),
            retry: Duration::from_secs(2),
            patience: Duration::from_secs(360),
            rewrite: Duration::from_secs(1),
            lags: (Duration::from_secs(20), Duration::from_secs(120)),
        }
    }

    /// Price of a kind for an hour.
    pub fn price(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Standard => self.prices.standard,
            Kind::Cheap => self.prices.cheap,
        }
    }
}
