//! Schema of the configuration document.
//!
//! The document is one YAML mapping whose top-level keys are sections, each owned by one team. The
//! types mirror the YAML text. Cross-references are names, which the verifier resolves.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Schema version that this build reads.
pub const SCHEMA: u32 = 1;

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Schema version, [`SCHEMA`].
    pub schema: u32,
    /// Organisations and their API keys, by name.
    #[serde(default)]
    pub organisations: IndexMap<String, Organisation>,
    /// Models and their versions, by name.
    #[serde(default)]
    pub models: IndexMap<String, Model>,
    /// Availability zones, pools and endpoints.
    #[serde(default)]
    pub fleet: Fleet,
    /// Budgets, by name.
    #[serde(default)]
    pub budgets: IndexMap<String, Budget>,
    /// Routes, in document order.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A customer, with its API keys and permissions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Weight in the fair queue, relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Valid keys, by their public identifier. Removing a key revokes it.
    #[serde(default)]
    pub keys: IndexMap<String, Key>,
    /// Models that the organisation may use.
    #[serde(default)]
    pub models: Vec<String>,
    /// Pools of plain services that the organisation may use.
    #[serde(default)]
    pub services: Vec<String>,
    /// Budget that its usage counts against, if any.
    #[serde(default)]
    pub budget: Option<String>,
}

fn one() -> u32 {
    1
}

/// An API key of an organisation. The secret itself is never in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the whole key, in lower-case hexadecimal.
    pub sha256: String,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool whose engines serve the model.
    pub pool: String,
    /// Versions with their weights, by name.
    #[serde(default)]
    pub versions: IndexMap<String, Version>,
    /// Version that new requests use.
    #[serde(default)]
    pub current: Option<String>,
    /// Target for the time to the first token.
    #[serde(default = "first_token", with = "humantime_serde")]
    pub first: Duration,
    /// Target for the time between two tokens.
    #[serde(default = "between_tokens", with = "humantime_serde")]
    pub between: Duration,
    /// Prompt prefixes whose cache entries organisations may share.
    #[serde(default)]
    pub shared: Vec<String>,
    /// Maximum number of tokens that one request may generate.
    #[serde(default = "max_output")]
    pub output: u32,
}

fn first_token() -> Duration {
    Duration::from_millis(780)
}

fn between_tokens() -> Duration {
    Duration::from_millis(41)
}

fn max_output() -> u32 {
    4096
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the weights in the weight store.
    pub weights: String,
}

/// The availability zones, pools and endpoints of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Availability zones, by name.
    #[serde(default)]
    pub zones: IndexMap<String, Zone>,
    /// Pools of interchangeable endpoints, by name.
    #[serde(default)]
    pub pools: IndexMap<String, Pool>,
    /// Endpoints declared in the document, by name. Ordered ones come from the platform's list.
    #[serde(default)]
    pub endpoints: IndexMap<String, Endpoint>,
}

/// An availability zone, its region and its delays to other zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the availability zone belongs to.
    pub region: String,
    /// One-way delays to other availability zones, by name.
    #[serde(default, with = "delays")]
    pub delays: IndexMap<String, Duration>,
}

mod delays {
    //! Serde functions for a map from name to human-readable duration.

    use {
        indexmap::IndexMap,
        serde::{Deserialize, Deserializer, Serialize, Serializer},
        std::time::Duration,
    };

    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    struct Item(#[serde(with = "humantime_serde")] Duration);

    pub fn serialize<S: Serializer>(
        m: &IndexMap<String, Duration>,
        s: S,
    ) -> Result<S::Ok, S::Error> {
        s.collect_map(m.iter().map(|(k, v)| (k, Item(*v))))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        d: D,
    ) -> Result<IndexMap<String, Duration>, D::Error> {
        let m = IndexMap::<String, Item>::deserialize(d)?;
        Ok(m.into_iter().map(|(k, v)| (k, v.0)).collect())
    }
}

/// Kind of the endpoints of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Whether the endpoints are engines or services.
    pub kind: PoolKind,
    /// Whether the endpoints refuse orders with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Maximum number of concurrent requests of one endpoint.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Limits of ordering endpoints. Without it, the pool has only the declared endpoints.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Orders>,
    /// Settings of role control. Without it, engines keep the roles of the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roles: Option<Roles>,
}

