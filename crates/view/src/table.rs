//! The configuration as the request path uses it.
//!
//! A table is immutable; a new configuration replaces it whole. Keys are kept as digests only.

use {
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

/// Name of a service, an organisation, an availability zone or a route.
pub type Name = Arc<str>;
/// Index of a route in its table.
pub type RouteIndex = usize;
/// Index of an organisation in its table.
pub type OrgIndex = usize;
/// Digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// What may be repeated about the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events; a resumable one may continue at another endpoint.
    Stream {
        /// Whether it may be resumed behind the last event that arrived.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
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

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: Name,
    /// Host that its requests name, in lower case and without a port.
    pub host: String,
    /// Prefix of their paths; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that the operator wants a request kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full value.
    pub objective: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub rank: u8,
    /// Services that serve it.
    pub split: Vec<Share>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether it needs no key.
    pub open: bool,
}

/// Figures of a model engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: u64,
    /// Time that a change of its stage takes after its running work.
    pub switch: Duration,
    /// Time for which it keeps a prompt that was read for another engine.
    pub keeps: Duration,
}

/// How many endpoints of a service may be ordered in each availability zone, and their price.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// Fewest in a zone, both kinds together.
    pub min: u32,
    /// Most in a zone, both kinds together.
    pub max: u32,
    /// Time from an order to service.
    pub boot: Duration,
    /// Price of a reclaimable endpoint as a part of a lasting one's; absent if there are none.
    pub spot: Option<f64>,
    /// Price of a lasting endpoint a second, by zone.
    pub prices: IndexMap<Name, f64>,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all instances together.
    pub connections: u32,
    /// Figures of its engines, if it serves models.
    pub engine: Option<Engine>,
    /// How it may be scaled, if it may.
    pub scaling: Option<Scaling>,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Org {
    /// Its name.
    pub name: Name,
    /// Rank that goes before a route's.
    pub rank: Option<u8>,
}

/// Bounds on what a caller may send, and on how long its connection may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section, in bytes.
    pub headers: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time in which a header section must arrive once it began.
    pub arrival: Duration,
    /// Longest idle time of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let (arrival, idle) = (Duration::from_secs(3), Duration::from_secs(15));
        Self { headers: 16 << 10, body: 4 << 20, arrival, idle }
    }
}

/// What a configuration consists of, before it is indexed.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version that the operator gave it.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services by name.
    pub services: IndexMap<Name, Service>,
    /// Its organisations, each with its keys.
    pub orgs: Vec<(Org, Vec<String>)>,
    /// Whether routes need keys at all.
    pub keyed: bool,
    /// Bounds on callers.
    pub limits: Limits,
}

/// A configuration with its indexes.
#[derive(Debug)]
pub struct Table {
    /// Version that the operator gave it.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services by name.
    pub services: IndexMap<Name, Service>,
    /// Its organisations.
    pub orgs: Vec<Org>,
    /// Whether routes need keys at all.
    pub keyed: bool,
    /// Bounds on callers.
    pub limits: Limits,
    keys: IndexMap<KeyDigest, OrgIndex>,
    hosts: IndexMap<String, IndexMap<String, RouteIndex>>,
}

impl Table {
    /// Indexes a configuration.
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

    /// Route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(i, _)| i + 1);
        let found = ends.into_iter().find_map(|end| prefixes.get(&path[..end]));
        found.map(|i| &self.routes[*i])
    }

    /// Organisation that holds `key`.
    pub fn org(&self, key: &str) -> Option<&Org> {
        self.keys.get(&digest(key)).map(|i| &self.orgs[*i])
    }
}

fn digest(key: &str) -> KeyDigest {
    *blake3::hash(key.as_bytes()).as_bytes()
}
