//! What all requests of one instance share.

use {
    crate::{
        arrivals::{Arrivals, Pass},
        demand::{Asked, Demand},
        dialect::Dialect,
        fleet::Fleet,
        headcount::Headcount,
        meter::Meter,
        spare::{Budget, Counts, Permit, Rates},
        suspect,
    },
    agate_core::Mono,
    agate_link::flight::Flight,
    agate_quarantine::Quarantine,
    agate_route::ranking::name_hash,
    agate_view::{
        Belief, clock,
        table::{Kind, Name},
    },
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Lines on repeated attempts in the time of one window.
const REPORTS: u32 = 2;
/// Longest time between two looks at the beliefs without a change.
const LONGEST_LOOK: Duration = Duration::from_secs(60);

/// Bounds and times of the request path.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Availability zone of the instance.
    pub zone: Name,
    /// Age of the configuration's proof above which keyed work is refused.
    pub key_age: Duration,
    /// Age of either proof above which the instance does not report itself ready.
    pub ready_age: Duration,
    /// The fleet's allowance of repeated attempts.
    pub rates: Rates,
}

type StartedFn = dyn Fn(&Name) + Send + Sync;

/// What all requests of one instance share.
pub struct Gate {
    /// The interface that requests are spoken in.
    pub dialect: Dialect,
    /// What is believed of the shared state.
    pub belief: Arc<Belief>,
    /// The endpoints.
    pub fleet: Fleet,
    /// Requests that crash endpoints.
    pub quarantine: Arc<Quarantine>,
    /// Bounds and times.
    pub settings: Settings,
    /// Requests in progress.
    pub flight: Flight,
    /// Counters.
    pub meter: Meter,
    /// Called with the organisation of each request that began to run.
    pub started: Box<StartedFn>,
    origin: Instant,
    stopping: AtomicBool,
    budgets: Mutex<IndexMap<Name, Budget>>,
    headcount: Mutex<Headcount>,
    demands: Mutex<IndexMap<Name, Demand>>,
    /// What the callers of all other instances ask for, by the hash of the service's name.
    others_ask: Mutex<IndexMap<u32, Asked>>,
}

impl Gate {
    /// Makes the gate of one instance.
    pub fn new(
        dialect: Dialect,
        belief: Arc<Belief>,
        settings: Settings,
        quarantine: Arc<Quarantine>,
        started: impl Fn(&Name) + Send + Sync + 'static,
    ) -> Arc<Self> {
        let headcount = Headcount::new(settings.rates.window, clock::now());
        let meter = Meter::default();
        quarantine.meter.register(meter.registry());
        Arc::new(Self {
            dialect,
            belief,
            fleet: Fleet::new(settings.zone.clone()),
            quarantine,
            settings,
            flight: Flight::default(),
            meter,
            started: Box::new(started),
            origin: Instant::now(),
            stopping: AtomicBool::new(false),
            budgets: Mutex::default(),
            headcount: Mutex::new(headcount),
            demands: Mutex::default(),
            others_ask: Mutex::default(),
        })
    }