/// Settings that control the roles of a pool's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roles {
    /// Prompt tokens per second that a prefill engine processes.
    pub prefill: u32,
    /// Output tokens per second that a decode engine generates.
    pub decode: u32,
    /// Time for which a role change makes an engine unavailable, including the drain.
    #[serde(default = "away", with = "humantime_serde")]
    pub away: Duration,
    /// Time for which a split between the roles is expected to last.
    #[serde(default = "dwell", with = "humantime_serde")]
    pub dwell: Duration,
    /// Number of pieces into which the pool is partitioned. One instance controls each piece.
    #[serde(default = "one")]
    pub pieces: u32,
}

impl Roles {
    /// Returns the piece that an engine belongs to. It depends only on the name and the number of
    /// pieces.
    pub fn piece(&self, engine: &str) -> u32 {
        let hash = blake3::hash(engine.as_bytes());
        let word: [u8; 4] = hash.as_bytes()[..4].try_into().expect("a hash is longer");
        u32::from_le_bytes(word) % self.pieces.max(1)
    }
}

fn away() -> Duration {
    Duration::from_secs(20)
}

fn dwell() -> Duration {
    Duration::from_secs(60)
}

fn slots() -> u32 {
    32
}

/// Limits of the endpoints that may be ordered for a pool in each region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Availability zones in which endpoints may be ordered.
    pub zones: Vec<String>,
    /// Kinds of endpoints that may be ordered.
    #[serde(default = "all_kinds")]
    pub kinds: Vec<EndpointKind>,
    /// Minimum number of endpoints in a region, including declared ones.
    #[serde(default)]
    pub min: usize,
    /// Maximum number of endpoints in a region, including declared ones.
    pub max: usize,
    /// Cost of one endpoint per hour, in any unit.
    pub prices: Prices,
    /// Maximum cost of ordered endpoints per hour, in the unit of the prices.
    pub budget: f64,
    /// Tokens per second, prompt and output together, that one endpoint serves.
    pub rate: f64,
    /// Time from an order to the arrival of its endpoints.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// Time for which an endpoint must be superfluous before it is released.
    #[serde(default = "hold", with = "humantime_serde")]
    pub hold: Duration,
    /// Work whose capacity is reduced first when the budget or the maximum is reached.
    #[serde(default)]
    pub degrade: Degrade,
}

fn all_kinds() -> Vec<EndpointKind> {
    vec![EndpointKind::Standard, EndpointKind::Cheap]
}

fn hold() -> Duration {
    Duration::from_secs(210)
}

/// Cost of one endpoint per hour, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Cost of a standard endpoint.
    pub standard: f64,
    /// Cost of a cheap endpoint.
    pub cheap: f64,
}

/// Work whose capacity is reduced first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Degrade {
    /// Long work, which can wait and be resumed.
    #[default]
    Long,
    /// Work with a short deadline.
    Deadline,
}

/// How an endpoint is paid for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Runs until it is released.
    #[default]
    Standard,
    /// May be reclaimed by the platform at a few seconds' notice.
    Cheap,
}

/// Work that an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only: the processing of prompts.
    Prefill,
    /// Decode only: the generation of tokens.
    Decode,
}

/// A server that requests are sent to: an engine or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Pool that the endpoint belongs to.
    pub pool: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Socket address: an IP address and a port.
    pub address: std::net::SocketAddr,
    /// How it is paid for.
    #[serde(default)]
    pub kind: EndpointKind,
    /// Initial role, which a controller may change.
    #[serde(default)]
    pub role: Role,
    /// Whether the endpoint is leaving and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A limit on the tokens that organisations use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Maximum number of tokens, prompt and output together, in one period.
    pub tokens: u64,
    /// Length of a period. Periods are counted from the Unix epoch.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
}

/// Kind of the target of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model requests. The body names the model.
    Model,
    /// A pool of plain services.
    Service,
}

/// Whether a route needs an idempotency key, which makes a request run at most once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRequirement {
    /// The header is optional, and honoured if present.
    #[default]
    Optional,
    /// A request without the header is refused.
    Required,
}

/// A route from a path to models or a pool of services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path, matched exactly or, if it ends in `/`, as a prefix.
    pub path: String,
    /// HTTP methods that the route accepts.
    pub methods: Vec<String>,
    /// Whether the route leads to models or to a service.
    pub kind: RouteKind,
    /// Pool of a service route.
    #[serde(default)]
    pub pool: Option<String>,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be retried after its response was lost.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a request needs an idempotency key, on a route that is not idempotent.
    #[serde(default)]
    pub booking: KeyRequirement,
    /// Time within which the response is useful.
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
}

fn deadline() -> Duration {
    Duration::from_secs(30)
}
