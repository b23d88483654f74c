//! Puts one instance on the operators' platform together and runs it.

mod calls;
pub mod lines;
pub mod settings;
mod talk;

use {
    crate::figures,
    agate_adapter::{PATHS, SOURCE, headers, store},
    agate_duty::{
        counter::Counter,
        runner::{self, Duties, Parts},
        seat::Seat,
        window,
    },
    agate_lease::Lease,
    agate_quarantine::{Quarantine, Role},
    agate_relay::{
        gate::{self, Gate},
        ready::Monitor,
        server::Front,
        spare::Rates,
    },
    agate_store::{Client, Store, breaker, client},
    agate_sync::runner::{COORDINATORS, Talking, bind},
    agate_view::{
        Belief,
        follow::{self, Followers, Pace},
        peers::{self, Peer},
    },
    eyre::{Result, WrapErr},
    flexi_logger::LoggerHandle,
    settings::Settings,
    std::{net::SocketAddr, path::Path, process::ExitCode, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time between two looks at the own rank.
const RANK_LOOK: Duration = Duration::from_millis(500);
/// Looks in a row without a rank after which an instance no longer stands for the duties.
const UNRANKED_LOOKS: u32 = 10;
/// Name of the lease of all duties.
const LEASE: &str = "duties";
/// Time to live of that lease; above the time within which the platform forbids holders to take
/// turns, with room for a renewal that is lost.
const LEASE_TTL: Duration = Duration::from_millis(4_500);
/// Time between two renewals of it.
const LEASE_RENEW: Duration = Duration::from_millis(1_200);
/// Time between two looks of a candidate.
const LEASE_POLL: Duration = Duration::from_millis(1_500);
/// Time from the end of a usage window until every instance has written its counts.
const GATHER: Duration = Duration::from_millis(1_700);
/// Part of the bound on withdrawn keys that a proof may be old; the rest is for the way to the store.
const KEY_AGE_PART: f64 = 0.9;
/// Part of it above which the instance asks the balancer for no more connections.
const READY_AGE_PART: f64 = 0.55;
/// Time for which connections are still accepted after a stop was announced, for the balancer to
/// notice: two checks a second apart, and one on its way.
const STOP_ACCEPTING: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which a stop no longer waits.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// One running instance.
pub struct Edge {
    gate: Arc<Gate>,
    front: Front,
    duties: Duties,
    stop: Duration,
    _sync: Talking,
    _standing: JoinHandle<()>,
    monitor: Monitor,
    _followers: Followers,
}

impl Edge {
    /// Starts an instance.
    ///
    /// Errors: an address cannot be bound.
    pub async fn spawn(settings: &Settings) -> Result<Self> {
        let belief = Belief::new();
        let client = open_store(settings);
        let store = client.store();
        let incarnation = format!("{}-{:x}", settings.name, rand::random::<u32>());
        let counter = Counter::new(settings.usage.window);
        let counting = counter.clone();
        let timing = counter.clone();
        let quarantine = Quarantine::new(store.clone(), move || timing.wall());
        let gate = Gate::new(
            headers::dialect(),
            belief.clone(),
            gate_settings(settings),
            quarantine.clone(),
            move |org| counting.count(org),
        );
        let heard = belief.clone();
        tokio::spawn(quarantine.follow(move || role(&heard)));
        figures::calls::register(gate.meter.registry(), &client);
        tokio::spawn(gate.clone().follow());
        tokio::spawn(gate.clone().report_repeats());
        let own = Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
            weight: settings.weight(),
        };
        let seat = Arc::<Seat>::default();
        let ports = talk::ports(&gate, &counter, &seat, &settings.name);
        let sync =
            bind(own.clone(), incarnation.clone(), store.clone(), belief.clone(), ports).await;
        let sync = sync.wrap_err_with(|| format!("binding peers {}", settings.peers))?;
        let standing = tokio::spawn(stand(
            seat.clone(),
            belief.clone(),
            store.clone(),
            settings.name.clone(),
            incarnation.clone(),
        ));
        let followers = follow::spawn(store.clone(), SOURCE, Pace::default(), own, belief.clone());
        let monitor = Monitor::bind(settings.monitor, PATHS, gate.clone()).await;
        let monitor = monitor.wrap_err_with(|| format!("binding monitor {}", settings.monitor))?;
        let front = Front::bind(settings.listen, gate.clone()).await;
        let front = front.wrap_err_with(|| format!("binding listen {}", settings.listen))?;
        let windows = window::Settings {
            length: settings.usage.window,
            gather: GATHER,
            late: settings.usage.late,
        };
        let calls = calls::calls(settings, &seat);
        let (asking, announcing) = (gate.clone(), gate.clone());
        let duties = runner::spawn(Parts {
            store,
            belief,
            seat,
            asked: Box::new(move |service| talk::all_ask(&asking, service)),
            calls,
            announce: Box::new(move |names| announcing.fleet.set_changing(names)),
            counter,
            windows,
            incarnation,
        });
        let stop = settings.stop.limit;
        Ok(Self {
            gate,
            front,
            duties,
            stop,
            _sync: sync,
            _standing: standing,
            monitor,
            _followers: followers,
        })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address of the readiness check and of the metrics.
    pub fn monitor(&self) -> SocketAddr {
        self.monitor.address()
    }

    /// Stops gracefully within the grace period.
    ///
    /// The lease is not released but left to lapse: a successor that acted at once could be
    /// followed by this instance's next start sooner than the platform allows.
    pub async fn stop(self) {
        let begun = Instant::now();
        let end = begun + self.stop.saturating_sub(STOP_MARGIN);
        log::info!(event = "stopping", open = self.gate.flight.open(); "stop announced");
        self.gate.announce_stop();
        sleep(STOP_ACCEPTING).await;
        self.front.close();
        let left = self.front.ended(end.saturating_duration_since(Instant::now())).await;
        self.duties.hand_over().await;
        log::info!(
            event = "stopped", cut = left, took_ms = begun.elapsed().as_millis() as u64;
            "the instance ends"
        );
    }
}

/// Runs an instance until it is told to stop.
pub async fn run(file: &Path) -> Result<ExitCode> {
    // Until they are awaited, signals end the process, a mere reload included.
    let (mut term, mut hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let settings = settings::open(file)?;
    let logs = lines::open(&settings.log.level)?;
    log::info!(
        event = "starting", version = env!("CARGO_PKG_VERSION"), settings:? = settings;
        "the instance starts"
    );
    let edge = Edge::spawn(&settings).await?;
    let mut current = settings;
    let mut next = Instant::now() + settings::WATCH_PERIOD;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => reload(file, &mut current, &logs),
            () = sleep_until(next) => {
                next = Instant::now() + settings::WATCH_PERIOD;
                reload(file, &mut current, &logs);
            }
        }
    }
    edge.stop().await;
    logs.flush();
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings again; the log level is taken over, everything else needs a restart.
fn reload(file: &Path, current: &mut Settings, logs: &LoggerHandle) {
    match settings::open(file) {
        Ok(next) if next == *current => {}
        Ok(next) => {
            if let Err(e) = logs.parse_new_spec(&next.log.level) {
                log::error!(event = "reload_refused", cause:% = e; "the log level stays");
            }
            log::info!(event = "reloaded", settings:? = next; "the settings changed");
            *current = next;
        }
        Err(e) => log::error!(event = "reload_refused", cause:% = e; "the settings in force stay"),
    }
}

fn open_store(settings: &Settings) -> Client {
    let mut shape = client::Settings::for_fleet(1);
    shape.deadline = Duration::from_millis(1_000);
    shape.attempts = 2;
    shape.breaker = breaker::Settings {
        failures: 8,
        base: Duration::from_millis(100),
        max: Duration::from_millis(400),
    };
    Client::open(store::open(settings.store), shape, rand::random())
}

/// Stands for the lease of the duties while this instance is ranked among the coordinators.
async fn stand(
    seat: Arc<Seat>,
    belief: Arc<Belief>,
    store: Store,
    name: String,
    incarnation: String,
) {
    let mut times = 0;
    let mut unranked = 0;
    loop {
        let known = belief.peers.load_full();
        let ranked = peers::ranked(&known).iter().take(COORDINATORS).any(|p| p.name == name);
        unranked = if ranked { 0 } else { unranked + 1 };
        if ranked {
            seat.stand(|| {
                times += 1;
                Lease::spawn(store.clone(), lease_settings(&format!("{incarnation}-{times}")))
            });
        } else if unranked >= UNRANKED_LOOKS {
            seat.leave();
        }
        sleep(RANK_LOOK).await;
    }
}

/// How this instance hears of others.
fn role(belief: &Belief) -> Role {
    match belief.leads() {
        true => Role::Leads,
        false if belief.led() => Role::Led,
        false => Role::Alone,
    }
}

fn gate_settings(settings: &Settings) -> gate::Settings {
    gate::Settings {
        zone: settings.zone.as_str().into(),
        key_age: settings.keys.age.mul_f64(KEY_AGE_PART),
        ready_age: settings.keys.age.mul_f64(READY_AGE_PART),
        rates: Rates {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
        },
    }
}

fn lease_settings(incarnation: &str) -> agate_lease::Settings {
    let mut out = agate_lease::Settings::new(LEASE, incarnation);
    out.ttl = LEASE_TTL;
    out.renew = LEASE_RENEW;
    out.poll = LEASE_POLL;
    out
}
