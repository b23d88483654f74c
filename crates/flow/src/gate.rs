//! State that all requests of one instance share.
//!
//! The configuration and the table of endpoints are immutable values behind read-copy-update; a
//! request loads each once for every decision. Counts that outlive a change of the configuration
//! are carried over when the tables are rebuilt.

use {
    crate::{
        caller::Caller,
        decision::Ring,
        desk::{Clock, Desk},
        header,
        meter::Meter,
        spend::Spends,
        suspect::Suspects,
    },
    agate_config::{
        doc,
        snapshot::{Current, EndpointEntry, Snapshot},
    },
    agate_core::{EndpointId, Mono, PoolId, ZoneId},
    agate_link::{flight::Flight, link::Pool},
    agate_once::Once,
    agate_route::{
        health::Kind,
        live::LoadReport,
        ranking::name_hash,
        table::{Distances, Role, Spec, Table},
    },
    arc_swap::ArcSwap,
    indexmap::{IndexMap, IndexSet},
    std::{
        cmp::Reverse,
        sync::{Arc, Mutex, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Bounds that an instance keeps regardless of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Largest header section of a request, its first line included, in bytes.
    pub headers: usize,
    /// Longest time in which a header section must arrive; also the longest idle time of a kept
    /// connection.
    pub arrival: Duration,
    /// Longest time in which a request's body must arrive.
    pub upload: Duration,
    /// Largest answer of a plain service, in bytes.
    pub answer: usize,
    /// Longest silence before the first token of a stream.
    pub first: Duration,
    /// Longest silence between two tokens of a stream.
    pub between: Duration,
    /// Longest time of a probe that decides whether new connections work.
    pub probe: Duration,
    /// Most endpoints tried for one request.
    pub attempts: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            headers: 32 << 10,
            arrival: Duration::from_secs(20),
            upload: Duration::from_secs(20),
            answer: 16 << 20,
            first: Duration::from_secs(20),
            between: Duration::from_secs(2),
            probe: Duration::from_millis(500),
            attempts: 3,
        }
    }
}

/// Exchanges of counts between a grant and its being seen by the other instances.
const PENDING: u32 = 2;

/// Connections by endpoint.
type Links = Vec<Option<Arc<Pool>>>;

/// What the state of an instance is made from.
pub struct Parts {
    /// Configuration in force.
    pub current: Arc<Current>,
    /// Name of the availability zone of this instance.
    pub zone: String,
    /// Bounds of this instance at its start.
    pub limits: Limits,
    /// Requests that were in flight when endpoints crashed.
    pub suspects: Arc<Suspects>,
    /// Keys of request fingerprints; any two instances have one in common.
    pub secrets: Vec<[u8; 32]>,
    /// Claims of calls that may not be repeated.
    pub once: Once,
    /// Whether the configuration is fresh enough to serve keyed work.
    pub fresh: Fresh,
    /// Takes in work that ended.
    pub count: Count,
    /// Spend against budgets.
    pub spends: Arc<Spends>,
    /// Monotonic time since this instance started.
    pub clock: Clock,
}

/// Takes in one request that ran: names of the organisation and of the model or pool, then prompt and
/// output tokens. It must not block.
pub type Count = Arc<dyn Fn(&str, &str, u64, u64) + Send + Sync>;

/// What the holders of pieces of engines told of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engines {
    /// Names of those that get no new work.
    pub draining: IndexSet<String>,
    /// Roles, by name, of those whose role is not that of the document.
    pub roles: IndexMap<String, doc::Role>,
}

/// Tells whether the configuration is fresh enough to serve keyed work.
pub type Fresh = Arc<dyn Fn() -> bool + Send + Sync>;

/// Shared state of one instance.
pub struct Gate {
    /// What it was made from.
    pub parts: Parts,
    limits: ArcSwap<Limits>,
    /// Metrics.
    pub meter: Meter,
    /// What was decided on recent requests.
    pub ring: Arc<Ring>,
    /// Requests in progress.
    pub flight: Flight,
    /// Endpoints with their load and health.
    pub table: Arc<ArcSwap<Table>>,
    /// Names of endpoints that the platform's list shows as leaving.
    leaving: ArcSwap<IndexSet<String>>,
    /// Wakes streams when endpoints are about to be taken away.
    pub(crate) ending: Notify,
    /// What the holders of pieces of engines told.
    engines: ArcSwap<Engines>,
    links: ArcSwap<Links>,
    desks: ArcSwap<Vec<Arc<Desk>>>,
    /// Held while a configuration is put in force.
    rebuild: Mutex<()>,
}

