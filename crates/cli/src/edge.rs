//! One instance on the operators' platform: assembles its parts, runs it and applies changed
//! settings.

mod capacity_calls;
pub mod json_log;
mod path_settings;
mod platform_calls;
pub mod settings;
pub mod suspects;
mod sync_callbacks;

use {
    crate::scrape,
    agate_adapter::{PATHS, SOURCE, headers, store},
    agate_leader::{
        candidate::LeaderCandidate,
        counter::UsageCounter,
        runner::{self, Dependencies, LeaderTasks},
        window,
    },
    agate_lease::Lease,
    agate_path::{DialFn, Paths, Relay, metrics::Metrics},
    agate_quarantine::Quarantine,
    agate_relay::{
        path_watch,
        proxy_state::{Parts, ProxyState},
        ready::Monitor,
        server::HttpServer,
    },
    agate_store::{Client, Store, breaker, client},
    agate_sync::{
        runner::{COORDINATORS, SyncHandle, bind},
        secret::SharedKeys,
        sender::ReachFn,
    },
    agate_task::Supervisor,
    agate_transport::{buffer_budget::BufferBudget, link, memory_budget::MemoryBudget},
    agate_version::Versions,
    agate_view::{
        LocalView,
        follow::{self, Followers, RefreshIntervals},
        peers::{self, Peer},
        shared_record::Role,
    },
    eyre::{Result, WrapErr},
    flexi_logger::LoggerHandle,
    futures_util::FutureExt,
    settings::Settings,
    std::{net::SocketAddr, path::Path, process::ExitCode, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time between two checks of this instance's rank.
const RANK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive checks without a rank after which an instance is no longer a candidate for the
/// leader tasks.
const UNRANKED_LIMIT: u32 = 10;
/// Name of the lease that covers all leader tasks.
const LEASE_NAME: &str = "duties";
/// Time to live of that lease; longer than the time within which the platform forbids a change of
/// the holder, with a margin for one lost renewal.
const LEASE_TTL: Duration = Duration::from_millis(4_500);
/// Time between two renewals of the lease.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time between two reads of the lease by a candidate.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time from the end of a usage window until every instance has written its counts.
const GATHER_DELAY: Duration = Duration::from_millis(1_700);
/// Time for which connections are still accepted after a stop is announced, for the balancer to
/// notice: two checks one second apart, and one in transit.
const ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which a stop no longer waits for requests.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// How an instance reaches endpoints and other instances.
#[derive(Clone)]
pub struct Network {
    /// Opens connections.
    pub dial: Arc<DialFn>,
    /// Whether datagrams to another instance are sent.
    pub reaches: Arc<ReachFn>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            dial: Arc::new(|address| link::connect(address).boxed()),
            reaches: Arc::new(|_| true),
        }
    }
}

/// A running instance on the operators' platform.
pub struct Edge {
    proxy_state: Arc<ProxyState>,
    server: HttpServer,
    relay: Relay,
    tasks: LeaderTasks,
    stop_limit: Duration,
    _sync: SyncHandle,
    _candidacy: JoinHandle<()>,
    monitor: Monitor,
    _followers: Followers,
}

impl Edge {
    /// Starts an instance.
    ///
    /// Errors: an address cannot be bound.
    pub async fn spawn(settings: &Settings) -> Result<Self> {
        Self::spawn_with(settings, Network::default()).await
    }

