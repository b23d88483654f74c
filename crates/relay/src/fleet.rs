//! The endpoints that this instance uses, each with its connections and what is known of its load.
//!
//! The table is replaced whole when entries or the configuration change; an endpoint that stays
//! keeps its connections and figures.

use {
    crate::{
        endpoint::{Endpoint, SharedPace},
        place::{self, Candidate, Choice, Spot, Want},
        stay::Stay,
        suspect,
    },
    agate_core::Mono,
    agate_link::link::Pool,
    agate_quarantine::EndpointHash,
    agate_route::{
        health::{self, Health, Kind},
        ranking::name_hash,
    },
    agate_view::{
        roster::{Entry, Stage},
        table::{Name, Table},
    },
    arc_swap::ArcSwap,
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard, atomic::Ordering::Relaxed},
        time::{Duration, Instant},
    },
};

/// Connections to an endpoint assumed to be allowed while its service is not configured.
const CONNECTIONS: u32 = 16;
/// Time for which an endpoint that took no connection gets nothing; a restart takes longer.
const UNCONNECTED: Duration = Duration::from_millis(500);
/// Part of the connections that an endpoint accepts which all instances together use.
const CONNECTION_PART: f64 = 0.85;

/// Service and stage of endpoints that read alike.
type KindOf = (Name, Option<Stage>);

/// Endpoints by service.
pub type Services = IndexMap<Name, Vec<Arc<Endpoint>>>;

/// All endpoints.
pub struct Fleet {
    services: ArcSwap<Services>,
    paces: Mutex<IndexMap<KindOf, SharedPace>>,
    /// Hashes of endpoints that are about to change: those that this instance changes, and others.
    changing: [ArcSwap<Vec<u32>>; 2],
    origin: Instant,
    zone: Name,
}

/// What a request needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service that it goes to.
    pub service: &'a Name,
    /// What is placed.
    pub want: Want,
    /// Stage that a model engine must have; `None` for plain services.
    pub stage: Option<Stage>,
    /// Endpoints that were tried already.
    pub tried: &'a [Name],
    /// Incarnations that it must not go to now.
    pub avoided: &'a [EndpointHash],
    /// Availability zone that is nearest; the instance's own if absent.
    pub zone: Option<&'a Name>,
}

impl Fleet {
    /// Makes an empty fleet seen from `zone`.
    pub fn new(zone: Name) -> Self {
        let changing = [ArcSwap::default(), ArcSwap::default()];
        let (services, paces) = (ArcSwap::default(), Mutex::default());
        Self { services, paces, changing, origin: Instant::now(), zone }
    }

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    /// Notes which endpoints this instance is about to change.
    pub fn set_changing(&self, names: &[Name]) {
        let hashes = names.iter().map(|n| name_hash(n) as u32).collect();
        self.changing[0].store(Arc::new(hashes));
    }

    /// Notes which endpoints others are about to change.
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

    fn candidate(&self, endpoint: &Endpoint, zone: &Name, now: Mono) -> Candidate {
        let candidate = endpoint.candidate(zone, now);
        let refusing = candidate.refusing || self.is_changing(endpoint);
        Candidate { refusing, ..candidate }
    }

    /// Endpoints by service.
    pub fn services(&self) -> arc_swap::Guard<Arc<Services>> {
        self.services.load()
    }

    /// Takes over the newest entries and the newest configuration.
    pub fn install(&self, entries: &[Entry], table: Option<&Table>, instances: usize) {
        let old = self.services.load();
        let known: IndexMap<&str, &Arc<Endpoint>> =
            old.values().flatten().map(|e| (&*e.entry.name, e)).collect();
        let mut next = Services::new();
        for entry in entries.iter().filter(|e| !e.leaving) {
            let kept = known.get(&*entry.name).filter(|e| e.entry.same(entry));
            let (pool, live) = match kept {
                Some(e) if e.entry.stage == entry.stage => (e.pool.clone(), e.live.clone()),
                Some(e) => (e.pool.clone(), Arc::default()),
                None => (Arc::new(Pool::new(entry.address)), Arc::default()),
            };
            let service = table.and_then(|t| t.services.get(&entry.service));
            let most = share(service.map_or(CONNECTIONS, |s| s.connections), instances);
            let hash = name_hash(&entry.name);
            let incarnation = suspect::incarnation(entry);
            let (entry, pace) = (entry.clone(), self.pace(entry));
            let endpoint = Endpoint { entry, hash, incarnation, pool, live, most, pace };
            next.entry(endpoint.entry.service.clone()).or_default().push(Arc::new(endpoint));
        }
        let mut paces = self.lock_paces();
        paces.retain(|(service, _), _| next.contains_key(service));
        drop(paces);
        self.services.store(Arc::new(next));
    }

