//! Endpoints that this instance uses, with their connections and load.
//!
//! The map of endpoints is replaced as a whole when entries or the configuration change. An
//! endpoint that remains keeps its connections and statistics.

use {
    crate::{
        assignment::Assignment,
        crash,
        endpoint::{Endpoint, SharedLatency},
        placement::{self, Candidate, Choice, EndpointKey, Workload},
        rate_share::RateShares,
        signal_store::SignalStore,
        survival,
    },
    agate_core::Mono,
    agate_path::{Path, Paths},
    agate_quarantine::EndpointHash,
    agate_route::{
        health::{self, ExchangeResult, Health},
        ranking::name_hash,
        signals::{Change, Signals},
    },
    agate_transport::link::Pool,
    agate_view::{
        roster::{Entry, Stage, Version},
        table::{Name, Table},
    },
    arc_swap::ArcSwap,
    indexmap::{IndexMap, IndexSet},
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
};

/// Connection limit of an endpoint whose service is not in the configuration.
const DEFAULT_CONNECTIONS: u32 = 16;
/// Backoff of an endpoint that could not be connected; a restart takes longer.
const CONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// Fraction of an endpoint's connection limit that all instances together use.
const CONNECTION_FRACTION: f64 = 0.85;

/// Service and stage of endpoints that share a latency model.
type EndpointKind = (Name, Option<Stage>);

/// Endpoints by service.
pub type Services = IndexMap<Name, Vec<Arc<Endpoint>>>;

/// All endpoints that this instance knows.
pub struct Fleet {
    services: ArcSwap<Services>,
    /// Versions of the endpoints that run requests, by service.
    versions: ArcSwap<IndexMap<Name, Vec<Version>>>,
    latencies: Mutex<IndexMap<EndpointKind, SharedLatency>>,
    /// Hashes of endpoints that are about to change: by this instance, and by others.
    changing: [ArcSwap<Vec<u32>>; 2],
    signals: Mutex<SignalStore>,
    rate_shares: RateShares,
    /// Whether an endpoint may have stated a rate limit.
    rate_limited: AtomicBool,
    origin: Instant,
    zone: Name,
    paths: Paths,
}

/// Requirements of a request on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that the endpoint belongs to.
    pub service: &'a Name,
    /// The work to place.
    pub workload: Workload,
    /// Stage that a model engine must have; `None` for plain services.
    pub stage: Option<Stage>,
    /// Version of the software that the endpoint must have; `None` for any.
    pub version: Option<&'a Version>,
    /// Endpoints that were already tried.
    pub tried: &'a [Name],
    /// Incarnations that must not be used now.
    pub avoided: &'a [EndpointHash],
    /// Preferred availability zone; the instance's own if `None`.
    pub zone: Option<&'a Name>,
}

impl Fleet {
    /// Makes an empty fleet for an instance in `zone`.
    pub fn new(zone: Name) -> Self {
        Self::with_paths(zone, Paths::default())
    }

    /// Makes an empty fleet for an instance in `zone` that reaches endpoints by `paths`.
    pub fn with_paths(zone: Name, paths: Paths) -> Self {
        let changing = [ArcSwap::default(), ArcSwap::default()];
        Self {
            services: ArcSwap::default(),
            versions: ArcSwap::default(),
            latencies: Mutex::default(),
            changing,
            signals: Mutex::default(),
            rate_shares: RateShares::default(),
            rate_limited: AtomicBool::new(false),
            origin: Instant::now(),
            zone,
            paths,
        }
    }

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    /// Sets the endpoints that this instance is about to change; they get no new requests.
    pub fn set_changing(&self, names: &[Name]) {
        let hashes = names.iter().map(|n| name_hash(n) as u32).collect();
        self.changing[0].store(Arc::new(hashes));
    }

    /// Sets the endpoints that other instances are about to change; they get no new requests.
    pub fn set_others_changing(&self, hashes: &[u32]) {
        if self.changing[1].load().as_slice() != hashes {
            self.changing[1].store(Arc::new(hashes.to_vec()));
        }
    }

