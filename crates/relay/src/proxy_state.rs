//! State shared by all requests of one instance.

use {
    crate::{
        announced_changes::AnnouncedChanges,
        calls::{Admission, CallTracker},
        crash,
        demand::{Demand, EngineDemand},
        dialect::Dialect,
        endpoint::Endpoint,
        fleet::Fleet,
        hedge::{self, HedgeLimits, Hedges},
        instance_count::InstanceCount,
        metrics::Metrics,
        moving::Moves,
        org_quota::{self, OrgQuotas},
        org_shares::OrgShares,
        reporters::Reporters,
        retry_budget::{Counts, Permit, RetryBudget, RetryLimits},
    },
    agate_core::Mono,
    agate_path::Paths,
    agate_quarantine::Quarantine,
    agate_route::ranking::name_hash,
    agate_transport::{in_flight::InFlight, memory_budget::MemoryBudget},
    agate_version::{Split, Versions},
    agate_view::{
        Entry, LocalView, clock,
        roster::Stage,
        table::{Kind, Name},
    },
    indexmap::IndexMap,
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Log reports on retries per window.
const REPORTS_PER_WINDOW: u32 = 2;
/// Time before the end of a stop by which the last responses have to begin.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Maximum time between two updates of the fleet when no change is announced.
const MAX_POLL: Duration = Duration::from_secs(60);

/// Settings of the request path.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Availability zone of the instance.
    pub zone: Name,
    /// Age since the configuration was last confirmed from which requests with API keys are
    /// refused.
    pub key_age: Duration,
    /// Age since the configuration or the endpoint list was last confirmed from which the instance
    /// reports itself not ready.
    pub ready_age: Duration,
    /// Limits on the retries of all instances together.
    pub retry_limits: RetryLimits,
    /// Whether the slots in use at decode engines count as demand if they exceed the estimate.
    pub measured_demand: bool,
    /// Whether streams are moved off engines that leave, where the engines support it.
    pub evacuate: bool,
    /// Whether organisations have shares in overloaded services.
    pub org_shares: bool,
    /// How exactly quotas of organisations are held.
    pub quotas: org_quota::Settings,
    /// Limits on second attempts beside a slow one; `None` if there are none.
    pub hedge_limits: Option<HedgeLimits>,
    /// Memory and connections that callers share.
    pub callers: MemoryBudget,
}

/// Parts of the instance that follow its peers and the store.
pub struct Parts {
    /// Detector of requests that crash endpoints.
    pub quarantine: Arc<Quarantine>,
    /// Software versions of streams.
    pub versions: Arc<Versions>,
    /// Paths to endpoints.
    pub paths: Paths,
}

type StartedFn = dyn Fn(&Name) + Send + Sync;

/// State shared by all requests of one instance.
pub struct ProxyState {
    /// Protocol of callers and endpoints.
    pub dialect: Dialect,
    /// Local copy of the configuration, the endpoint list and the instance list.
    pub view: Arc<LocalView>,
    /// Endpoints with their connections and load.
    pub fleet: Fleet,
    /// Detector of requests that crash endpoints.
    pub quarantine: Arc<Quarantine>,
    /// Software versions of streams.
    pub versions: Arc<Versions>,
    /// Second attempts beside slow ones.
    pub hedges: Hedges,
    /// Settings given at the start.
    pub settings: Settings,
    /// Requests in progress.
    pub flight: InFlight,
    /// Metrics of the request path.
    pub metrics: Metrics,
    /// Shares of organisations in overloaded services.
    pub org_shares: OrgShares,
    /// Quotas of organisations.
    pub quotas: OrgQuotas,
    /// Called once for each request that began to run, with its organisation.
    pub on_started: Box<StartedFn>,
    /// Moves of streams off endpoints that leave.
    pub moves: Moves,
    origin: Instant,
    /// When requests in progress are cut off, once a stop is announced.
    stop_end: OnceLock<Instant>,
    budgets: Mutex<IndexMap<Name, RetryBudget>>,
    instance_count: Mutex<InstanceCount>,
    demands: Mutex<IndexMap<Name, Demand>>,
    changes: Mutex<AnnouncedChanges>,
    /// Demand reported by all other instances, keyed by the hash of the service's name.
    others_demand: Mutex<IndexMap<u32, EngineDemand>>,
    reporters: Reporters,
}

