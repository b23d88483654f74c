//! What all requests of one instance share.

use {
    crate::{
        arrivals::{Arrival, Arrivals},
        demand::{Asked, Demand},
        dialect::Dialect,
        fleet::Fleet,
        meter::Meter,
        spare::{Counts, Rates, Spare},
    },
    agate_core::Mono,
    agate_link::flight::Flight,
    agate_view::{
        Belief,
        table::{Kind, Name},
    },
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Lines on repeated attempts in the time of one window.
const REPORTS: u32 = 2;

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
    spares: Mutex<IndexMap<Name, Spare>>,
    demands: Mutex<IndexMap<Name, Demand>>,
}

impl Gate {
    /// Makes the gate of one instance.
    pub fn new(
        dialect: Dialect,
        belief: Arc<Belief>,
        settings: Settings,
        started: impl Fn(&Name) + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            dialect,
            belief,
            fleet: Fleet::new(settings.zone.clone()),
            settings,
            flight: Flight::default(),
            meter: Meter::default(),
            started: Box::new(started),
            origin: Instant::now(),
            stopping: AtomicBool::new(false),
            spares: Mutex::default(),
            demands: Mutex::default(),
        })
    }

    /// Follows the beliefs until they end.
    pub async fn follow(self: Arc<Self>) {
        let mut changes = self.belief.changes.subscribe();
        loop {
            let table = self.belief.table.load_full();
            let entries = self.belief.entries.load_full();
            self.fleet.install(&entries, table.as_deref(), self.belief.instances());
            if changes.changed().await.is_err() {
                return;
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
        let now = self.now();
        self.spare(service, |s| s.on_request(now));
    }

    /// Takes one repeated attempt at `service`, if there is one left.
    pub fn take_spare(&self, service: &Name) -> bool {
        let (instances, now) = (self.belief.instances(), self.now());
        let taken = self.spare(service, |s| s.take(instances, now));
        let outcome = if taken { "permitted" } else { "denied" };
        self.meter.repeats.with_label_values(&[&**service, outcome]).inc();
        taken
    }

    /// Counts an arrival of a request at an endpoint of `service`.
    pub fn count_arrival(&self, service: &Name, arrivals: &mut Arrivals, arrival: Arrival) {
        let before = arrivals.counted();
        let further = arrivals.note(arrival);
        if further {
            let now = self.now();
            self.spare(service, |s| s.on_arrival(now));
        }
        if arrivals.counted() > before {
            let rank = if further { "further" } else { "first" };
            self.meter.arrivals.with_label_values(&[&**service, rank]).inc();
        }
    }

    /// Writes a line for each service that had repeated attempts within the window, or wanted some.
    pub async fn report_repeats(self: Arc<Self>) {
        loop {
            sleep(self.settings.rates.window / REPORTS).await;
            let now = self.now();
            let mut spares = self.spares.lock().expect("no panic under the lock of the spares");
            for (service, spare) in spares.iter_mut() {
                let Counts { requests, repeats, denied, arrivals } = spare.counts(now);
                if repeats + denied + arrivals > 0 {
                    log::info!(
                        event = "repeats", service = &**service, requests, repeats, denied,
                        arrivals, instances = self.belief.instances(),
                        listed_ms = self.belief.listed.age().map(|a| a.as_millis() as u64),
                        up_ms = now.as_millis() as u64;
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

    fn now(&self) -> Mono {
        self.origin.elapsed()
    }

    fn spare<T>(&self, service: &Name, act: impl FnOnce(&mut Spare) -> T) -> T {
        let mut spares = self.spares.lock().expect("no panic under the lock of the spares");
        act(spares.entry(service.clone()).or_insert_with(|| Spare::new(self.settings.rates)))
    }
}
