//! The immutable form of a document that requests read.
//!
//! Tables are dense and keyed by ids of [`Names`], which only grow, so an id means the same entity
//! in every snapshot of a process and per-entity state elsewhere survives a change of
//! configuration. An entity that the document no longer holds leaves an empty slot. A request keeps
//! the snapshot that it started with; [`Current`] swaps in a newer one for those that follow.

mod compile;
mod current;
mod routes;

pub use current::Current;

use {
    crate::{
        doc::{BookingKey, EndpointKind, PoolKind, Role, Roles, RouteKind},
        hash::{self, KeyHash},
    },
    agate_core::{EndpointId, Generation, Interner, ModelId, OrgId, PoolId, RouteId, ZoneId},
    indexmap::IndexMap,
    routes::RouteIndex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// One-way delay assumed between availability zones whose distance is not known.
pub const FAR_DELAY: Duration = Duration::from_millis(100);

/// Names that this process has met; their ids are stable for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Organisations.
    pub orgs: Interner,
    /// Models.
    pub models: Interner,
    /// Pools.
    pub pools: Interner,
    /// Availability zones.
    pub zones: Interner,
    /// Endpoints.
    pub endpoints: Interner,
}

/// A cap on spending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetEntry {
    /// Name of the budget; organisations with the same one share it.
    pub name: Arc<str>,
    /// Most tokens in one period.
    pub tokens: u64,
    /// Length of a period, counted from the Unix epoch.
    pub period: Duration,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrgEntry {
    /// Name.
    pub name: Arc<str>,
    /// Share in the fair queue.
    pub weight: u32,
    /// Models that it may use.
    pub models: Box<[ModelId]>,
    /// Pools of plain services that it may use.
    pub services: Box<[PoolId]>,
    /// Budget that its spending counts against.
    pub budget: Option<BudgetEntry>,
    /// Identifiers and digests of its keys in force.
    keys: Box<[(Arc<str>, KeyHash)]>,
}

/// The key that a caller presented, as found in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyMatch {
    /// Organisation that holds the key.
    pub org: OrgId,
    /// Public identifier of the key.
    pub id: Arc<str>,
    /// Digest of the key.
    pub digest: KeyHash,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelEntry {
    /// Name.
    pub name: Arc<str>,
    /// Pool whose engines serve it.
    pub pool: PoolId,
    /// Weights by version.
    pub versions: Box<[(Arc<str>, Arc<str>)]>,
    /// Version that new requests use.
    pub current: Option<Arc<str>>,
    /// Target for the first token.
    pub first: Duration,
    /// Target between two tokens.
    pub between: Duration,
    /// Prompt prefixes that organisations may share in engines' caches.
    pub shared: Box<[Arc<str>]>,
    /// Most tokens that one request may ask for.
    pub output: u32,
}

/// A pool of like endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolEntry {
    /// Name.
    pub name: Arc<str>,
    /// What its endpoints are.
    pub kind: PoolKind,
    /// Whether its endpoints refuse an old fencing token.
    pub fenced: bool,
    /// Concurrent requests that one endpoint takes.
    pub slots: u32,
    /// Control of the roles of its engines, if wanted.
    pub roles: Option<Roles>,
    /// Its endpoints, in document order.
    pub endpoints: Vec<EndpointId>,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name.
    pub name: Arc<str>,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Socket address.
    pub address: SocketAddr,
    /// How it is paid for.
    pub kind: EndpointKind,
    /// Role at start.
    pub role: Role,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// Name.
    pub name: Arc<str>,
    /// Region that it belongs to.
    pub region: Arc<str>,
    /// One-way delay to each availability zone, by id.
    delays: Box<[Duration]>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Path, matched exactly or, if it ends in `/`, as a prefix.
    pub path: Arc<str>,
    /// Methods that the route takes.
    pub methods: Box<[Arc<str>]>,
    /// What the route leads to.
    pub kind: RouteKind,
    /// Pool of a service route.
    pub pool: Option<PoolId>,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a call may be sent again after its answer was lost.
    pub idempotent: bool,
    /// Booking key of a route that is not idempotent.
    pub booking: BookingKey,
    /// Time within which the answer is of use.
    pub deadline: Duration,
}

