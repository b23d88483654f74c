//! The immutable, compiled form of a document, which requests read.
//!
//! Tables are dense and indexed by the ids of [`Names`]. Ids are never reused, so an id means the
//! same entity in every snapshot of a process, and state that is kept by id elsewhere survives a
//! change of configuration. An entity that the document no longer holds leaves an empty slot. A
//! request keeps the snapshot that it started with; [`Current`] swaps in a newer one for later
//! requests.

mod compile;
mod current;
mod routes;

pub use current::Current;

use {
    crate::{
        doc::{EndpointKind, KeyRequirement, PoolKind, Role, Roles, RouteKind},
        hash::{self, KeyHash},
    },
    agate_core::{EndpointId, Generation, Interner, ModelId, OrgId, PoolId, RouteId, ZoneId},
    indexmap::IndexMap,
    routes::RouteIndex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One-way delay assumed between availability zones whose delay is not configured.
pub const FAR_DELAY: Duration = Duration::from_millis(100);

/// Names that this process has seen in any snapshot. Their ids are stable for the run of the
/// process.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Ids of organisations.
    pub orgs: Interner,
    /// Ids of models.
    pub models: Interner,
    /// Ids of pools.
    pub pools: Interner,
    /// Ids of availability zones.
    pub zones: Interner,
    /// Ids of endpoints.
    pub endpoints: Interner,
}

/// A limit on the tokens that organisations use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetEntry {
    /// Name of the budget. Organisations with the same budget share it.
    pub name: Arc<str>,
    /// Maximum number of tokens, prompt and output together, in one period.
    pub tokens: u64,
    /// Length of a period. Periods are counted from the Unix epoch.
    pub period: Duration,
}

/// A compiled organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrgEntry {
    /// Name in the document.
    pub name: Arc<str>,
    /// Weight in the fair queue, relative to other organisations.
    pub weight: u32,
    /// Models that it may use.
    pub models: Box<[ModelId]>,
    /// Pools of plain services that it may use.
    pub services: Box<[PoolId]>,
    /// Budget that its usage counts against, if any.
    pub budget: Option<BudgetEntry>,
    /// Identifiers and digests of its valid keys.
    keys: Box<[(Arc<str>, KeyHash)]>,
}

/// An API key of a request, as found in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMatch {
    /// Organisation that owns the key.
    pub org: OrgId,
    /// Public identifier of the key.
    pub id: Arc<str>,
    /// Digest of the key.
    pub digest: KeyHash,
}

/// A compiled model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelEntry {
    /// Name in the document.
    pub name: Arc<str>,
    /// Pool whose engines serve it.
    pub pool: PoolId,
    /// Pairs of version and name of its weights.
    pub versions: Box<[(Arc<str>, Arc<str>)]>,
    /// Version that new requests use.
    pub current: Option<Arc<str>>,
    /// Target for the time to the first token.
    pub first: Duration,
    /// Target for the time between two tokens.
    pub between: Duration,
    /// Prompt prefixes whose cache entries organisations may share.
    pub shared: Box<[Arc<str>]>,
    /// Maximum number of tokens that one request may generate.
    pub output: u32,
}

/// A compiled pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEntry {
    /// Name in the document.
    pub name: Arc<str>,
    /// Whether its endpoints are engines or services.
    pub kind: PoolKind,
    /// Whether its endpoints refuse an outdated fencing token.
    pub fenced: bool,
    /// Maximum number of concurrent requests of one endpoint.
    pub slots: u32,
    /// Settings of role control, if the roles of its engines are controlled.
    pub roles: Option<Roles>,
    /// Its endpoints, in document order.
    pub endpoints: Vec<EndpointId>,
}

/// A compiled endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name in the document.
    pub name: Arc<str>,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// How it is paid for.
    pub kind: EndpointKind,
    /// Initial role.
    pub role: Role,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

/// A compiled availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// Name in the document.
    pub name: Arc<str>,
    /// Region that it belongs to.
    pub region: Arc<str>,
    /// One-way delay to each availability zone, indexed by its id.
    delays: Box<[Duration]>,
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Path, matched exactly or, if it ends in `/`, as a prefix.
    pub path: Arc<str>,
    /// HTTP methods that it accepts.
    pub methods: Box<[Arc<str>]>,
    /// Whether it leads to models or to a service.
    pub kind: RouteKind,
    /// Pool of a service route.
    pub pool: Option<PoolId>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may be retried after its response was lost.
    pub idempotent: bool,
    /// Whether a request on a route that is not idempotent needs an idempotency key.
    pub idempotency_key: KeyRequirement,
    /// Time within which the response is useful.
    pub deadline: Duration,
}