    /// How endpoints of the kind of `entry` read.
    fn pace(&self, entry: &Entry) -> SharedPace {
        let mut paces = self.lock_paces();
        paces.entry((entry.service.clone(), entry.stage)).or_default().clone()
    }

    fn lock_paces(&self) -> MutexGuard<'_, IndexMap<KindOf, SharedPace>> {
        self.paces.lock().expect("no panic under the lock of the paces")
    }

    /// Chooses an endpoint and counts the request there.
    pub fn choose(&self, need: &Need<'_>) -> Result<Stay, Choice> {
        let services = self.services.load();
        let Some(all) = services.get(need.service) else { return Err(Choice::None) };
        let zone = need.zone.unwrap_or(&self.zone);
        let fits: Vec<&Arc<Endpoint>> = all.iter().filter(|e| e.fits(need)).collect();
        let spot = |e: &&Arc<Endpoint>| Spot { hash: e.hash, near: e.entry.zone == *zone };
        let spots: Vec<Spot> = fits.iter().map(spot).collect();
        let listed = place::shortlist(need.want.subject, &spots, rand::random());
        let fits: Vec<&Arc<Endpoint>> = listed.into_iter().map(|i| fits[i]).collect();
        let now = self.now();
        let pool: Vec<&Health> = fits.iter().map(|e| &e.live.health).collect();
        health::return_early(&pool, now);
        let candidates: Vec<Candidate> =
            fits.iter().map(|e| self.candidate(e, zone, now)).collect();
        match place::choose(&need.want, &candidates) {
            Choice::At { index, tokens } => Ok(Stay::new(fits[index].clone(), tokens)),
            other => Err(other),
        }
    }

    /// Whether an endpoint of `stage` has a slot that no known request uses.
    pub fn has_slot(&self, service: &Name, stage: Stage) -> bool {
        let (services, now) = (self.services.load(), self.now());
        let mut all = services.get(service).into_iter().flatten();
        let free = |e: &Arc<Endpoint>| {
            let c = self.candidate(e, &self.zone, now);
            c.healthy && !c.refusing && c.use_of_slots() < 1.0
        };
        all.any(|e| e.entry.stage == Some(stage) && !e.live.gone.load(Relaxed) && free(e))
    }

    /// Number of endpoints of `service` that are of `stage`.
    pub fn count_stage(&self, service: &Name, stage: Stage) -> usize {
        let services = self.services.load();
        let all = services.get(service).into_iter().flatten();
        all.filter(|e| e.entry.stage == Some(stage) && !e.live.gone.load(Relaxed)).count()
    }

    /// Every endpoint's hash with this instance's requests and unread prompt tokens there.
    pub fn loads(&self) -> Vec<(u32, u32, u32)> {
        let services = self.services.load();
        let load = |e: &Arc<Endpoint>| {
            let tokens = u32::try_from(e.live.unread().own).unwrap_or(u32::MAX);
            (e.hash as u32, e.live.open.load(Relaxed), tokens)
        };
        services.values().flatten().map(load).filter(|(_, open, _)| *open > 0).collect()
    }

    /// Takes over the requests and unread prompt tokens of all other instances, by endpoint.
    pub fn set_others(&self, others: &IndexMap<u32, (u32, u32)>) {
        let services = self.services.load();
        for endpoint in services.values().flatten() {
            let (open, tokens) = others.get(&(endpoint.hash as u32)).copied().unwrap_or_default();
            endpoint.live.others.store(open, Relaxed);
            endpoint.live.unread().others = u64::from(tokens);
        }
    }

    /// Leaves an endpoint out for a moment that took no connection.
    pub fn leave_out(&self, endpoint: &Endpoint) {
        let mut refusals = endpoint.live.refusals();
        refusals.until = refusals.until.max(self.now() + UNCONNECTED);
    }

    /// Records how an exchange with an endpoint went.
    pub fn judge(&self, endpoint: &Endpoint, kind: Kind) {
        let mut refusals = endpoint.live.refusals();
        match kind {
            Kind::Busy => refusals.on_refusal(self.now()),
            Kind::Success => refusals.row = 0,
            Kind::Failure | Kind::Neutral => {}
        }
        drop(refusals);
        if health::on_result(&endpoint.live.health, kind, self.now()) {
            let left = health::offline_left(&endpoint.live.health, self.now());
            log::warn!(
                event = "endpoint_offline", endpoint = &*endpoint.entry.name,
                for_ms = left.as_millis() as u64;
                "an endpoint failed too often and is left out"
            );
        }
    }
}

/// Connections of one of `instances` to an endpoint that accepts `all`.
fn share(all: u32, instances: usize) -> u32 {
    let own = f64::from(all) * CONNECTION_PART / instances.max(1) as f64;
    (own as u32).max(1)
}