/// The parts can be read as if they were the gate's own fields.
impl std::ops::Deref for Gate {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.parts
    }
}

impl Gate {
    /// Makes the state of an instance from its parts.
    pub fn open(parts: Parts) -> Arc<Self> {
        let table = Table::new(ZoneId::MAX, Distances::default(), rand::random());
        let gate = Self {
            limits: ArcSwap::from_pointee(parts.limits),
            parts,
            meter: Meter::open(),
            ring: Arc::default(),
            flight: Flight::default(),
            table: Arc::new(ArcSwap::from_pointee(table)),
            leaving: ArcSwap::default(),
            ending: Notify::new(),
            engines: ArcSwap::default(),
            links: ArcSwap::default(),
            desks: ArcSwap::default(),
            rebuild: Mutex::default(),
        };
        gate.rebuild(&gate.current.load_full());
        gate.settle();
        Arc::new(gate)
    }

    /// Bounds in force.
    pub fn limits(&self) -> Limits {
        **self.limits.load()
    }

    /// Puts other bounds in force, for requests that are not past them.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.store(Arc::new(limits));
    }

    /// Monotonic time since this instance started.
    pub fn now(&self) -> Mono {
        (self.clock)()
    }

    /// Puts a configuration in force and ends the waiting work of keys that it withdraws; false if
    /// one at least as new is in force.
    ///
    /// Its tables come first, so that whoever sees it finds its endpoints and pools there.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let _held = self.rebuild.lock().expect("no panic while rebuilding");
        if snapshot.generation > self.current.generation() {
            self.rebuild(&snapshot);
        }
        let taken = self.current.advance(snapshot);
        self.settle();
        taken
    }

    /// Puts the generation in force anew, with other ordered endpoints; false if another one is in
    /// force.
    pub fn renew(&self, snapshot: Snapshot) -> bool {
        let _held = self.rebuild.lock().expect("no panic while rebuilding");
        if snapshot.generation != self.current.generation() {
            return false;
        }
        self.rebuild(&snapshot);
        let taken = self.current.renew(snapshot);
        self.settle();
        taken
    }

    /// Makes tables with all endpoints and pools of `snapshot`.
    fn rebuild(&self, snapshot: &Snapshot) {
        let engines = self.engines.load();
        let specs = snapshot.endpoints().map(|(id, e)| spec(snapshot, &engines, id, e));
        let (home, distances) = (self.home(snapshot), distances(snapshot));
        let old = self.table.load().relocate(home, distances);
        self.table.store(Arc::new(Table::rebuild(&old, specs)));
        self.links.store(Arc::new(links(snapshot, &self.links.load())));
        self.desks.store(Arc::new(self.rebuild_desks(snapshot)));
    }

    /// Applies the configuration in force to what the tables hold.
    fn settle(&self) {
        self.apply_leaving();
        for desk in self.desks.load().iter() {
            desk.withdraw(&self.current);
        }
        self.meter.generation.set(self.current.generation() as i64);
    }

    fn rebuild_desks(&self, snapshot: &Snapshot) -> Vec<Arc<Desk>> {
        let mut desks = self.desks.load().to_vec();
        for (id, _) in snapshot.pools() {
            while desks.len() <= id as usize {
                let pool = desks.len() as PoolId;
                desks.push(Desk::open(pool, self.table.clone(), self.clock.clone()));
            }
        }
        desks
    }

    /// Availability zone of this instance; distances fall back to their default if the
    /// configuration does not name it.
    fn home(&self, snapshot: &Snapshot) -> ZoneId {
        let found = snapshot.zones().find(|(_, z)| *z.name == *self.zone);
        found.map_or(ZoneId::MAX, |(id, _)| id)
    }

    /// Whether the configuration is fresh enough to serve `caller`.
    pub fn trusts(&self, caller: &Caller) -> bool {
        matches!(caller, Caller::Open) || (self.fresh)()
    }

    /// Takes over the load that an endpoint reported on an answer.
    pub fn note_load(&self, id: EndpointId, head: &http::response::Parts) {
        let Some(value) = head.headers.get(header::LOAD).and_then(|v| v.to_str().ok()) else {
            return;
        };
        match parse_load(value, self.now()) {
            Some(report) => self.table.load().endpoint(id).live.set_load(report),
            None => log::debug!("endpoint {id} reported a load that was not understood: {value}"),
        }
    }

    /// Requests of this instance at its `most` busiest endpoints, by the hash of their names.
    pub fn outstanding(&self, most: usize) -> Vec<(u64, u32)> {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let count = |id| table.endpoint(id).live.outstanding.load(Ordering::Relaxed);
        let mut busy: Vec<_> =
            snapshot.endpoints().map(|(id, e)| (count(id), e)).filter(|(n, _)| *n > 0).collect();
        busy.sort_by_key(|(n, _)| Reverse(*n));
        busy.into_iter().take(most).map(|(n, e)| (name_hash(&e.name), n)).collect()
    }

    /// Takes over the requests of all other instances by endpoint, and renews this instance's part
    /// of every pool's slots.
    pub fn exchange(&self, foreign: &IndexMap<u64, u32>, sharers: u32) {
        self.spends.set_instances(sharers);
        let (snapshot, table) = (self.current.load(), self.table.load());
        for (id, endpoint) in snapshot.endpoints() {
            let count = foreign.get(&name_hash(&endpoint.name)).copied().unwrap_or(0);
            table.endpoint(id).live.foreign.store(count, Ordering::Relaxed);
        }
        let now = self.now();
        for (id, _) in snapshot.pools() {
            self.desk(id).exchange(table.capacity(id, now), sharers, PENDING);
        }
    }

    /// Marks the endpoints named in `leaving` as taking no new work, and only those, beside the ones
    /// that the configuration marks.
    pub fn set_leaving(&self, leaving: IndexSet<String>) {
        self.leaving.store(Arc::new(leaving));
        self.apply_leaving();
    }

    /// Takes over which engines are being drained, and the roles of those whose role is not that of
    /// the document.
    pub fn set_engines(&self, engines: Engines) {
        let old = self.engines.load_full();
        if *old == engines {
            return;
        }
        let moved = old.roles != engines.roles;
        self.engines.store(Arc::new(engines));
        if moved {
            let _held = self.rebuild.lock().expect("no panic while rebuilding");
            self.rebuild(&self.current.load());
        }
        self.apply_leaving();
    }

    /// Requests of this instance at each of these endpoints.
    pub fn open_at(&self, names: &[String]) -> Vec<u32> {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let mut open: IndexMap<&str, u32> = names.iter().map(|n| (&**n, 0)).collect();
        for (id, endpoint) in snapshot.endpoints() {
            if let Some(count) = open.get_mut(&*endpoint.name) {
                *count = table.endpoint(id).live.outstanding.load(Ordering::Relaxed);
            }
        }
        names.iter().map(|n| open[&**n]).collect()
    }

    fn apply_leaving(&self) {
        let (snapshot, leaving) = (self.current.load(), self.leaving.load());
        let (table, engines) = (self.table.load(), self.engines.load());
        for (id, endpoint) in snapshot.endpoints() {
            let named = |set: &IndexSet<String>| set.contains(&*endpoint.name);
            let gone = endpoint.leaving || named(&leaving) || named(&engines.draining);
            table.endpoint(id).live.leaving.store(gone, Ordering::Relaxed);
        }
    }

    /// Marks the endpoints named in `ending` as about to be taken away, and only those: their streams
    /// go on elsewhere at once.
    pub fn set_ending(&self, ending: &IndexSet<String>) {
        let (snapshot, table) = (self.current.load(), self.table.load());
        for (id, endpoint) in snapshot.endpoints() {
            let ends = ending.contains(&*endpoint.name);
            table.endpoint(id).live.ending.store(ends, Ordering::Relaxed);
        }
        self.ending.notify_waiters();
    }

    /// Waits until an endpoint is about to be taken away.
    pub async fn ended(&self, id: EndpointId) {
        loop {
            // Made before the look, so that no change in between is missed.
            let changed = self.ending.notified();
            if self.table.load().endpoint(id).live.ending.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Requests of this instance at an endpoint of the configuration in force.
    pub fn requests_at(&self, name: &str) -> u32 {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let found = snapshot.endpoints().find(|(_, e)| *e.name == *name);
        found.map_or(0, |(id, _)| table.endpoint(id).live.outstanding.load(Ordering::Relaxed))
    }

    /// Connections to an endpoint.
    pub fn links(&self, id: EndpointId) -> Option<Arc<Pool>> {
        self.links.load().get(id as usize).cloned().flatten()
    }

    /// Admission to a pool.
    ///
    /// # Panics
    ///
    /// Panics if no configuration in force since the start named the pool.
    pub fn desk(&self, pool: PoolId) -> Arc<Desk> {
        self.desks.load()[pool as usize].clone()
    }
}

/// Reads `running=R,waiting=W,slots=S`.
fn parse_load(value: &str, at: Mono) -> Option<LoadReport> {
    let mut report = LoadReport { running: 0, waiting: 0, slots: 0, at };
    for field in value.split(',') {
        let (name, number) = field.trim().split_once('=')?;
        let number = number.parse().ok()?;
        match name {
            "running" => report.running = number,
            "waiting" => report.waiting = number,
            "slots" => report.slots = number,
            _ => {}
        }
    }
    (report.slots > 0).then_some(report)
}

fn spec<'a>(
    snapshot: &Snapshot,
    engines: &Engines,
    id: EndpointId,
    endpoint: &'a EndpointEntry,
) -> Spec<'a> {
    let role = engines.roles.get(&*endpoint.name).copied().unwrap_or(endpoint.role);
    Spec {
        id,
        name: &endpoint.name,
        pool: endpoint.pool,
        zone: endpoint.zone,
        slots: snapshot.pool(endpoint.pool).map_or(1, |p| p.slots),
        role: match role {
            doc::Role::Both => Role::Whole,
            doc::Role::Prefill => Role::Prefill,
            doc::Role::Decode => Role::Decode,
        },
        leaving: endpoint.leaving,
    }
}