/// One accepted configuration, compiled.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation of the configuration.
    pub generation: Generation,
    orgs: Vec<Option<OrgEntry>>,
    models: Vec<Option<ModelEntry>>,
    pools: Vec<Option<PoolEntry>>,
    zones: Vec<Option<ZoneEntry>>,
    endpoints: Vec<Option<EndpointEntry>>,
    keys: IndexMap<KeyHash, (OrgId, Arc<str>)>,
    model_ids: IndexMap<Arc<str>, ModelId>,
    routes: RouteIndex,
}

impl Snapshot {
    /// Returns an organisation, or `None` if this configuration lacks it.
    pub fn org(&self, id: OrgId) -> Option<&OrgEntry> {
        slot(&self.orgs, id)
    }

    /// Returns a model, or `None` if this configuration lacks it.
    pub fn model(&self, id: ModelId) -> Option<&ModelEntry> {
        slot(&self.models, id)
    }

    /// Returns a pool, or `None` if this configuration lacks it.
    pub fn pool(&self, id: PoolId) -> Option<&PoolEntry> {
        slot(&self.pools, id)
    }

    /// Returns an availability zone, or `None` if this configuration lacks it.
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneEntry> {
        slot(&self.zones, id)
    }

    /// Returns an endpoint, or `None` if this configuration lacks it.
    pub fn endpoint(&self, id: EndpointId) -> Option<&EndpointEntry> {
        slot(&self.endpoints, id)
    }

    /// Returns a route, or `None` if this configuration lacks it.
    pub fn route(&self, id: RouteId) -> Option<&RouteEntry> {
        self.routes.get(id)
    }

    /// Returns the one-way delay between two availability zones, [`FAR_DELAY`] if it is not
    /// configured.
    pub fn delay(&self, a: ZoneId, b: ZoneId) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        let row = self.zone(a).map(|z| &*z.delays).unwrap_or_default();
        row.get(b as usize).copied().unwrap_or(FAR_DELAY)
    }

    /// Finds a valid key by its text.
    pub fn find_key(&self, key: &str) -> Option<KeyMatch> {
        let digest = hash::digest(key);
        let (org, id) = self.keys.get(&digest)?;
        Some(KeyMatch { org: *org, id: id.clone(), digest })
    }

    /// Returns whether `org` has a valid key with this identifier, whatever its digest.
    pub fn holds_key(&self, org: OrgId, id: &str) -> bool {
        self.org(org).is_some_and(|o| o.keys.iter().any(|(k, _)| &**k == id))
    }

    /// Returns whether a key that was matched earlier is still valid. Returns false if its
    /// identifier now belongs to another key, or the key to another organisation.
    pub fn holds(&self, key: &KeyMatch) -> bool {
        self.keys.get(&key.digest).is_some_and(|(org, id)| *org == key.org && *id == key.id)
    }

    /// Finds a model by name.
    pub fn find_model(&self, name: &str) -> Option<(ModelId, &ModelEntry)> {
        let id = *self.model_ids.get(name)?;
        Some((id, self.model(id)?))
    }

    /// Finds the route of a path. An exact match takes precedence over the longest prefix.
    pub fn find_route(&self, path: &str) -> Option<(RouteId, &RouteEntry)> {
        self.routes.find(path)
    }

    /// Returns the organisations of this configuration with their ids.
    pub fn orgs(&self) -> impl Iterator<Item = (OrgId, &OrgEntry)> {
        present(&self.orgs)
    }

    /// Returns the models of this configuration with their ids.
    pub fn models(&self) -> impl Iterator<Item = (ModelId, &ModelEntry)> {
        present(&self.models)
    }

    /// Returns the pools of this configuration with their ids.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &PoolEntry)> {
        present(&self.pools)
    }

    /// Returns the availability zones of this configuration with their ids.
    pub fn zones(&self) -> impl Iterator<Item = (ZoneId, &ZoneEntry)> {
        present(&self.zones)
    }

    /// Returns the endpoints of this configuration with their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        present(&self.endpoints)
    }

    /// Returns the routes of this configuration with their ids, in document order.
    pub fn routes(&self) -> impl Iterator<Item = (RouteId, &RouteEntry)> {
        self.routes.iter()
    }
}

fn slot<T>(table: &[Option<T>], id: u32) -> Option<&T> {
    table.get(id as usize)?.as_ref()
}

fn present<T>(table: &[Option<T>]) -> impl Iterator<Item = (u32, &T)> {
    table.iter().enumerate().filter_map(|(i, e)| Some((i as u32, e.as_ref()?)))
}
