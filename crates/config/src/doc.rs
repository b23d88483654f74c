//! Schema of the operators' document.
//!
//! The document is one YAML mapping whose top-level keys are sections, each owned by one team. The
//! types mirror the text; cross-references are names and are resolved by the verifier.

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
    /// Organisations and their keys, by name.
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
    /// Routes, in order of matching.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Share in the fair queue relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Keys in force, by their public identifier; a key that is absent is withdrawn.
    #[serde(default)]
    pub keys: IndexMap<String, Key>,
    /// Models that the organisation may use.
    #[serde(default)]
    pub models: Vec<String>,
    /// Pools of plain services that the organisation may use.
    #[serde(default)]
    pub services: Vec<String>,
    /// Budget that its spending counts against.
    #[serde(default)]
    pub budget: Option<String>,
}

fn one() -> u32 {
    1
}

/// A key of an organisation. The secret itself is never in the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Lower-case hexadecimal SHA-256 of the whole key.
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
    /// Target for the first token.
    #[serde(default = "first_token", with = "humantime_serde")]
    pub first: Duration,
    /// Target between two tokens.
    #[serde(default = "between_tokens", with = "humantime_serde")]
    pub between: Duration,
    /// Prompt prefixes that organisations may share in engines' caches.
    #[serde(default)]
    pub shared: Vec<String>,
    /// Most tokens that one request may ask for.
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

/// Availability zones, pools and endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Availability zones, by name.
    #[serde(default)]
    pub zones: IndexMap<String, Zone>,
    /// Pools of like endpoints, by name.
    #[serde(default)]
    pub pools: IndexMap<String, Pool>,
    /// Endpoints declared by hand, by name; ordered ones come from the platform's list.
    #[serde(default)]
    pub endpoints: IndexMap<String, Endpoint>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Region that the availability zone belongs to.
    pub region: String,
    /// One-way delay to other availability zones, by name.
    #[serde(default, with = "delays")]
    pub delays: IndexMap<String, Duration>,
}

mod delays {
    //! Serde of a map from name to human-readable duration.

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

/// What the endpoints of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// A pool of like endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the endpoints are.
    pub kind: PoolKind,
    /// Whether the endpoints refuse orders with an old fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Concurrent requests that one endpoint takes.
    #[serde(default = "slots")]
    pub slots: u32,
    /// What may be ordered; without it, the pool has the declared endpoints only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub orders: Option<Orders>,
    /// Control of the roles of the engines; without it they keep the roles of the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub roles: Option<Roles>,
}

/// Control of the roles of a pool's engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roles {
    /// Prompt tokens a second of a prefill engine.
    pub prefill: u32,
    /// Output tokens a second of a decode engine.
    pub decode: u32,
    /// Time for which a role change takes an engine away, with the drain.
    #[serde(default = "away", with = "humantime_serde")]
    pub away: Duration,
    /// Time for which a split is expected to stay.
    #[serde(default = "dwell", with = "humantime_serde")]
    pub dwell: Duration,
    /// Pieces of the pool, each controlled by one instance.
    #[serde(default = "one")]
    pub pieces: u32,
}

impl Roles {
    /// Piece that an engine belongs to; it depends on nothing but the name and the number of pieces.
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

/// What may be ordered for a pool in each region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Orders {
    /// Availability zones in which endpoints may be ordered.
    pub zones: Vec<String>,
    /// Kinds that may be ordered.
    #[serde(default = "all_kinds")]
    pub kinds: Vec<EndpointKind>,
    /// Fewest endpoints in a region, the declared ones counted.
    #[serde(default)]
    pub min: usize,
    /// Most endpoints in a region, the declared ones counted.
    pub max: usize,
    /// Cost of one endpoint for an hour, in any one unit.
    pub prices: Prices,
    /// Most cost of ordered endpoints in an hour, in the unit of the prices.
    pub budget: f64,
    /// Tokens a second, prompt and output together, that one endpoint serves.
    pub rate: f64,
    /// Time from an order to the arrival of its endpoints.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// Time for which an endpoint must have been superfluous to be released.
    #[serde(default = "hold", with = "humantime_serde")]
    pub hold: Duration,
    /// Work for which capacity is given up first when the budget or the maximum is reached.
    #[serde(default)]
    pub degrade: Degrade,
}

fn all_kinds() -> Vec<EndpointKind> {
    vec![EndpointKind::Standard, EndpointKind::Cheap]
}

fn hold() -> Duration {
    Duration::from_secs(210)
}

/// Cost of one endpoint for an hour.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Of a standard endpoint.
    pub standard: f64,
    /// Of a cheap endpoint.
    pub cheap: f64,
}

/// Work for which capacity is given up first.
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
    /// Kept until released.
    #[default]
    Standard,
    /// May be reclaimed at a few seconds' notice.
    Cheap,
}

/// What work an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompt processing and token generation.
    #[default]
    Both,
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Pool that the endpoint belongs to.
    pub pool: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Socket address, an IP number and a port.
    pub address: std::net::SocketAddr,
    /// How it is paid for.
    #[serde(default)]
    pub kind: EndpointKind,
    /// Role at start; a controller may change it.
    #[serde(default)]
    pub role: Role,
    /// Whether the endpoint is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A cap on spending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Most tokens, prompt and output together, in one period.
    pub tokens: u64,
    /// Length of a period, counted from the Unix epoch.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Model requests; the model is named in the body.
    Model,
    /// A pool of plain services.
    Service,
}

/// Whether a route takes a booking key that makes a call run at most once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BookingKey {
    /// The header is taken if present.
    #[default]
    Optional,
    /// A call without the header is refused.
    Required,
}

/// A route from a path to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path, matched exactly or, if it ends in `/`, as a prefix.
    pub path: String,
    /// Methods that the route takes.
    pub methods: Vec<String>,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Pool of a service route.
    #[serde(default)]
    pub pool: Option<String>,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a call may be sent again after its answer was lost.
    #[serde(default)]
    pub idempotent: bool,
    /// Booking key of a route that is not idempotent.
    #[serde(default)]
    pub booking: BookingKey,
    /// Time within which the answer is of use.
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
}

fn deadline() -> Duration {
    Duration::from_secs(30)
}
