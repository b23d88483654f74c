//! The configuration in force with the endpoints that the platform lists beside the declared ones.
//!
//! Listed endpoints of pools that take orders become endpoints of the snapshot, so that routing,
//! limits and counts treat them like declared ones. A declared endpoint of the same name or address
//! comes first.

use {
    agate_config::{
        Document,
        doc::{Endpoint, EndpointKind, Role},
        snapshot::{Names, Snapshot},
    },
    agate_core::{Generation, Mono},
    agate_flow::gate::Gate,
    agate_native::fleet::{self as platform, Kind, State as Life},
    indexmap::{IndexMap, IndexSet},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// Time before an endpoint is taken away at which its streams go on elsewhere.
const MOVE_AT: Duration = Duration::from_millis(3_500);

#[derive(Default)]
struct State {
    names: Names,
    generation: Generation,
    document: Arc<Document>,
    listed: Vec<platform::Endpoint>,
    read: Option<Mono>,
    /// Endpoints to be released, and how long that is known to hold.
    drains: IndexMap<String, Mono>,
    moving: bool,
}

/// Puts configurations and lists of endpoints in force.
pub struct Serving {
    gate: Arc<Gate>,
    state: Mutex<State>,
}

impl Serving {
    /// Makes the state of an instance without a configuration.
    pub fn open(gate: Arc<Gate>) -> Arc<Self> {
        Arc::new(Self { gate, state: Mutex::default() })
    }

    /// State of the request path.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Puts a configuration in force; false if it is not newer than the present one.
    pub fn install(&self, generation: Generation, document: Document) -> bool {
        let mut state = self.state();
        if generation <= state.generation {
            return false;
        }
        (state.generation, state.document) = (generation, Arc::new(document));
        let snapshot = state.compile();
        self.gate.install(snapshot)
    }

    /// The document in force.
    pub fn document(&self) -> Arc<Document> {
        self.state().document.clone()
    }

    /// Whether any pool takes orders.
    pub fn takes_orders(&self) -> bool {
        self.document().fleet.pools.values().any(|p| p.orders.is_some())
    }

    /// The endpoints last listed, and when.
    pub fn listed(&self) -> (Vec<platform::Endpoint>, Option<Mono>) {
        let state = self.state();
        (state.listed.clone(), state.read)
    }

    /// Takes over a list of endpoints.
    pub fn take(&self, mut list: Vec<platform::Endpoint>) {
        let now = self.gate.now();
        let ends = |e: &platform::Endpoint| {
            let left = e.leaving_ms.map(Duration::from_millis);
            e.state == Life::Leaving && left.is_some_and(|left| left <= MOVE_AT)
        };
        let ending: IndexSet<String> =
            list.iter().filter(|e| ends(e)).map(|e| e.name.clone()).collect();
        // The time that is left changes with every list.
        list.iter_mut().for_each(|e| e.leaving_ms = None);
        let mut state = self.state();
        state.read = Some(now);
        let expired = state.drains.len();
        state.drains.retain(|_, until| now < *until);
        let changed = state.listed != list || state.drains.len() != expired;
        state.listed = list;
        if changed {
            self.renew(&mut state);
        }
        if state.moving || !ending.is_empty() {
            state.moving = !ending.is_empty();
            self.gate.set_ending(&ending);
        }
    }

    /// Lets the named endpoints of `pool`, and only those, take no new work for the time `valid`;
    /// returns those of them that have requests of this instance.
    pub fn drain(&self, pool: &str, names: &[String], valid: Duration) -> Vec<String> {
        let mut state = self.state();
        let before: Vec<String> = state.drains.keys().cloned().collect();
        let of_pool: IndexSet<String> =
            state.listed.iter().filter(|e| e.pool == pool).map(|e| e.name.clone()).collect();
        state.drains.retain(|name, _| !of_pool.contains(name) || names.contains(name));
        let until = self.gate.now() + valid;
        let known = names.iter().filter(|n| of_pool.contains(*n));
        known.for_each(|n| _ = state.drains.insert(n.clone(), until));
        if !state.drains.keys().eq(before.iter()) {
            self.renew(&mut state);
        }
        drop(state);
        names.iter().filter(|n| self.gate.requests_at(n) > 0).cloned().collect()
    }

    /// Puts the present generation in force with other endpoints.
    fn renew(&self, state: &mut State) {
        if state.generation == 0 {
            return;
        }
        let snapshot = state.compile();
        self.gate.renew(snapshot);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while compiling")
    }
}

impl State {
    fn compile(&mut self) -> Snapshot {
        let serving = self.listed.iter().filter(|e| e.state != Life::Ordered);
        let orders = |e: &&platform::Endpoint| {
            let pool = self.document.fleet.pools.get(&e.pool);
            pool.is_some_and(|p| p.orders.is_some())
        };
        let added: Vec<_> = serving.filter(orders).collect();
        if added.is_empty() {
            return Snapshot::compile(&self.document, self.generation, &mut self.names);
        }
        let mut document = (*self.document).clone();
        let endpoints = &mut document.fleet.endpoints;
        let mut used: IndexSet<SocketAddr> = endpoints.values().map(|e| e.address).collect();
        for e in added {
            let known = document.fleet.zones.contains_key(&e.zone);
            if !known || endpoints.contains_key(&e.name) || !used.insert(e.address) {
                log::debug!("endpoint {} of the platform's list is not used", e.name);
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