    /// Starts an instance that reaches endpoints and other instances through `network`.
    ///
    /// Errors: an address cannot be bound.
    pub async fn spawn_with(settings: &Settings, network: Network) -> Result<Self> {
        let Network { dial, reaches } = network;
        let view = LocalView::new();
        let client = open_store(settings);
        let store = client.store();
        let incarnation = format!("{}-{:x}", settings.name, rand::random::<u32>());
        let counter = UsageCounter::new(settings.usage.window);
        let counting = counter.clone();
        let timing = counter.clone();
        let quarantine = Quarantine::new(store.clone(), move || timing.wall());
        let timing = counter.clone();
        let versions = Versions::new(store.clone(), view.clone(), move || timing.wall());
        let versions = Arc::new(versions);
        let keys = SharedKeys::open(store.clone());
        let callers = MemoryBudget::new(settings.caller_limits());
        let paths = open_paths(settings, &view, &keys, dial.clone(), &callers);
        let parts = Parts { quarantine: quarantine.clone(), versions, paths: paths.clone() };
        let proxy_state = ProxyState::new(
            headers::dialect(),
            view.clone(),
            path_settings::request_path(settings, callers),
            parts,
            move |org| counting.count(org),
        );
        let (finding, secret) = (proxy_state.clone(), keys.clone());
        let relay = Relay::bind(
            settings.peers,
            move || secret.load(),
            move |name| finding.fleet.path_to(name),
            dial,
            paths.metrics().clone(),
        );
        let relay = relay.await.wrap_err_with(|| format!("binding peers {}", settings.peers))?;
        scrape::store_calls::register(proxy_state.metrics.registry(), &client);
        let supervisor = Supervisor::default();
        supervisor.register(proxy_state.metrics.registry());
        spawn_background(&supervisor, &proxy_state, quarantine);
        let own = Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
            weight: settings.weight(),
        };
        let candidate = Arc::<LeaderCandidate>::default();
        let callbacks =
            sync_callbacks::callbacks(&proxy_state, &counter, &candidate, &settings.name, reaches);
        let sync = bind(
            own.clone(),
            incarnation.clone(),
            keys,
            view.clone(),
            callbacks,
            supervisor.clone(),
        )
        .await;
        let sync = sync.wrap_err_with(|| format!("binding peers {}", settings.peers))?;
        sync_callbacks::connect_versions(&proxy_state, settings.peers, sync.sender());
        let (running, shared, from) = (candidate.clone(), view.clone(), store.clone());
        let (name, own_incarnation) = (settings.name.clone(), incarnation.clone());
        let candidacy = tokio::spawn(supervisor.clone().run("candidacy", move || {
            let (running, shared, from) = (running.clone(), shared.clone(), from.clone());
            follow_rank(running, shared, from, name.clone(), own_incarnation.clone())
        }));
        let intervals = RefreshIntervals::default();
        let followers =
            follow::spawn(store.clone(), SOURCE, intervals, own, view.clone(), &supervisor);
        let monitor = Monitor::bind(settings.monitor, PATHS, proxy_state.clone()).await;
        let monitor = monitor.wrap_err_with(|| format!("binding monitor {}", settings.monitor))?;
        let server = HttpServer::bind(settings.listen, proxy_state.clone()).await;
        let server = server.wrap_err_with(|| format!("binding listen {}", settings.listen))?;
        let windows = window::Settings {
            length: settings.usage.window,
            gather: GATHER_DELAY,
            late: settings.usage.late,
        };
        let calls = platform_calls::leader_calls(settings, &candidate);
        let (asking, announcing, counting) =
            (proxy_state.clone(), proxy_state.clone(), proxy_state.clone());
        let tasks = runner::spawn(Dependencies {
            store,
            view,
            candidate,
            demand: Box::new(move |service| sync_callbacks::total_demand(&asking, service)),
            calls,
            open: Box::new(move |service| counting.fleet.open_requests(service)),
            division: path_settings::division(settings),
            capacity: settings
                .scaling
                .follow_demand
                .then(|| capacity_calls::capacity_calls(&proxy_state)),
            on_changing: Box::new(move |names| announcing.fleet.set_changing(names)),
            counter,
            windows,
            incarnation,
            supervisor,
        });
        let stop_limit = settings.stop.limit;
        Ok(Self {
            proxy_state,
            server,
            relay,
            tasks,
            stop_limit,
            _sync: sync,
            _candidacy: candidacy,
            monitor,
            _followers: followers,
        })
    }

    /// Bound address for client requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bound address of the readiness check and the metrics.
    pub fn monitor(&self) -> SocketAddr {
        self.monitor.address()
    }

    /// Stops gracefully within the grace period.
    ///
    /// The lease is not released but left to expire. If a successor acted at once, this instance
    /// could restart and act again sooner than the platform allows.
    pub async fn stop(self) {
        let begun = Instant::now();
        let end = begun + self.stop_limit.saturating_sub(STOP_MARGIN);
        log::info!(event = "stopping", open = self.proxy_state.flight.open(); "instance stopping");
        self.proxy_state.announce_stop(end.into_std());
        self.relay.stop_accepting();
        sleep(ACCEPT_TIME).await;
        self.server.close();
        let left = self.server.wait_closed(end.saturating_duration_since(Instant::now())).await;
        self.tasks.flush_counts().await;
        log::info!(
            event = "stopped", cut = left, took_ms = begun.elapsed().as_millis() as u64;
            "instance stopped"
        );
    }
}