fn distances(snapshot: &Snapshot) -> Distances {
    let mut out = Distances::default();
    for (a, _) in snapshot.zones() {
        for (b, _) in snapshot.zones().filter(|(b, _)| *b > a) {
            out.set(a, b, snapshot.delay(a, b));
        }
    }
    out
}

/// Connections of the endpoints in `snapshot`; those of an unchanged address are kept.
fn links(snapshot: &Snapshot, old: &Links) -> Links {
    let mut out = Links::new();
    for (id, endpoint) in snapshot.endpoints() {
        let slot = id as usize;
        if out.len() <= slot {
            out.resize(slot + 1, None);
        }
        let kept = old.get(slot).cloned().flatten();
        let kept = kept.filter(|p| p.address() == endpoint.address);
        out[slot] = Some(kept.unwrap_or_else(|| Arc::new(Pool::new(endpoint.address))));
    }
    out
}

/// One exchange at an endpoint, counted until it ends.
pub struct Stay {
    gate: Arc<Gate>,
    table: Arc<Table>,
    id: EndpointId,
    begin: Mono,
    result: Kind,
}

impl Stay {
    /// Counts an exchange; unless it is given a result it says nothing about the endpoint.
    pub fn begin(gate: &Arc<Gate>, id: EndpointId) -> Self {
        let table = gate.table.load_full();
        table.start(id);
        Self { gate: gate.clone(), table, id, begin: gate.now(), result: Kind::Neutral }
    }

    /// Ends the exchange with a result.
    pub fn end(mut self, result: Kind) {
        self.result = result;
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        let now = self.gate.now();
        let held = now.saturating_sub(self.begin);
        self.table.finish(self.id, self.result, held, now);
    }
}
