//! Compiles a verified document into a snapshot.
//!
//! All names are interned first, so that entries refer to each other by id. An entity whose
//! references do not resolve is left out, so an unverified document causes no panic.

use {
    super::{
        BudgetEntry, EndpointEntry, FAR_DELAY, ModelEntry, Names, OrgEntry, PoolEntry, RouteEntry,
        Snapshot, ZoneEntry, routes::RouteIndex,
    },
    crate::{
        doc::{Document, Endpoint, Fleet, Model, Organisation, Route, Zone},
        hash::{self, KeyHash},
    },
    agate_core::{Generation, Interner, OrgId},
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

impl Snapshot {
    /// Compiles `doc`, which must have passed [`verify`](crate::verify()), as `generation`. Ids of
    /// names that are not in `names` yet are added to it.
    pub fn compile(doc: &Document, generation: Generation, names: &mut Names) -> Snapshot {
        intern(doc, names);
        let names = &*names;
        let orgs = table(&doc.organisations, &names.orgs, |n, o| Some(org(n, o, doc, names)));
        let models = table(&doc.models, &names.models, |n, m| model(n, m, names));
        let model_ids = models.iter().flatten().filter_map(|m| {
            let id = names.models.get(&m.name)?;
            Some((m.name.clone(), id))
        });
        Snapshot {
            generation,
            keys: keys(&orgs),
            model_ids: model_ids.collect(),
            pools: pools(&doc.fleet, names),
            zones: table(&doc.fleet.zones, &names.zones, |n, z| {
                Some(zone(n, z, &doc.fleet, names))
            }),
            endpoints: table(&doc.fleet.endpoints, &names.endpoints, |n, e| endpoint(n, e, names)),
            routes: RouteIndex::new(doc.routes.iter().map(|r| route(r, names)).collect()),
            orgs,
            models,
        }
    }
}

fn intern(doc: &Document, names: &mut Names) {
    doc.organisations.keys().for_each(|n| _ = names.orgs.intern(n));
    doc.models.keys().for_each(|n| _ = names.models.intern(n));
    doc.fleet.pools.keys().for_each(|n| _ = names.pools.intern(n));
    doc.fleet.zones.keys().for_each(|n| _ = names.zones.intern(n));
    doc.fleet.endpoints.keys().for_each(|n| _ = names.endpoints.intern(n));
}

/// Builds a dense table. Names that are interned but not in `source` leave an empty slot.
fn table<S, E>(
    source: &IndexMap<String, S>,
    names: &Interner,
    build: impl Fn(Arc<str>, &S) -> Option<E>,
) -> Vec<Option<E>> {
    let mut out: Vec<Option<E>> = std::iter::repeat_with(|| None).take(names.len()).collect();
    for (name, item) in source {
        let Some(id) = names.get(name) else { continue };
        let Some(shared) = names.name(id) else { continue };
        out[id as usize] = build(shared.clone(), item);
    }
    out
}

fn ids(list: &[String], names: &Interner) -> Box<[u32]> {
    list.iter().filter_map(|n| names.get(n)).collect()
}

fn org(name: Arc<str>, org: &Organisation, doc: &Document, names: &Names) -> OrgEntry {
    let budget = org.budget.as_ref().and_then(|n| {
        let b = doc.budgets.get(n)?;
        Some(BudgetEntry { name: Arc::from(&**n), tokens: b.tokens, period: b.period })
    });
    let keys = org.keys.iter().filter_map(|(id, key)| {
        let digest = hash::decode(&key.sha256)?;
        Some((Arc::from(&**id), digest))
    });
    OrgEntry {
        name,
        weight: org.weight,
        models: ids(&org.models, &names.models),
        services: ids(&org.services, &names.pools),
        budget,
        keys: keys.collect(),
    }
}

fn keys(orgs: &[Option<OrgEntry>]) -> IndexMap<KeyHash, (OrgId, Arc<str>)> {
    let mut out = IndexMap::new();
    for (i, org) in orgs.iter().enumerate() {
        let org_keys = org.iter().flat_map(|o| &o.keys);
        out.extend(org_keys.map(|(id, digest)| (*digest, (i as OrgId, id.clone()))));
    }
    out
}

fn model(name: Arc<str>, model: &Model, names: &Names) -> Option<ModelEntry> {
    let versions = model.versions.iter();
    Some(ModelEntry {
        name,
        pool: names.pools.get(&model.pool)?,
        versions: versions.map(|(n, v)| (Arc::from(&**n), Arc::from(&*v.weights))).collect(),
        current: model.current.as_deref().map(Arc::from),
        first: model.first,
        between: model.between,
        shared: model.shared.iter().map(|p| Arc::from(&**p)).collect(),
        output: model.output,
    })
}

fn pools(fleet: &Fleet, names: &Names) -> Vec<Option<PoolEntry>> {
    let mut out = table(&fleet.pools, &names.pools, |name, pool| {
        Some(PoolEntry {
            name,
            kind: pool.kind,
            fenced: pool.fenced,
            slots: pool.slots,
            roles: pool.roles.clone(),
            endpoints: Vec::new(),
        })
    });
    for (name, e) in &fleet.endpoints {
        let Some(id) = names.endpoints.get(name) else { continue };
        let Some(pool) = names.pools.get(&e.pool) else { continue };
        let Some(entry) = &mut out[pool as usize] else { continue };
        entry.endpoints.push(id);
    }
    out
}

fn zone(name: Arc<str>, zone: &Zone, fleet: &Fleet, names: &Names) -> ZoneEntry {
    let mut delays = vec![FAR_DELAY; names.zones.len()];
    for (other, other_zone) in &fleet.zones {
        let Some(id) = names.zones.get(other) else { continue };
        // A delay that is configured for only one direction holds for both.
        let delay = zone.delays.get(other).or_else(|| other_zone.delays.get(&*name));
        delays[id as usize] = delay.copied().unwrap_or(FAR_DELAY);
    }
    if let Some(own) = names.zones.get(&name) {
        delays[own as usize] = Duration::ZERO;
    }
    ZoneEntry { name, region: Arc::from(&*zone.region), delays: delays.into() }
}

fn endpoint(name: Arc<str>, e: &Endpoint, names: &Names) -> Option<EndpointEntry> {
    Some(EndpointEntry {
        name,
        pool: names.pools.get(&e.pool)?,
        zone: names.zones.get(&e.zone)?,
        address: e.address,
        kind: e.kind,
        role: e.role,
        leaving: e.leaving,
    })
}

fn route(route: &Route, names: &Names) -> RouteEntry {
    RouteEntry {
        path: Arc::from(&*route.path),
        methods: route.methods.iter().map(|m| Arc::from(&**m)).collect(),
        kind: route.kind,
        pool: route.pool.as_ref().and_then(|p| names.pools.get(p)),
        open: route.open,
        idempotent: route.idempotent,
        idempotency_key: route.booking,
        deadline: route.deadline,
    }
}
