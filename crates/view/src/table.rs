//! Configuration as the request path uses it.
//!
//! A table is immutable; a new configuration replaces it as a whole. API keys are kept only as
//! digests.

use {
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

/// Name of a service, an organisation, an availability zone, a route or an endpoint.
pub type Name = Arc<str>;
/// Index of a route in its table.
pub type RouteIndex = usize;
/// Index of an organisation in its table.
pub type OrgIndex = usize;
/// Digest of an API key.
pub type KeyDigest = [u8; 32];

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run any number of times.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Response is an event stream; a resumable one may continue at another endpoint.
    Stream {
        /// Whether the stream can be resumed after the last event that arrived.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again although it may have run.
    pub fn retryable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }

    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream { resumable: false } => "stream",
            Kind::Stream { resumable: true } => "resumable",
        }
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Service that gets the share.
    pub service: Name,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Route of requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Name,
    /// Host in the requests, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics.
    pub kind: Kind,
    /// Timeout that the operator sets for a request.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Services that serve the route, with their weights.
    pub split: Vec<Share>,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub open: bool,
}

/// Capacity of a model engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of tokens that its key-value cache holds.
    pub memory: u64,
    /// Time that a stage change takes after the running requests have ended.
    pub switch: Duration,
    /// Time for which it keeps the key-value cache of a prompt processed for another engine.
    pub cache_ttl: Duration,
    /// Whether it can move a running request to another engine.
    pub moves: bool,
}

/// Number of endpoints of a service that may be ordered in each availability zone, and their price.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Minimum in a zone, spot and on-demand together.
    pub min: u32,
    /// Maximum in a zone, spot and on-demand together.
    pub max: u32,
    /// Time from an order until the endpoint serves requests.
    pub boot: Duration,
    /// Price of a spot endpoint as a fraction of an on-demand one's; `None` if there are none.
    pub spot: Option<f64>,
    /// Price of an on-demand endpoint per second, by zone.
    pub prices: IndexMap<Name, f64>,
}

/// Service that routes send requests to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all instances together.
    pub connections: u32,
    /// Path at which its endpoints tell their names; `None` if they do not.
    pub health: Option<String>,
    /// Capacity of its engines, if it serves models.
    pub engine: Option<Engine>,
    /// Scaling limits; `None` if the operator does not allow scaling.
    pub scaling: Option<Scaling>,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Each request weighs one.
    Requests,
    /// A request weighs the tokens of its prompt and the maximum number of its output.
    Tokens {
        /// Weight of a request without a prompt, in tokens.
        plain: f64,
    },
}

/// Limit on the requests of an organisation at all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Weight per second, above zero.
    pub rate: f64,
    /// Weight in addition to the rate in any window.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// Organisation that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Org {
    /// Name of the organisation.
    pub name: Name,
    /// Priority that overrides that of the route.
    pub rank: Option<u8>,
    /// Limit on its requests; `None` if they are not limited.
    pub quota: Option<Quota>,
}

/// Limits on what a caller may send and how long its connection may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a header section in bytes.
    pub headers: usize,
    /// Maximum size of a body in bytes.
    pub body: usize,
    /// Time within which a header section must arrive once it has begun.
    pub arrival: Duration,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let (arrival, idle) = (Duration::from_secs(3), Duration::from_secs(15));
        Self { headers: 16 << 10, body: 4 << 20, arrival, idle }
    }
}

/// Parts of a configuration before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Organisations, each with its API keys.
    pub orgs: Vec<(Org, Vec<String>)>,
    /// Whether API keys are required on routes that are not open.
    pub keyed: bool,
    /// Limits on callers.
    pub limits: Limits,
}

/// Configuration with its indexes.
#[derive(Debug)]
pub struct Table {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Organisations in the order of the configuration.
    pub orgs: Vec<Org>,
    /// Whether API keys are required on routes that are not open.
    pub keyed: bool,
    /// Limits on callers.
    pub limits: Limits,
    keys: IndexMap<KeyDigest, OrgIndex>,
    hosts: IndexMap<String, IndexMap<String, RouteIndex>>,
}

impl Table {
    /// Builds the indexes of a configuration.
    pub fn new(parts: Parts) -> Self {
        let Parts { version, routes, services, orgs, keyed, limits } = parts;
        let mut hosts: IndexMap<String, IndexMap<String, RouteIndex>> = IndexMap::new();
        for (i, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().insert(route.prefix.clone(), i);
        }
        let mut keys = IndexMap::new();
        for (i, (_, own)) in orgs.iter().enumerate() {
            keys.extend(own.iter().map(|key| (digest(key), i)));
        }
        let orgs = orgs.into_iter().map(|(org, _)| org).collect();
        Self { version, routes, services, orgs, keyed, limits, keys, hosts }
    }

    /// Route with the longest prefix of `path` on `host`, whose port is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(i, _)| i + 1);
        let found = ends.into_iter().find_map(|end| prefixes.get(&path[..end]));
        found.map(|i| &self.routes[*i])
    }

    /// Organisation that holds the API key `key`.
    pub fn org(&self, key: &str) -> Option<&Org> {
        self.keys.get(&digest(key)).map(|i| &self.orgs[*i])
    }
}

fn digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}