/// One accepted configuration, compiled.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Number of the configuration.
    pub generation: Generation,
    orgs: Vec<Option<OrgEntry>>,
    models: Vec<Option<ModelEntry>>,
    pools: Vec<Option<PoolEntry>>,
    zones: Vec<Option<ZoneEntry>>,
    endpoints: Vec<Option<EndpointEntry>>,
    keys: IndexMap<KeyHash, (OrgId, Arc<str>)>,
    named: IndexMap<Arc<str>, ModelId>,
    routes: RouteIndex,
}

impl Snapshot {
    /// Returns an organisation.
    pub fn org(&self, id: OrgId) -> Option<&OrgEntry> {
        slot(&self.orgs, id)
    }

    /// Returns a model.
    pub fn model(&self, id: ModelId) -> Option<&ModelEntry> {
        slot(&self.models, id)
    }

    /// Returns a pool.
    pub fn pool(&self, id: PoolId) -> Option<&PoolEntry> {
        slot(&self.pools, id)
    }

    /// Returns an availability zone.
    pub fn zone(&self, id: ZoneId) -> Option<&ZoneEntry> {
        slot(&self.zones, id)
    }

    /// Returns an endpoint.
    pub fn endpoint(&self, id: EndpointId) -> Option<&EndpointEntry> {
        slot(&self.endpoints, id)
    }

    /// Returns a route.
    pub fn route(&self, id: RouteId) -> Option<&RouteEntry> {
        self.routes.get(id)
    }

    /// One-way delay between two availability zones, [`FAR_DELAY`] if it is not known.
    pub fn delay(&self, a: ZoneId, b: ZoneId) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        let row = self.zone(a).map(|z| &*z.delays).unwrap_or_default();
        row.get(b as usize).copied().unwrap_or(FAR_DELAY)
    }

    /// Finds the organisation whose key this is.
    pub fn find_key(&self, key: &str) -> Option<KeyMatch> {
        let digest = hash::digest(key);
        let (org, id) = self.keys.get(&digest)?;
        Some(KeyMatch { org: *org, id: id.clone(), digest })
    }

    /// Whether a key with this identifier is in force, whatever its digest.
    pub fn holds_key(&self, org: OrgId, id: &str) -> bool {
        self.org(org).is_some_and(|o| o.keys.iter().any(|(k, _)| &**k == id))
    }

    /// Whether the very key that was matched earlier is still in force; also false if its
    /// identifier was given to another key or its organisation lost it to another.
    pub fn holds(&self, key: &KeyMatch) -> bool {
        self.keys.get(&key.digest).is_some_and(|(org, id)| *org == key.org && *id == key.id)
    }

    /// Finds a model by name.
    pub fn find_model(&self, name: &str) -> Option<(ModelId, &ModelEntry)> {
        let id = *self.named.get(name)?;
        Some((id, self.model(id)?))
    }

    /// Finds the route of a path: an exact one before the longest prefix.
    pub fn find_route(&self, path: &str) -> Option<(RouteId, &RouteEntry)> {
        self.routes.find(path)
    }

    /// Organisations in force.
    pub fn orgs(&self) -> impl Iterator<Item = (OrgId, &OrgEntry)> {
        filled(&self.orgs)
    }

    /// Models in force.
    pub fn models(&self) -> impl Iterator<Item = (ModelId, &ModelEntry)> {
        filled(&self.models)
    }

    /// Pools in force.
    pub fn pools(&self) -> impl Iterator<Item = (PoolId, &PoolEntry)> {
        filled(&self.pools)
    }

    /// Availability zones in force.
    pub fn zones(&self) -> impl Iterator<Item = (ZoneId, &ZoneEntry)> {
        filled(&self.zones)
    }

    /// Endpoints in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        filled(&self.endpoints)
    }

    /// Routes in force, in document order.
    pub fn routes(&self) -> impl Iterator<Item = (RouteId, &RouteEntry)> {
        self.routes.iter()
    }
}

fn slot<T>(table: &[Option<T>], id: u32) -> Option<&T> {
    table.get(id as usize)?.as_ref()
}

fn filled<T>(table: &[Option<T>]) -> impl Iterator<Item = (u32, &T)> {
    table.iter().enumerate().filter_map(|(i, e)| Some((i as u32, e.as_ref()?)))
}