impl ProxyState {
    /// Makes the shared state of an instance; `on_started` is called with the organisation of each
    /// started request.
    pub fn new(
        dialect: Dialect,
        view: Arc<LocalView>,
        settings: Settings,
        parts: Parts,
        on_started: impl Fn(&Name) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let instance_count = InstanceCount::new(settings.retry_limits.window, clock::now());
        let metrics = Metrics::default();
        let Parts { quarantine, versions, paths } = parts;
        quarantine.metrics.register(metrics.registry());
        versions.metrics.register(metrics.registry());
        paths.metrics().register(metrics.registry());
        let org_shares = OrgShares::new(settings.org_shares, metrics.registry());
        let quotas = OrgQuotas::new(settings.quotas, clock::now(), metrics.registry());
        if settings.hedge_limits.is_some() {
            hedge::list_counters(&metrics);
        }
        settings.callers.register(metrics.registry());
        Arc::new(Self {
            dialect,
            view,
            fleet: Fleet::with_paths(settings.zone.clone(), paths),
            quarantine,
            versions,
            hedges: Hedges::new(settings.hedge_limits),
            settings,
            flight: InFlight::default(),
            metrics,
            org_shares,
            quotas,
            on_started: Box::new(on_started),
            moves: Moves::default(),
            origin: Instant::now(),
            stop_end: OnceLock::new(),
            budgets: Mutex::default(),
            instance_count: Mutex::new(instance_count),
            demands: Mutex::default(),
            changes: Mutex::default(),
            others_demand: Mutex::default(),
            reporters: Reporters::default(),
        })
    }

