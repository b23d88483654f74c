//! The configuration in force, extended by the endpoints that the platform lists.
//!
//! Listed endpoints of pools that take orders become endpoints of the snapshot, so that routing,
//! limits and counts treat them like declared ones. A declared endpoint of the same name or address
//! takes precedence.

use {
    agate_config::{
        Document,
        doc::{Endpoint, EndpointKind, Role},
        snapshot::{Names, Snapshot},
    },
    agate_core::{Generation, Mono},
    agate_flow::proxy_state::ProxyState,
    agate_native::fleet::{self as platform, Kind, State as Life},
    indexmap::{IndexMap, IndexSet},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Time before the removal of an endpoint at which its streams are migrated.
const MIGRATION_LEAD: Duration = Duration::from_millis(3_500);

#[derive(Default)]
struct State {
    names: Names,
    generation: Generation,
    document: Arc<Document>,
    listed: Vec<platform::Endpoint>,
    listed_at: Option<Mono>,
    /// Endpoints to be released, and the time until which each drain stays in force.
    drains: IndexMap<String, Mono>,
    migrating: bool,
}

/// Compiles configurations and lists of endpoints into the snapshot of the request path.
pub struct ServedConfig {
    proxy_state: Arc<ProxyState>,
    state: Mutex<State>,
}

impl ServedConfig {
    /// Creates the state of an instance without a configuration.
    pub fn open(proxy_state: Arc<ProxyState>) -> Arc<Self> {
        Arc::new(Self { proxy_state, state: Mutex::default() })
    }

    /// State of the request path.
    pub fn proxy_state(&self) -> &Arc<ProxyState> {
        &self.proxy_state
    }

    /// Installs a configuration; false if it is not newer than the one in force.
    pub fn install(&self, generation: Generation, document: Document) -> bool {
        let mut state = self.state();
        if generation <= state.generation {
            return false;
        }
        (state.generation, state.document) = (generation, Arc::new(document));
        let snapshot = state.compile();
        self.proxy_state.install(snapshot)
    }

    /// The document in force.
    pub fn document(&self) -> Arc<Document> {
        self.state().document.clone()
    }

    /// Whether any pool takes orders for endpoints.
    pub fn takes_orders(&self) -> bool {
        self.document().fleet.pools.values().any(|p| p.orders.is_some())
    }

    /// The last list of endpoints and the time of its read; `None` before the first one.
    pub fn listed(&self) -> (Vec<platform::Endpoint>, Option<Mono>) {
        let state = self.state();
        (state.listed.clone(), state.listed_at)
    }

    /// Installs a new list of endpoints and starts the migration of streams from endpoints about to
    /// be removed.
    pub fn update_list(&self, mut list: Vec<platform::Endpoint>) {
        let now = self.proxy_state.now();
        let ends = |e: &platform::Endpoint| {
            let left = e.leaving_ms.map(Duration::from_millis);
            e.state == Life::Leaving && left.is_some_and(|left| left <= MIGRATION_LEAD)
        };
        let ending: IndexSet<String> =
            list.iter().filter(|e| ends(e)).map(|e| e.name.clone()).collect();
        // The remaining time changes with every list, so it is left out of the comparison.
        list.iter_mut().for_each(|e| e.leaving_ms = None);
        let mut state = self.state();
        state.listed_at = Some(now);
        let expired = state.drains.len();
        state.drains.retain(|_, until| now < *until);
        let changed = state.listed != list || state.drains.len() != expired;
        state.listed = list;
        if changed {
            self.recompile(&mut state);
        }
        if state.migrating || !ending.is_empty() {
            state.migrating = !ending.is_empty();
            self.proxy_state.set_ending(&ending);
        }
    }

    /// Drains exactly the named endpoints of `pool` for the time `valid`; returns those that have
    /// requests of this instance.
    pub fn drain(&self, pool: &str, names: &[String], valid: Duration) -> Vec<String> {
        let mut state = self.state();
        let before: Vec<String> = state.drains.keys().cloned().collect();
        let of_pool: IndexSet<String> =
            state.listed.iter().filter(|e| e.pool == pool).map(|e| e.name.clone()).collect();
        state.drains.retain(|name, _| !of_pool.contains(name) || names.contains(name));
        let until = self.proxy_state.now() + valid;
        let known = names.iter().filter(|n| of_pool.contains(*n));
        known.for_each(|n| _ = state.drains.insert(n.clone(), until));
        if !state.drains.keys().eq(before.iter()) {
            self.recompile(&mut state);
        }
        drop(state);
        names.iter().filter(|n| self.proxy_state.requests_at(n) > 0).cloned().collect()
    }

    /// Installs the current generation with a changed set of endpoints.
    fn recompile(&self, state: &mut State) {
        if state.generation == 0 {
            return;
        }
        let snapshot = state.compile();
        self.proxy_state.renew(snapshot);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while compiling")
    }
}

impl State {
    fn compile(&mut self) -> Snapshot {
        let served = self.listed.iter().filter(|e| e.state != Life::Ordered);
        let orders = |e: &&platform::Endpoint| {
            let pool = self.document.fleet.pools.get(&e.pool);
            pool.is_some_and(|p| p.orders.is_some())
        };
        let added: Vec<_> = served.filter(orders).collect();
        if added.is_empty() {
            return Snapshot::compile(&self.document, self.generation, &mut self.names);
        }
        let mut document = (*self.document).clone();
        let endpoints = &mut document.fleet.endpoints;
        let mut used: IndexSet<SocketAddr> = endpoints.values().map(|e| e.address).collect();
        for e in added {
            let known = document.fleet.zones.contains_key(&e.zone);
            if !known || endpoints.contains_key(&e.name) || !used.insert(e.address) {
                log::debug!(
                    "ignoring listed endpoint {}: unknown zone or duplicate name or address",
                    e.name
                );
                continue;
            }
            let leaving = e.state == Life::Leaving || self.drains.contains_key(&e.name);
            endpoints.insert(e.name.clone(), endpoint(e, leaving));
        }
        Snapshot::compile(&document, self.generation, &mut self.names)
    }
}

fn endpoint(e: &platform::Endpoint, leaving: bool) -> Endpoint {
    Endpoint {
        pool: e.pool.clone(),
        zone: e.zone.clone(),
        address: e.address,
        kind: match e.kind {
            Kind::Standard => EndpointKind::Standard,
            Kind::Cheap => EndpointKind::Cheap,
        },
        role: Role::Both,
        leaving,
    }
}
