//! State shared by all requests of one instance.
//!
//! The configuration and the table of endpoints are immutable values that are replaced as a whole
//! (read-copy-update). A request loads each once per decision. Counts that must survive a change of
//! the configuration are carried over when the tables are rebuilt.

use {
    crate::{
        admission::{Admission, Clock},
        caller::Caller,
        decision::DecisionLog,
        header,
        metrics::Metrics,
        spend::BudgetAccounts,
        suspect::Suspects,
    },
    agate_config::{
        doc,
        snapshot::{Current, EndpointEntry, Snapshot},
    },
    agate_core::{EndpointId, Mono, PoolId, ZoneId},
    agate_idempotency::ClaimCoordinator,
    agate_route::{
        health::ExchangeResult,
        ranking::name_hash,
        stats::LoadReport,
        table::{Distances, Role, Spec, Table},
    },
    agate_transport::{
        buffer_budget::BufferBudget,
        in_flight::InFlight,
        link::{self, Pool},
        memory_budget::MemoryBudget,
    },
    arc_swap::ArcSwap,
    futures_util::FutureExt,
    indexmap::{IndexMap, IndexSet},
    std::{
        cmp::Reverse,
        sync::{Arc, Mutex, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Limits of one instance, independent of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body: usize,
    /// Largest header section of a request, including its first line, in bytes.
    pub headers: usize,
    /// Longest time for a header section to arrive; also the longest idle time of a kept
    /// connection.
    pub arrival: Duration,
    /// Longest time for a request body to arrive.
    pub upload: Duration,
    /// Largest response of a plain service, in bytes.
    pub answer: usize,
    /// Longest wait for the first token of a stream.
    pub first: Duration,
    /// Longest wait between two tokens of a stream.
    pub between: Duration,
    /// Longest time for a probe of whether an endpoint accepts new connections.
    pub probe: Duration,
    /// Most attempts for one request.
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

/// Number of count exchanges until the other instances see a grant.
const EXCHANGE_LAG: u32 = 2;

/// Connection pools, indexed by endpoint identifier.
type ConnectionPools = Vec<Option<Arc<Pool>>>;

/// Dependencies and settings from which the state of an instance is created.
pub struct Parts {
    /// Configuration in force.
    pub current: Arc<Current>,
    /// Name of the availability zone of this instance.
    pub zone: String,
    /// Limits at the start.
    pub limits: Limits,
    /// Memory and connections that callers share.
    pub callers: MemoryBudget,
    /// What the responses of endpoints may hold.
    pub responses: BufferBudget,
    /// Quarantine of the requests that were in flight when endpoints crashed.
    pub suspects: Arc<Suspects>,
    /// Keys of the request fingerprints. Any two instances have at least one in common.
    pub secrets: Vec<[u8; 32]>,
    /// Claims of idempotency keys.
    pub once: ClaimCoordinator,
    /// Tells whether the configuration is recent enough to serve requests with a key.
    pub is_fresh: FreshnessCheck,
    /// Records the usage of requests that ended.
    pub record_usage: UsageSink,
    /// Token budgets of the organisations.
    pub spends: Arc<BudgetAccounts>,
    /// Monotonic time since this instance started.
    pub clock: Clock,
}

/// Records the usage of one request: the names of the organisation and of the model or pool, then
/// the prompt and output tokens. It must not block.
pub type UsageSink = Arc<dyn Fn(&str, &str, u64, u64) + Send + Sync>;

/// Engine states set by the lease holders that manage groups of engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineOverrides {
    /// Names of the engines that get no new requests.
    pub draining: IndexSet<String>,
    /// Roles by engine name, for the engines whose role differs from the configured one.
    pub roles: IndexMap<String, doc::Role>,
}

/// Returns whether the configuration is recent enough to serve requests with a key.
pub type FreshnessCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Shared state of one instance.
pub struct ProxyState {
    /// Dependencies and settings given at the start.
    pub parts: Parts,
    limits: ArcSwap<Limits>,
    /// Metrics.
    pub metrics: Metrics,
    /// Decisions on recent requests.
    pub decisions: Arc<DecisionLog>,
    /// Requests in progress.
    pub flight: InFlight,
    /// Endpoints with their load and health.
    pub table: Arc<ArcSwap<Table>>,
    /// Names of the endpoints that the platform lists as leaving.
    leaving: ArcSwap<IndexSet<String>>,
    /// Notified when the set of endpoints about to be removed changes.
    pub(crate) ending: Notify,
    /// Engine states set by the lease holders.
    engines: ArcSwap<EngineOverrides>,
    connections: ArcSwap<ConnectionPools>,
    admissions: ArcSwap<Vec<Arc<Admission>>>,
    /// Held while the tables are rebuilt for a configuration.
    rebuild: Mutex<()>,
}

/// Gives access to the parts as if they were fields of this type.
impl std::ops::Deref for ProxyState {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.parts
    }
}

impl ProxyState {
    /// Creates the state of an instance from its parts.
    pub fn open(parts: Parts) -> Arc<Self> {
        let table = Table::new(ZoneId::MAX, Distances::default(), rand::random());
        let state = Self {
            limits: ArcSwap::from_pointee(parts.limits),
            parts,
            metrics: Metrics::open(),
            decisions: Arc::default(),
            flight: InFlight::default(),
            table: Arc::new(ArcSwap::from_pointee(table)),
            leaving: ArcSwap::default(),
            ending: Notify::new(),
            engines: ArcSwap::default(),
            connections: ArcSwap::default(),
            admissions: ArcSwap::default(),
            rebuild: Mutex::default(),
        };
        state.callers.register(&state.metrics.registry);
        state.rebuild(&state.current.load_full());
        state.apply_config();
        Arc::new(state)
    }

    /// Limits in force.
    pub fn limits(&self) -> Limits {
        **self.limits.load()
    }

    /// Replaces the limits. A request uses the limits in force at each of its steps.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.store(Arc::new(limits));
    }

    /// Monotonic time since this instance started.
    pub fn now(&self) -> Mono {
        (self.clock)()
    }

    /// Puts a configuration in force and denies the waiting requests whose keys it revokes.
    /// Returns false if the configuration in force is at least as new.
    ///
    /// The tables are rebuilt first, so that every reader of the new configuration finds its
    /// endpoints and pools in them.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let _held = self.rebuild.lock().expect("no panic while rebuilding");
        if snapshot.generation > self.current.generation() {
            self.rebuild(&snapshot);
        }
        let taken = self.current.advance(snapshot);
        self.apply_config();
        taken
    }

    /// Replaces the configuration in force by one of the same generation with other ordered
    /// endpoints. Returns false if another generation is in force.
    pub fn renew(&self, snapshot: Snapshot) -> bool {
        let _held = self.rebuild.lock().expect("no panic while rebuilding");
        if snapshot.generation != self.current.generation() {
            return false;
        }
        self.rebuild(&snapshot);
        let taken = self.current.replace_endpoints(snapshot);
        self.apply_config();
        taken
    }

    /// Builds the tables with all endpoints and pools of `snapshot`.
    fn rebuild(&self, snapshot: &Snapshot) {
        let engines = self.engines.load();
        let specs = snapshot.endpoints().map(|(id, e)| endpoint_spec(snapshot, &engines, id, e));
        let (home, distances) = (self.home(snapshot), distances(snapshot));
        let old = self.table.load().relocate(home, distances);
        self.table.store(Arc::new(Table::rebuild(&old, specs)));
        self.connections.store(Arc::new(connection_pools(
            snapshot,
            &self.connections.load(),
            &self.responses,
        )));
        self.admissions.store(Arc::new(self.rebuild_admissions(snapshot)));
    }

    /// Updates the leaving marks, the admission queues and the metrics to the configuration in
    /// force.
    fn apply_config(&self) {
        self.apply_leaving();
        for admission in self.admissions.load().iter() {
            admission.deny_revoked(&self.current);
        }
        self.metrics.generation.set(self.current.generation() as i64);
    }

    fn rebuild_admissions(&self, snapshot: &Snapshot) -> Vec<Arc<Admission>> {
        let mut admissions = self.admissions.load().to_vec();
        for (id, _) in snapshot.pools() {
            while admissions.len() <= id as usize {
                let pool = admissions.len() as PoolId;
                admissions.push(Admission::open(pool, self.table.clone(), self.clock.clone()));
            }
        }
        admissions
    }

    /// Availability zone of this instance. If the configuration does not name it, the distances
    /// have their default.
    fn home(&self, snapshot: &Snapshot) -> ZoneId {
        let found = snapshot.zones().find(|(_, z)| *z.name == *self.zone);
        found.map_or(ZoneId::MAX, |(id, _)| id)
    }

    /// Whether the configuration is recent enough to serve `caller`.
    pub fn is_fresh_for(&self, caller: &Caller) -> bool {
        matches!(caller, Caller::Open) || (self.is_fresh)()
    }

    /// Records the load that an endpoint reported in a response header.
    pub fn record_load(&self, id: EndpointId, head: &http::response::Parts) {
        let Some(value) = head.headers.get(header::LOAD).and_then(|v| v.to_str().ok()) else {
            return;
        };
        match parse_load(value, self.now()) {
            Some(report) => self.table.load().endpoint(id).stats.set_load(report),
            None => log::debug!("endpoint {id} reported a load that was not understood: {value}"),
        }
    }

    /// Requests in progress of this instance at its `limit` busiest endpoints, as pairs of the hash
    /// of the endpoint's name and the count.
    pub fn outstanding(&self, limit: usize) -> Vec<(u64, u32)> {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let count = |id| table.endpoint(id).stats.outstanding.load(Ordering::Relaxed);
        let mut busy: Vec<_> =
            snapshot.endpoints().map(|(id, e)| (count(id), e)).filter(|(n, _)| *n > 0).collect();
        busy.sort_by_key(|(n, _)| Reverse(*n));
        busy.into_iter().take(limit).map(|(n, e)| (name_hash(&e.name), n)).collect()
    }

    /// Records the requests in progress of all other instances by endpoint, and recomputes this
    /// instance's share of the slots of every pool.
    pub fn apply_peer_counts(&self, foreign: &IndexMap<u64, u32>, sharers: u32) {
        self.spends.set_instances(sharers);
        let (snapshot, table) = (self.current.load(), self.table.load());
        for (id, endpoint) in snapshot.endpoints() {
            let count = foreign.get(&name_hash(&endpoint.name)).copied().unwrap_or(0);
            table.endpoint(id).stats.others_open.store(count, Ordering::Relaxed);
        }
        let now = self.now();
        for (id, _) in snapshot.pools() {
            self.admission(id).update_share(table.capacity(id, now), sharers, EXCHANGE_LAG);
        }
    }

    /// Marks the endpoints named in `leaving` as taking no new requests. Of all other endpoints,
    /// only those that the configuration or an engine state marks stay marked.
    pub fn set_leaving(&self, leaving: IndexSet<String>) {
        self.leaving.store(Arc::new(leaving));
        self.apply_leaving();
    }

    /// Sets which engines are draining, and the roles of those whose role differs from the
    /// configured one.
    pub fn set_engines(&self, engines: EngineOverrides) {
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

    /// Requests in progress of this instance at each of the endpoints `names`, in their order.
    pub fn open_at(&self, names: &[String]) -> Vec<u32> {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let mut open: IndexMap<&str, u32> = names.iter().map(|n| (&**n, 0)).collect();
        for (id, endpoint) in snapshot.endpoints() {
            if let Some(count) = open.get_mut(&*endpoint.name) {
                *count = table.endpoint(id).stats.outstanding.load(Ordering::Relaxed);
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
            table.endpoint(id).stats.leaving.store(gone, Ordering::Relaxed);
        }
    }

    /// Marks exactly the endpoints named in `ending` as about to be removed. Their streams are
    /// resumed on other endpoints at once.
    pub fn set_ending(&self, ending: &IndexSet<String>) {
        let (snapshot, table) = (self.current.load(), self.table.load());
        for (id, endpoint) in snapshot.endpoints() {
            let ends = ending.contains(&*endpoint.name);
            table.endpoint(id).stats.ending.store(ends, Ordering::Relaxed);
        }
        self.ending.notify_waiters();
    }

    /// Waits until the endpoint is about to be removed.
    pub async fn until_ending(&self, id: EndpointId) {
        loop {
            // Registered before the check, so that a change in between is not missed.
            let changed = self.ending.notified();
            if self.table.load().endpoint(id).stats.ending.load(Ordering::Relaxed) {
                return;
            }
            changed.await;
        }
    }

    /// Requests in progress of this instance at the endpoint `name`; zero if the configuration in
    /// force does not contain it.
    pub fn requests_at(&self, name: &str) -> u32 {
        let (snapshot, table) = (self.current.load(), self.table.load());
        let found = snapshot.endpoints().find(|(_, e)| *e.name == *name);
        found.map_or(0, |(id, _)| table.endpoint(id).stats.outstanding.load(Ordering::Relaxed))
    }

    /// Connection pool of an endpoint, if the configuration contains it.
    pub fn connections(&self, id: EndpointId) -> Option<Arc<Pool>> {
        self.connections.load().get(id as usize).cloned().flatten()
    }

    /// Admission to a pool.
    ///
    /// # Panics
    ///
    /// Panics if no configuration in force since the start contained the pool.
    pub fn admission(&self, pool: PoolId) -> Arc<Admission> {
        self.admissions.load()[pool as usize].clone()
    }
}

/// Parses `running=R,waiting=W,slots=S`; unknown fields are ignored.
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

fn endpoint_spec<'a>(
    snapshot: &Snapshot,
    engines: &EngineOverrides,
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

/// Connection pools of the endpoints in `snapshot`. Pools of endpoints with an unchanged address
/// are kept.
fn connection_pools(
    snapshot: &Snapshot,
    old: &ConnectionPools,
    responses: &BufferBudget,
) -> ConnectionPools {
    let mut out = ConnectionPools::new();
    for (id, endpoint) in snapshot.endpoints() {
        let slot = id as usize;
        if out.len() <= slot {
            out.resize(slot + 1, None);
        }
        let kept = old.get(slot).cloned().flatten();
        let kept = kept.filter(|p| p.address() == endpoint.address);
        out[slot] = Some(kept.unwrap_or_else(|| {
            let (address, responses) = (endpoint.address, responses.clone());
            let open = move || link::open_within(address, responses.clone()).boxed();
            Arc::new(Pool::opened_by(address, open))
        }));
    }
    out
}

/// One exchange in progress at an endpoint. It is counted in the endpoint's load until it is
/// dropped.
pub struct ActiveExchange {
    state: Arc<ProxyState>,
    table: Arc<Table>,
    id: EndpointId,
    begin: Mono,
    result: ExchangeResult,
}

impl ActiveExchange {
    /// Begins to count an exchange. Unless [`ActiveExchange::end`] gives it a result, it does not
    /// change the endpoint's health.
    pub fn begin(state: &Arc<ProxyState>, id: EndpointId) -> Self {
        let table = state.table.load_full();
        table.start(id);
        Self {
            state: state.clone(),
            table,
            id,
            begin: state.now(),
            result: ExchangeResult::Neutral,
        }
    }

    /// Ends the exchange and records its result in the endpoint's health.
    pub fn end(mut self, result: ExchangeResult) {
        self.result = result;
    }
}

impl Drop for ActiveExchange {
    fn drop(&mut self) {
        let now = self.state.now();
        let held = now.saturating_sub(self.begin);
        self.table.finish(self.id, self.result, held, now);
    }
}