    /// Hashes of the endpoints that this instance is about to change.
    pub fn own_changing(&self) -> Vec<u32> {
        self.changing[0].load().to_vec()
    }

    fn is_changing(&self, endpoint: &Endpoint) -> bool {
        self.changing.iter().any(|c| c.load().contains(&(endpoint.hash as u32)))
    }

    fn candidate(
        &self,
        endpoint: &Endpoint,
        zone: &Name,
        share: Option<f64>,
        now: Mono,
    ) -> Candidate {
        let candidate = endpoint.candidate(zone, share, now);
        let backing_off = candidate.backing_off || self.is_changing(endpoint);
        Candidate { backing_off, ..candidate }
    }

    /// Current endpoints by service.
    pub fn services(&self) -> arc_swap::Guard<Arc<Services>> {
        self.services.load()
    }

    /// Replaces the endpoints by those of the current entries and configuration; `instances` divide
    /// the connection limits.
    pub fn install(&self, entries: &[Entry], table: Option<&Table>, instances: usize) {
        let old = self.services.load();
        let existing: IndexMap<&str, &Arc<Endpoint>> =
            old.values().flatten().map(|e| (&*e.entry.name, e)).collect();
        let mut next = Services::new();
        let now = self.now();
        let mut known = self.lock_signals();
        for entry in entries {
            let signals = known.list(entry);
            if entry.leaving {
                continue;
            }
            let previous = existing.get(&*entry.name).filter(|e| e.entry.same_incarnation(entry));
            let (path, pool) = match previous {
                Some(e) => (e.path.clone(), e.pool.clone()),
                None => self.open_pool(entry),
            };
            let kept = previous.filter(|e| e.entry.stage == entry.stage);
            let stats = kept.map_or_else(Arc::default, |e| e.stats.clone());
            let service = table.and_then(|t| t.services.get(&entry.service));
            let max_open =
                connection_share(service.map_or(DEFAULT_CONNECTIONS, |s| s.connections), instances);
            let hash = name_hash(&entry.name);
            let incarnation = crash::incarnation_hash(entry);
            let (entry, latency) = (entry.clone(), self.latency(entry));
            let endpoint = Endpoint {
                entry,
                hash,
                incarnation,
                path,
                pool,
                stats,
                signals,
                health: service.and_then(survival::health_path),
                max_open,
                latency,
            };
            next.entry(endpoint.entry.service.clone()).or_default().push(Arc::new(endpoint));
        }
        known.end_list(now);
        drop(known);
        self.rate_limited.store(next.values().any(is_rate_limited), Relaxed);
        let mut latencies = self.lock_latencies();
        latencies.retain(|(service, _), _| next.contains_key(service));
        drop(latencies);
        self.versions.store(Arc::new(versions(&next)));
        self.services.store(Arc::new(next));
    }

    fn open_pool(&self, entry: &Entry) -> (Arc<Path>, Arc<Pool>) {
        let path = self.paths.to(entry.name.clone(), entry.address);
        let opening = path.clone();
        let pool = Pool::opened_by(entry.address, move || {
            let path = opening.clone();
            Box::pin(async move { path.open().await })
        });
        (path, Arc::new(pool))
    }

    /// Path to the endpoint `name` if it takes requests.
    pub fn path_to(&self, name: &str) -> Option<Arc<Path>> {
        let services = self.services.load();
        let found = services.values().flatten().find(|e| &*e.entry.name == name)?;
        found.takes_work().then(|| found.path.clone())
    }

    /// Versions of the endpoints of `service` that run requests, and do not only prefill prompts.
    pub fn versions(&self, service: &Name) -> Vec<Version> {
        self.versions.load().get(service).cloned().unwrap_or_default()
    }

    /// Whether the endpoint that `entry` lists or listed stated that it is leaving.
    pub fn leaving(&self, entry: &Entry) -> bool {
        self.lock_signals().leaving(entry)
    }