    /// Follows the beliefs until they end.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.belief.changes.subscribe();
        let mut known = self.belief.entries.load_full();
        loop {
            let table = self.belief.table.load_full();
            let entries = self.belief.entries.load_full();
            for endpoint in suspect::vanished(&known, &entries) {
                self.quarantine.on_crash(endpoint, "entry_gone");
            }
            known = entries.clone();
            let now = clock::now();
            let (instances, falls) = self.headcount(|h| {
                h.note(self.belief.instances(), now);
                (h.most(now), h.falls())
            });
            self.fleet.install(&entries, table.as_deref(), instances);
            let fall = falls.map_or(LONGEST_LOOK, |at| at.saturating_sub(now));
            tokio::select! {
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
                () = sleep(fall) => {}
            }
        }
    }

    /// Whether the age of the configuration's proof allows to trust keys.
    pub fn keys_fresh(&self) -> bool {
        self.belief.config.age().is_some_and(|age| age < self.settings.key_age)
    }

    /// Whether the instance should get new connections.
    pub fn ready(&self) -> bool {
        let fresh = |age: Option<Duration>| age.is_some_and(|a| a < self.settings.ready_age);
        let known = self.belief.table.load().is_some() && !self.fleet.services().is_empty();
        known
            && fresh(self.belief.config.age())
            && fresh(self.belief.roster.age())
            && !self.stopping()
    }

    /// Whether a stop was announced.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Relaxed)
    }

    /// Announces a stop.
    pub fn announce_stop(&self) {
        self.stopping.store(true, Relaxed);
    }

    /// Counts a caller's request to `service`.
    pub fn count_request(&self, service: &Name, kind: Kind) {
        self.meter.requests.with_label_values(&[kind.label()]).inc();
        self.budget(service).on_request(clock::now());
    }

    /// Holds as many permits for a request to `service` as it needs, if there are so many.
    pub fn hold_permits(&self, service: &Name, arrivals: &mut Arrivals, needed: usize) -> bool {
        arrivals.hold(needed, || self.take_permit(service))
    }

    /// Admits a call of a request to an endpoint of `service`.
    pub fn admit(&self, service: &Name, arrivals: &mut Arrivals) -> Option<Pass> {
        let pass = arrivals.admit(|| self.take_permit(service))?;
        self.count_call(service, if pass.is_further() { "further" } else { "first" });
        Some(pass)
    }

    /// Notes that nothing of a call that was admitted reached its endpoint.
    pub fn unsent(&self, service: &Name, arrivals: &mut Arrivals, pass: Pass) {
        arrivals.unsent(pass);
        self.count_call(service, "uncounted");
    }

    /// Notes that an engine accepted a reading that was admitted.
    pub fn accepted(&self, service: &Name, arrivals: &mut Arrivals, pass: Pass) {
        if arrivals.accepted(pass) {
            self.count_call(service, "uncounted");
        }
    }

    fn count_call(&self, service: &Name, rank: &str) {
        self.meter.calls.with_label_values(&[&**service, rank]).inc();
    }

    fn take_permit(&self, service: &Name) -> Option<Permit> {
        let now = clock::now();
        let taken = self.budget(service).take(self.sharing(now), now);
        let outcome = if taken.is_some() { "permitted" } else { "denied" };
        self.meter.repeats.with_label_values(&[&**service, outcome]).inc();
        taken
    }

    /// Number of instances that share what the fleet is allowed, if this one has a part in it.
    fn sharing(&self, now: Mono) -> Option<usize> {
        let listed = self.belief.listed.age();
        self.headcount(|h| h.sharing(listed, now))
    }

    fn headcount<T>(&self, act: impl FnOnce(&mut Headcount) -> T) -> T {
        act(&mut self.headcount.lock().expect("no panic under the lock of the headcount"))
    }

    fn budget(&self, service: &Name) -> Budget {
        let mut budgets = self.budgets.lock().expect("no panic under the lock of the budgets");
        let opened = || Budget::new(self.settings.rates);
        budgets.entry(service.clone()).or_insert_with(opened).clone()
    }

    /// Writes a line for each service that had repeated attempts within the window, or wanted some.
    pub async fn report_repeats(self: Arc<Self>) {
        loop {
            sleep(self.settings.rates.window / REPORTS).await;
            let now = clock::now();
            let budgets = self.budgets.lock().expect("no panic under the lock of the budgets");
            for (service, budget) in budgets.iter() {
                let Counts { requests, repeats, denied } = budget.counts(now);
                if repeats + denied > 0 {
                    log::info!(
                        event = "repeats", service = &**service, requests, repeats, denied,
                        sharing = self.sharing(now),
                        listed_ms = self.belief.listed.age().map(|a| a.as_millis() as u64),
                        up_ms = self.now().as_millis() as u64;
                        "repeated attempts within the window"
                    );
                }
            }
        }
    }

    /// Counts or learns something of the demand for `service`.
    pub fn demand<T>(&self, service: &Name, act: impl FnOnce(&mut Demand, Mono) -> T) -> T {
        let now = self.now();
        let mut demands = self.demands.lock().expect("no panic under the lock of the demands");
        act(demands.entry(service.clone()).or_default(), now)
    }

    /// Engine time asked for, by service.
    pub fn asked(&self) -> Vec<(Name, Asked)> {
        let now = self.now();
        let mut demands = self.demands.lock().expect("no panic under the lock of the demands");
        demands.iter_mut().map(|(name, d)| (name.clone(), d.asked(now))).collect()
    }

    /// Takes over what the callers of all other instances ask for, by the hash of the service's name.
    pub fn set_others_ask(&self, asked: IndexMap<u32, Asked>) {
        *self.lock_others_ask() = asked;
    }

    /// Engine time that the callers of all instances ask of `service`.
    pub fn all_ask(&self, service: &Name) -> Asked {
        let others = self.lock_others_ask().get(&(name_hash(service) as u32)).copied();
        let others = others.unwrap_or_default();
        let own = self.demand(service, Demand::asked);
        Asked { reading: own.reading + others.reading, slots: own.slots + others.slots }
    }

    fn lock_others_ask(&self) -> MutexGuard<'_, IndexMap<u32, Asked>> {
        self.others_ask.lock().expect("no panic under the lock of the demands")
    }

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }
}