    /// Applies each change of the shared view to the fleet; returns when the view is dropped.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.view.changes.subscribe();
        let mut known = self.view.entries.load_full();
        loop {
            let table = self.view.table.load_full();
            // Read before the entries, so that it is never that of newer ones.
            let digest = self.view.roster_digest.load(Ordering::Acquire);
            let entries = self.view.entries.load_full();
            let leaving = |e: &Entry| e.leaving || self.fleet.leaving(e);
            for endpoint in crash::disappeared(&known, &entries, leaving) {
                self.quarantine.on_crash(endpoint, "entry_gone");
            }
            known = entries.clone();
            let now = clock::now();
            self.quotas.install(table.as_deref(), self.view.instances(), now);
            let (instances, next_decrease) = self.with_instance_count(|c| {
                c.record(self.view.instances(), now);
                (c.max(now), c.next_decrease())
            });
            let listed = self.view.listed.age();
            let listed = listed.is_some_and(|age| self.with_instance_count(|c| c.is_recent(age)));
            self.fleet.set_instances(instances, listed);
            // Instances that have started since an outage do not know the endpoints that others retain.
            let stored = self.view.stored_entries();
            self.versions.install(&Split::of_services(&stored), digest);
            self.fleet.install(&entries, table.as_deref(), instances);
            if self.settings.evacuate {
                self.moves.on_entries(&entries);
            }
            let pause = next_decrease.map_or(MAX_POLL, |at| at.saturating_sub(now));
            tokio::select! {
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
                () = sleep(pause) => {}
            }
        }
    }

    /// Whether the configuration is fresh enough to trust API keys.
    pub fn keys_fresh(&self) -> bool {
        self.view.config.age().is_some_and(|age| age < self.settings.key_age)
    }

    /// Whether the instance should get new connections: its view and the quarantined requests are
    /// known, the view is fresh, and it is not stopping.
    pub fn ready(&self) -> bool {
        let fresh = |age: Option<Duration>| age.is_some_and(|a| a < self.settings.ready_age);
        let known = self.view.table.load().is_some() && !self.fleet.services().is_empty();
        let known = known && self.quarantine.is_loaded();
        known && fresh(self.view.config.age()) && fresh(self.view.roster.age()) && !self.stopping()
    }

    /// Whether an endpoint is known to be leaving, or to have left.
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let entries = self.view.entries.load();
        let listed = entries.iter().find(|e| e.same_incarnation(&endpoint.entry));
        listed.is_none_or(|e| e.leaving) || !endpoint.takes_work()
    }

    /// Whether another incarnation is known under the name of an endpoint.
    pub fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let (entries, own) = (self.view.entries.load(), &endpoint.entry);
        entries.iter().any(|e| e.name == own.name && !e.same_incarnation(own))
    }

    /// Whether [`Self::announce_stop`] was called.
    pub fn stopping(&self) -> bool {
        self.stop_end.get().is_some()
    }

    /// Makes the readiness check fail and responses close their connections. Requests in progress are
    /// cut off at `end`.
    pub fn announce_stop(&self, end: Instant) {
        if self.stop_end.set(end).is_err() {
            log::debug!("the stop was announced already");
        }
    }

    /// Time that a request has which arrives now; `None` if the instance is not stopping.
    pub fn stop_left(&self) -> Option<Duration> {
        let end = *self.stop_end.get()?;
        Some(end.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_MARGIN))
    }

    /// Counts a caller's request to `service`, in the metrics and for the retry budget and
    /// the share of second attempts.
    pub fn count_request(&self, service: &Name, kind: Kind) {
        self.metrics.requests.with_label_values(&[kind.label()]).inc();
        let now = clock::now();
        self.budget(service).on_request(now);
        self.hedges.on_request(service, now);
    }

    /// Reserves retry permits until the request holds `needed`; returns whether it does.
    pub fn reserve_permits(&self, service: &Name, calls: &mut CallTracker, needed: usize) -> bool {
        calls.reserve(needed, || self.take_permit(service))
    }

    /// Admits a call to an endpoint of `service`; `None` if it is a retry and the budget is spent.
    pub fn admit(&self, service: &Name, calls: &mut CallTracker) -> Option<Admission> {
        let admission = calls.admit(|| self.take_permit(service))?;
        self.count_call(service, if admission.is_retry() { "further" } else { "first" });
        Some(admission)
    }

    /// Records that an admitted call did not reach its endpoint.
    pub fn on_unsent(&self, service: &Name, calls: &mut CallTracker, admission: Admission) {
        calls.on_unsent(admission);
        self.count_call(service, "uncounted");
    }

    /// Records that an engine accepted an admitted prefill.
    pub fn on_prefill_accepted(
        &self,
        service: &Name,
        calls: &mut CallTracker,
        admission: Admission,
    ) {
        if calls.on_prefill_accepted(admission) {
            self.count_call(service, "uncounted");
        }
    }

    fn count_call(&self, service: &Name, rank: &str) {
        self.metrics.calls.with_label_values(&[&**service, rank]).inc();
    }

    fn take_permit(&self, service: &Name) -> Option<Permit> {
        let now = clock::now();
        let taken = self.budget(service).take(self.sharers(now), now);
        let outcome = if taken.is_some() { "permitted" } else { "denied" };
        self.metrics.permits.with_label_values(&[&**service, outcome]).inc();
        taken
    }

    /// Number of instances that divide the slack; `None` while this one must not use any of it.
    fn sharers(&self, now: Mono) -> Option<usize> {
        let listed = self.view.listed.age();
        self.with_instance_count(|c| c.sharers(listed, now))
    }

    fn with_instance_count<T>(&self, act: impl FnOnce(&mut InstanceCount) -> T) -> T {
        act(&mut self.instance_count.lock().expect("lock of the instance count is not poisoned"))
    }

    fn budget(&self, service: &Name) -> RetryBudget {
        let mut budgets = self.budgets.lock().expect("lock of the retry budgets is not poisoned");
        let opened = || RetryBudget::new(self.settings.retry_limits);
        budgets.entry(service.clone()).or_insert_with(opened).clone()
    }

    /// Logs, until cancelled, each service that had or was denied retries within the window.
    pub async fn report_retries(self: Arc<Self>) {
        loop {
            sleep(self.settings.retry_limits.window / REPORTS_PER_WINDOW).await;
            let now = clock::now();
            let budgets = self.budgets.lock().expect("lock of the retry budgets is not poisoned");
            for (service, budget) in budgets.iter() {
                let Counts { requests, retries, denied } = budget.counts(now);
                if retries + denied > 0 {
                    log::info!(
                        event = "repeats", service = &**service, requests, repeats = retries, denied,
                        sharing = self.sharers(now),
                        listed_ms = self.view.listed.age().map(|a| a.as_millis() as u64),
                        up_ms = self.now().as_millis() as u64;
                        "retries within the window"
                    );
                }
            }
        }
    }

    /// Runs `act` on the demand estimate of `service`, with the current time.
    pub fn demand<T>(&self, service: &Name, act: impl FnOnce(&mut Demand, Mono) -> T) -> T {
        let now = self.now();
        let mut demands = self.demands.lock().expect("lock of the demands is not poisoned");
        act(demands.entry(service.clone()).or_default(), now)
    }

    /// Engine time that this instance's callers ask for, by service.
    pub fn own_demand(&self) -> Vec<(Name, EngineDemand)> {
        let now = self.now();
        let mut demands = self.demands.lock().expect("lock of the demands is not poisoned");
        let mut out: Vec<_> =
            demands.iter_mut().map(|(name, d)| (name.clone(), d.rates(now))).collect();
        drop(demands);
        out.iter_mut().for_each(|(name, demand)| self.count_used_slots(name, demand));
        out
    }

    /// Raises the estimated decode demand to the slots that this instance's requests use.
    fn count_used_slots(&self, service: &Name, demand: &mut EngineDemand) {
        if self.settings.measured_demand {
            let used = self.fleet.open_at_stage(service, Stage::Decode);
            demand.slots = demand.slots.max(f64::from(used));
        }
    }

    /// Replaces the demand of all other instances, keyed by the hash of the service's name.
    pub fn set_others_demand(&self, asked: IndexMap<u32, EngineDemand>) {
        *self.lock_others_demand() = asked;
    }

    /// Records that the demand of `count` other instances was reported now.
    pub fn on_demand_reported(&self, count: usize) {
        self.reporters.record(count, self.now());
    }

    /// Sets the endpoints that other instances are about to change; they get no new requests.
    pub fn on_others_changing(&self, hashes: &[u32]) {
        if !self.settings.measured_demand {
            return self.fleet.set_others_changing(hashes);
        }
        let services = self.fleet.services();
        let stages = services.values().flatten().map(|e| (e.hash as u32, e.entry.stage)).collect();
        let mut changes = self.changes.lock().expect("lock of the changes is not poisoned");
        let held = changes.update(hashes, &stages, clock::now());
        self.fleet.set_others_changing(&held);
    }

    /// Engine time that the callers of all instances ask of `service`; `None` if the latest report
    /// is old or holds less than half of the listed instances.
    pub fn known_demand(&self, service: &Name) -> Option<EngineDemand> {
        let listed = self.view.peers.load().len();
        self.reporters.suffice(listed, self.now()).then(|| self.total_demand(service))
    }

    /// Engine time that the callers of all instances ask of `service`.
    pub fn total_demand(&self, service: &Name) -> EngineDemand {
        let others = self.lock_others_demand().get(&(name_hash(service) as u32)).copied();
        let others = others.unwrap_or_default();
        let mut own = self.demand(service, Demand::rates);
        self.count_used_slots(service, &mut own);
        EngineDemand { prefill: own.prefill + others.prefill, slots: own.slots + others.slots }
    }

    fn lock_others_demand(&self) -> MutexGuard<'_, IndexMap<u32, EngineDemand>> {
        self.others_demand.lock().expect("lock of the other instances' demand is not poisoned")
    }

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }
}