    fn lock_signals(&self) -> MutexGuard<'_, SignalStore> {
        self.signals.lock().expect("lock of the known signals is not poisoned")
    }

    /// Latency model shared by endpoints of the kind of `entry`.
    fn latency(&self, entry: &Entry) -> SharedLatency {
        let mut latencies = self.lock_latencies();
        latencies.entry((entry.service.clone(), entry.stage)).or_default().clone()
    }

    fn lock_latencies(&self) -> MutexGuard<'_, IndexMap<EndpointKind, SharedLatency>> {
        self.latencies.lock().expect("lock of the latency models is not poisoned")
    }

    /// Chooses an endpoint and adds the request to its load.
    ///
    /// # Errors
    ///
    /// Returns [`Choice::Full`], [`Choice::Withheld`] or [`Choice::None`] if no endpoint can serve the
    /// request.
    pub fn choose(&self, requirements: &Requirements<'_>) -> Result<Assignment, Choice> {
        let services = self.services.load();
        let Some(all) = services.get(requirements.service) else { return Err(Choice::None) };
        let zone = requirements.zone.unwrap_or(&self.zone);
        let matching: Vec<&Arc<Endpoint>> =
            all.iter().filter(|e| e.matches(requirements)).collect();
        let key =
            |e: &&Arc<Endpoint>| EndpointKey { hash: e.hash, same_zone: e.entry.zone == *zone };
        let keys: Vec<EndpointKey> = matching.iter().map(key).collect();
        let workload = &requirements.workload;
        if !workload.slot_wait.is_zero() {
            let sample = placement::sample(workload.prefix, &keys, rand::random());
            let sample = sample.into_iter().map(|i| matching[i]).collect();
            let workload = Workload { needs_slot: true, ..*workload };
            if let Ok(found) = self.choose_among(requirements, &workload, sample) {
                return Ok(found);
            }
        }
        let shortlist = placement::shortlist(workload.prefix, &keys, rand::random());
        let matching = shortlist.into_iter().map(|i| matching[i]).collect();
        self.choose_among(requirements, workload, matching)
    }

    fn choose_among(
        &self,
        requirements: &Requirements<'_>,
        workload: &Workload,
        matching: Vec<&Arc<Endpoint>>,
    ) -> Result<Assignment, Choice> {
        let zone = requirements.zone.unwrap_or(&self.zone);
        let now = self.now();
        let pool: Vec<&Health> = matching.iter().map(|e| &e.stats.health).collect();
        health::return_early(&pool, now);
        let share = self.rate_share(requirements.service, matching.iter().copied(), true);
        let candidates: Vec<Candidate> =
            matching.iter().map(|e| self.candidate(e, zone, share, now)).collect();
        match placement::choose(workload, &candidates) {
            Choice::At { index, tokens } => {
                matching[index].lock_signals().on_request(share, now);
                Ok(Assignment::new(matching[index].clone(), tokens))
            }
            other => Err(other),
        }
    }

    /// Share of the rate limits of a service that this instance may use; `None` if it is unknown or
    /// no endpoint limits its rate. `requested` says whether a caller asks for the service now.
    fn rate_share<'a>(
        &self,
        service: &Name,
        endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>,
        requested: bool,
    ) -> Option<f64> {
        if !self.rate_limited.load(Relaxed) || !is_rate_limited(endpoints) {
            return None;
        }
        let now = self.now();
        if requested {
            self.rate_shares.on_request(service, now);
        }
        self.rate_shares.share(service, now)
    }

    /// Whether a usable endpoint of `stage`, and of `version` if there is one, has a free slot.
    pub fn has_free_slot(&self, service: &Name, stage: Stage, version: Option<&Version>) -> bool {
        let (services, now) = (self.services.load(), self.now());
        let all = services.get(service).map_or(&[][..], Vec::as_slice);
        let share = self.rate_share(service, all, false);
        let free = |e: &Arc<Endpoint>| {
            let c = self.candidate(e, &self.zone, share, now);
            c.healthy && !c.backing_off && c.withheld.is_none() && c.slot_usage() < 1.0
        };
        all.iter().any(|e| e.serves(stage, version) && free(e))
    }

    /// A sample of the endpoints of `service` and `version` that decode, with their state as seen from
    /// `zone`. `draw` is random and varies the sample.
    pub fn decode_sample(
        &self,
        service: &Name,
        version: &Version,
        zone: &Name,
        draw: u32,
    ) -> Vec<(Arc<Endpoint>, Candidate)> {
        let (services, now) = (self.services.load(), self.now());
        let all = services.get(service).map_or(&[][..], Vec::as_slice);
        let share = self.rate_share(service, all, false);
        let fitting: Vec<&Arc<Endpoint>> =
            all.iter().filter(|e| e.serves(Stage::Decode, Some(version))).collect();
        let key =
            |e: &&Arc<Endpoint>| EndpointKey { hash: e.hash, same_zone: e.entry.zone == *zone };
        let keys: Vec<EndpointKey> = fitting.iter().map(key).collect();
        let sampled = placement::shortlist(None, &keys, draw).into_iter().map(|i| fitting[i]);
        sampled.map(|e| (e.clone(), self.candidate(e, zone, share, now))).collect()
    }

    /// Whether an endpoint that meets `requirements` works, as far as is known.
    pub fn has_healthy(&self, requirements: &Requirements<'_>) -> bool {
        let (services, now) = (self.services.load(), self.now());
        let mut all = services.get(requirements.service).into_iter().flatten();
        all.any(|e| {
            let healthy = health::usable(&e.stats.health, now);
            healthy && e.stats.lock_backoff().until <= now && e.matches(requirements)
        })
    }

    /// Whether the failure detector allows the use of an endpoint.
    pub fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        health::usable(&endpoint.stats.health, self.now())
    }

    /// Number of endpoints of `service` with this `stage`, and of `version` if there is one.
    pub fn count_stage(&self, service: &Name, stage: Stage, version: Option<&Version>) -> usize {
        let services = self.services.load();
        let all = services.get(service).into_iter().flatten();
        all.filter(|e| e.serves(stage, version)).count()
    }

    /// Open requests of this instance at the endpoints of `service` with this `stage`.
    pub fn open_at_stage(&self, service: &Name, stage: Stage) -> u32 {
        let services = self.services.load();
        let all = services.get(service).into_iter().flatten();
        all.filter(|e| e.entry.stage == Some(stage)).map(|e| e.stats.open.load(Relaxed)).sum()
    }

    /// Hash, open requests and queued prompt tokens of this instance at each endpoint with
    /// requests.
    pub fn loads(&self) -> Vec<(u32, u32, u32)> {
        let services = self.services.load();
        let load = |e: &Arc<Endpoint>| {
            let tokens = u32::try_from(e.stats.lock_prefill_queue().own).unwrap_or(u32::MAX);
            (e.hash as u32, e.stats.open.load(Relaxed), tokens)
        };
        services.values().flatten().map(load).filter(|(_, open, _)| *open > 0).collect()
    }

    /// Open requests of all instances at each endpoint of `service`.
    pub fn open_requests(&self, service: &Name) -> IndexMap<Name, u32> {
        let services = self.services.load();
        let open = |e: &Arc<Endpoint>| {
            let open = e.stats.open.load(Relaxed) + e.stats.others_open.load(Relaxed);
            (e.entry.name.clone(), open)
        };
        services.get(service).into_iter().flatten().map(open).collect()
    }

    /// Sets the open requests and queued prompt tokens of all other instances, by endpoint hash.
    pub fn set_others_load(&self, others: &IndexMap<u32, (u32, u32)>) {
        let services = self.services.load();
        for endpoint in services.values().flatten() {
            let (open, tokens) = others.get(&(endpoint.hash as u32)).copied().unwrap_or_default();
            endpoint.stats.others_open.store(open, Relaxed);
            endpoint.stats.lock_prefill_queue().others = u64::from(tokens);
        }
    }

    /// Reports the requests per second of this instance's callers for services whose endpoints limit
    /// their rate.
    pub fn report_rates(&self) -> Vec<(Name, f64)> {
        self.rate_shares.report(self.now())
    }

    /// Sets that demand of all other instances, by hash of the service's name, and the number of
    /// instances that reported it. Endpoints that get no requests now still get their tokens at the
    /// share of the time.
    pub fn set_others_rates(&self, rates: IndexMap<u32, f64>, instances: usize) {
        let now = self.now();
        self.rate_shares.set_others(rates, instances, now);
        let services = self.services.load();
        for service in self.rate_shares.services() {
            let (endpoints, share) =
                (services.get(&service), self.rate_shares.share(&service, now));
            let (Some(endpoints), Some(share)) = (endpoints, share) else { continue };
            endpoints.iter().for_each(|e| e.lock_signals().advance(share, now));
        }
    }

    /// Sets the number of instances that divide the rate limits; `listed` tells whether this one is
    /// on the list that it was read from.
    pub fn set_instances(&self, count: usize, listed: bool) {
        self.rate_shares.set_instances(count, listed);
    }

    /// Applies the statements in a response of `endpoint` and returns what they change.
    pub fn on_signals(&self, endpoint: &Endpoint, signals: &Signals) -> Vec<Change> {
        let changes = endpoint.signals.step(signals, self.now());
        if changes.iter().any(|c| matches!(c, Change::RateLimit(Some(_)))) {
            self.rate_limited.store(true, Relaxed);
        }
        changes
    }

    /// Whether an endpoint limits its rate, and whether it wants no requests now.
    pub fn limited_or_resting(&self, endpoint: &Endpoint) -> (bool, bool) {
        let signals = endpoint.lock_signals();
        (signals.rate_limit().is_some(), signals.resting(self.now()))
    }

    /// Starts the backoff of an endpoint that could not be connected.
    pub fn back_off(&self, endpoint: &Endpoint) {
        let mut backoff = endpoint.stats.lock_backoff();
        backoff.until = backoff.until.max(self.now() + CONNECT_BACKOFF);
    }

    /// Records the result of an exchange for the endpoint's backoff and failure detector.
    pub fn record_result(&self, endpoint: &Endpoint, kind: ExchangeResult) {
        let mut backoff = endpoint.stats.lock_backoff();
        match kind {
            ExchangeResult::Busy => backoff.on_rejection(self.now()),
            ExchangeResult::Success => backoff.consecutive = 0,
            ExchangeResult::Failure | ExchangeResult::Neutral => {}
        }
        drop(backoff);
        if health::on_result(&endpoint.stats.health, kind, self.now()) {
            let left = health::offline_left(&endpoint.stats.health, self.now());
            log::warn!(
                event = "endpoint_offline", endpoint = &*endpoint.entry.name,
                for_ms = left.as_millis() as u64;
                "endpoint marked offline after repeated failures"
            );
        }
    }
}

/// Versions of the endpoints that run requests, by service.
fn versions(services: &Services) -> IndexMap<Name, Vec<Version>> {
    let of = |endpoints: &Vec<Arc<Endpoint>>| {
        let runs = endpoints.iter().filter(|e| e.entry.stage != Some(Stage::Prefill));
        let distinct: IndexSet<Version> = runs.map(|e| e.entry.version.clone()).collect();
        distinct.into_iter().collect()
    };
    services.iter().map(|(service, endpoints)| (service.clone(), of(endpoints))).collect()
}

/// Whether any of the endpoints limits its rate.
fn is_rate_limited<'a>(endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>) -> bool {
    endpoints.into_iter().any(|e| e.lock_signals().rate_limit().is_some())
}

/// Connection limit of each of `instances` for an endpoint that accepts `all`; at least one.
fn connection_share(all: u32, instances: usize) -> u32 {
    let own = f64::from(all) * CONNECTION_FRACTION / instances.max(1) as f64;
    (own as u32).max(1)
}