/// Runs an instance until SIGTERM; SIGHUP and changes of the file reload the settings.
///
/// Errors: the settings are invalid or an address cannot be bound.
pub async fn run(file: &Path) -> Result<ExitCode> {
    // Until handlers are installed, these signals end the process, even SIGHUP.
    let (mut term, mut hangup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    let settings = settings::open(file)?;
    let logs = json_log::open(&settings.log.level)?;
    agate_task::log_panics();
    log::info!(
        event = "starting", version = env!("CARGO_PKG_VERSION"), settings:? = settings;
        "instance starting"
    );
    let edge = Edge::spawn(&settings).await?;
    let mut current = settings;
    let mut next = Instant::now() + settings::RELOAD_INTERVAL;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => reload(file, &mut current, &logs),
            () = sleep_until(next) => {
                next = Instant::now() + settings::RELOAD_INTERVAL;
                reload(file, &mut current, &logs);
            }
        }
    }
    edge.stop().await;
    logs.flush();
    Ok(ExitCode::SUCCESS)
}

/// Reloads the settings: the log level is applied, every other change needs a restart.
fn reload(file: &Path, current: &mut Settings, logs: &LoggerHandle) {
    match settings::open(file) {
        Ok(next) if next == *current => {}
        Ok(next) => {
            if let Err(e) = logs.parse_new_spec(&next.log.level) {
                log::error!(event = "reload_refused", cause:% = e; "keeping the current log level");
            }
            log::info!(event = "reloaded", settings:? = next; "settings changed");
            *current = next;
        }
        Err(e) => log::error!(event = "reload_refused", cause:% = e; "keeping the old settings"),
    }
}

fn open_store(settings: &Settings) -> Client {
    let mut config = client::Settings::for_fleet(1);
    config.deadline = Duration::from_millis(1_000);
    config.attempts = 2;
    config.breaker = breaker::Settings {
        failures: 8,
        base: Duration::from_millis(100),
        max: Duration::from_millis(400),
    };
    Client::open(store::open(settings.store), config, rand::random())
}

/// Paths of an instance that authenticates with `keys` and opens direct connections with `dial`.
fn open_paths(
    settings: &Settings,
    view: &Arc<LocalView>,
    keys: &Arc<SharedKeys>,
    dial: Arc<DialFn>,
    callers: &MemoryBudget,
) -> Paths {
    let (view, keys) = (view.clone(), keys.clone());
    let peers = move || view.peers.load_full();
    let budget = BufferBudget::for_callers(settings.buffer_limit(), callers.clone());
    Paths::new(settings.name.as_str(), dial, move || keys.load(), peers, Metrics::default(), budget)
}

/// Starts the tasks that keep the state of the request path up to date.
fn spawn_background(
    supervisor: &Supervisor,
    proxy_state: &Arc<ProxyState>,
    quarantine: Arc<Quarantine>,
) {
    let view = proxy_state.view.clone();
    tokio::spawn(supervisor.clone().run("quarantine", move || {
        let view = view.clone();
        quarantine.clone().follow(move || Role::of(&view))
    }));
    let (view, versions) = (proxy_state.view.clone(), proxy_state.versions.clone());
    tokio::spawn(supervisor.clone().run("versions", move || {
        let (view, versions) = (view.clone(), versions.clone());
        async move { versions.follow(move || Role::of(&view)).await }
    }));
    let state = proxy_state.clone();
    tokio::spawn(supervisor.clone().run("fleet", move || state.clone().follow()));
    let state = proxy_state.clone();
    tokio::spawn(supervisor.clone().run("retries", move || state.clone().report_retries()));
    let state = proxy_state.clone();
    tokio::spawn(supervisor.clone().run("paths", move || path_watch::watch(state.clone())));
}

/// Runs for the leader lease while this instance ranks among the coordinators.
async fn follow_rank(
    candidate: Arc<LeaderCandidate>,
    view: Arc<LocalView>,
    store: Store,
    name: String,
    incarnation: String,
) {
    let mut times = 0;
    let mut unranked = 0;
    loop {
        let known = view.peers.load_full();
        let ranked = peers::ranked(&known).iter().take(COORDINATORS).any(|p| p.name == name);
        unranked = if ranked { 0 } else { unranked + 1 };
        if ranked {
            candidate.start(|| {
                times += 1;
                Lease::spawn(store.clone(), lease_settings(&format!("{incarnation}-{times}")))
            });
        } else if unranked >= UNRANKED_LIMIT {
            candidate.stop();
        }
        sleep(RANK_INTERVAL).await;
    }
}

fn lease_settings(incarnation: &str) -> agate_lease::Settings {
    let mut out = agate_lease::Settings::new(LEASE_NAME, incarnation);
    out.ttl = LEASE_TTL;
    out.renew = LEASE_RENEW_INTERVAL;
    out.poll = LEASE_POLL_INTERVAL;
    out
}
