//! One running instance: assembles its parts and shuts them down gracefully.

use {
    crate::{
        budgets::BudgetOwners,
        claims,
        control::Control,
        fleet::{Fleet, served_config::ServedConfig},
        instance_count::{ASSUMED_INSTANCES, ListedCounts},
        mesh::Mesh,
        operator::{InstanceView, Operator},
        scrape::{ScrapeMetrics, Sources},
        settings::{self, Settings},
        usage::Usage,
    },
    agate_config::{
        Document, follow,
        snapshot::{Current, Names, Snapshot},
        spread,
    },
    agate_flow::{
        admission::Clock,
        proxy_state::{Parts, ProxyState},
        server::HttpServer,
        spend::{BudgetAccounts, WallClock},
        tls::Tls,
    },
    agate_idempotency::{ClaimCoordinator, Settings as Claims},
    agate_member::{ListedInstance, Server},
    agate_native::{
        http::Http,
        instances::{self, Entry, State},
    },
    agate_store::{
        Store,
        client::{Client, Settings as StoreSettings},
    },
    agate_transport::{buffer_budget::BufferBudget, memory_budget::MemoryBudget},
    agate_wire::{Keys, Name, Peer, Place},
    eyre::{Result, WrapErr, eyre},
    indexmap::IndexSet,
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between two reads of the platform's instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two updates of request counts from the other instances.
const COUNTS_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks of the members.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum number of instances by which the store's call rates are divided. It keeps the rates from
/// rising when membership sees too few instances.
const MIN_FLEET: usize = 8;
/// Time after which members are followed even if the platform's list was not read yet.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to wait for aborted requests to end.
const ABORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Context string from which the key of request fingerprints is derived.
const FINGERPRINT_CONTEXT: &str = "agatetrack request fingerprint v1";

/// A running instance.
pub struct Instance {
    /// State of the request path.
    pub proxy_state: Arc<ProxyState>,
    /// Communication with the other instances.
    pub mesh: Arc<Mesh>,
    /// Usage counters and their reports.
    pub usage: Arc<Usage>,
    /// Control of engines' roles.
    pub control: Arc<Control>,
    server: HttpServer,
    operator: Operator,
    shutdown: Shutdown,
    _peers: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

/// Graceful shutdown; clones share the same run.
#[derive(Clone)]
struct Shutdown {
    view: Arc<InstanceView>,
    mesh: Arc<Mesh>,
    usage: Arc<Usage>,
    limits: settings::Stop,
    fleet: Arc<Fleet>,
    control: Arc<Control>,
    started: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl Instance {
    /// Starts an instance: joins the other instances, waits for a configuration, then binds its
    /// listeners.
    ///
    /// Errors: a secret or certificate is unusable, or an address cannot be bound.
    pub async fn spawn(settings: &Settings, store: Store) -> Result<Self> {
        let origin = Instant::now();
        let clock: Clock = Arc::new(move || origin.elapsed());
        let rates = StoreSettings::for_fleet(ASSUMED_INSTANCES);
        let client = Client::open(store, rates, rand::random());
        let store = client.store();
        let mesh = Mesh::open(&settings.zone, clock.clone());
        let keys = derive_keys(settings)?;
        let peers = match (&settings.peers, &keys) {
            (Some(peers), Some(keys)) => {
                let place = local_place(settings, peers.listen);
                Some(mesh.join(&settings.name, place, keys.keys.clone()).await?)
            }
            _ => None,
        };
        let usage = Usage::open(settings, mesh.clone());
        let forward = Some(claims::forward(&settings.name, &mesh));
        let once = ClaimCoordinator::spawn(
            store.clone(),
            Claims { forward, ..Claims::new(rand::random()) },
        );
        mesh.serve_claims(once.clone());
        let wall: WallClock =
            Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
        let budgets = BudgetOwners::open(&settings.name, &mesh, store.clone(), wall.clone());
        mesh.serve_budgets(budgets.clone());
        let callers = MemoryBudget::new(settings.caller_limits());
        let responses = BufferBudget::for_callers(settings.buffer_limit(), callers.clone());
        let parts = Parts {
            callers,
            responses,
            current: Arc::new(Current::new(Snapshot::compile(
                &Document::default(),
                0,
                &mut Names::default(),
            ))),
            zone: settings.zone.clone(),
            limits: settings.limits.limits(),
            suspects: mesh.suspects().clone(),
            secrets: keys.map_or_else(|| vec![[0; 32]], |k| k.fingerprint_keys),
            once,
            is_fresh: freshness_check(&mesh),
            record_usage: usage.usage_sink(),
            spends: BudgetAccounts::open(budgets.ask_owner(), wall),
            clock,
        };
        let proxy_state = ProxyState::open(parts);
        usage.start(&store, &proxy_state.metrics.registry);
        mesh.set_gate(&proxy_state);
        mesh.register_metrics(&proxy_state.metrics.registry);
        let served = ServedConfig::open(proxy_state.clone());
        let installed = follow_config(settings, store.clone(), &mesh, served.clone());
        let control = Control::spawn(&settings.name, &store, &mesh, &proxy_state);
        let fleet = Fleet::spawn(settings, store, &mesh, served);
        let own = settings.name.as_str().into();
        let tasks = vec![
            tokio::spawn(follow_members(own, mesh.clone(), client.clone())),
            tokio::spawn(exchange_counts(mesh.clone())),
            tokio::spawn(follow_list(settings.clone(), proxy_state.clone(), mesh.clone())),
            tokio::spawn(follow_peers(proxy_state.clone(), mesh.clone())),
        ];
        wait_for_config(installed).await?;
        let sources = Sources { proxy_state: proxy_state.clone(), mesh: mesh.clone() };
        let work = (usage.clone(), fleet, control.clone());
        let metrics = ScrapeMetrics::open(sources, &client);
        let shutdown = Shutdown::open(settings, metrics, &mesh, work, &proxy_state);
        let ended = shutdown.ended.clone().cancelled_owned();
        let operator = Operator::bind(settings.operator, shutdown.view.clone(), ended).await?;
        let tls = settings.tls.as_ref().map(|t| Tls::open(t.files())).transpose();
        let tls = tls.wrap_err("tls")?;
        let server = HttpServer::bind(settings.listen, proxy_state.clone(), tls)
            .await
            .wrap_err_with(|| format!("binding the client address {}", settings.listen))?;
        log::info!("instance {} serves operators at {}", settings.name, operator.address());
        log::info!("instance {} serves callers at {}", settings.name, server.address());
        Ok(Self {
            proxy_state,
            mesh,
            usage,
            control,
            server,
            operator,
            shutdown,
            _peers: peers,
            tasks,
        })
    }

    /// Bound address for client requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bound address for operators.
    pub fn operator(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Reloads the certificate of client connections if its files changed.
    pub fn reload_certificate(&self) {
        self.server.reload();
    }

    /// Whether this instance holds the lease for ordering endpoints of some pool.
    pub fn is_fleet_holder(&self) -> bool {
        self.shutdown.fleet.is_holder()
    }

    /// Stops gracefully; requests in progress are aborted only after the configured limit.
    pub async fn stop(self) {
        self.shutdown.clone().run().await;
        self.server.close();
        self.server.ended().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Stops at once, as a crash would: no request is finished and no state is handed over.
    pub fn kill(self) {
        self.usage.halt();
        self.shutdown.fleet.halt();
        self.control.halt();
        self.server.close();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shutdown {
    fn open(
        settings: &Settings,
        metrics: ScrapeMetrics,
        mesh: &Arc<Mesh>,
        (usage, fleet, control): (Arc<Usage>, Arc<Fleet>, Arc<Control>),
        proxy_state: &Arc<ProxyState>,
    ) -> Self {
        let view = InstanceView {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            proxy_state: proxy_state.clone(),
            metrics,
            ready: AtomicBool::new(true),
        };
        Self {
            view: Arc::new(view),
            mesh: mesh.clone(),
            usage,
            limits: settings.stop.clone(),
            fleet,
            control,
            started: Arc::default(),
            ended: CancellationToken::new(),
        }
    }

    /// Runs the shutdown once; later callers wait for the first run to end.
    async fn run(self) {
        if self.started.swap(true, Ordering::SeqCst) {
            return self.ended.cancelled().await;
        }
        log::info!("instance {} is stopping", self.view.name);
        self.view.ready.store(false, Ordering::SeqCst);
        sleep(self.limits.grace).await;
        let proxy_state = &self.view.proxy_state;
        proxy_state.flight.close();
        self.control.release().await;
        self.drain(proxy_state).await;
        if !proxy_state.once.drain().await {
            log::warn!("some claim outcomes could not be recorded in the store");
        }
        self.fleet.stop().await;
        self.usage.hand_over().await;
        if let Some(member) = self.mesh.member()
            && let Err(e) = member.leave().await
        {
            log::warn!("cannot announce leaving to the other instances: {e}");
        }
        log::info!("instance {} finished its last request", self.view.name);
        self.ended.cancel();
    }

    /// Waits for the requests in progress; aborts those still running after the limit.
    async fn drain(&self, proxy_state: &ProxyState) {
        let (name, limit) = (&self.view.name, self.limits.limit);
        if timeout(limit, proxy_state.flight.drained()).await.is_ok() {
            return;
        }
        let open = proxy_state.flight.open();
        log::error!("instance {name}: aborting {open} requests still running after {limit:?}");
        proxy_state.flight.abort();
        if timeout(ABORT_TIMEOUT, proxy_state.flight.drained()).await.is_err() {
            log::error!(
                "instance {name}: {} aborted requests did not end",
                proxy_state.flight.open()
            );
        }
    }
}

/// Keys derived from the shared secrets.
struct Secrets {
    keys: Keys,
    /// Fingerprint keys, one per shared secret, since instances use different ones during a
    /// rotation.
    fingerprint_keys: Vec<[u8; 32]>,
}

fn derive_keys(settings: &Settings) -> Result<Option<Secrets>> {
    let Some(peers) = &settings.peers else { return Ok(None) };
    let read = |file| settings::read_secret(file).map_err(|e| eyre!(e));
    let secrets: Vec<Vec<u8>> = peers.secrets.iter().map(|f| read(f)).collect::<Result<_>>()?;
    let keys = Keys::new(&secrets).wrap_err("peers.secrets")?;
    let fingerprint_keys =
        secrets.iter().map(|s| blake3::derive_key(FINGERPRINT_CONTEXT, s)).collect();
    Ok(Some(Secrets { keys, fingerprint_keys }))
}

fn local_place(settings: &Settings, address: SocketAddr) -> Place {
    let (zone, region) = (settings.zone.as_str().into(), settings.region.as_str().into());
    Place { zone, region, address }
}

fn freshness_check(mesh: &Arc<Mesh>) -> agate_flow::proxy_state::FreshnessCheck {
    let mesh = Arc::downgrade(mesh);
    Arc::new(move || {
        let mesh = mesh.upgrade();
        mesh.is_some_and(|m| m.follower().is_some_and(|f| f.freshness().may_serve()))
    })
}

/// Starts to follow the configuration; the receiver yields the generation in force.
fn follow_config(
    settings: &Settings,
    store: Store,
    mesh: &Arc<Mesh>,
    served: Arc<ServedConfig>,
) -> watch::Receiver<u64> {
    let (sender, installed) = watch::channel(0);
    let install = move |head: &agate_config::head::Head, document: Document| {
        if served.install(head.generation, document) {
            log::info!("configuration {} is in force", head.generation);
            sender.send_replace(head.generation);
        }
    };
    let own: Name = settings.name.as_str().into();
    let follower = follow::spawn(own, spread::Settings::default(), store, mesh.peers(), install);
    mesh.set_follower(follower);
    installed
}

async fn wait_for_config(mut installed: watch::Receiver<u64>) -> Result<()> {
    if *installed.borrow() == 0 {
        log::info!("waiting for a configuration");
    }
    installed.wait_for(|g| *g > 0).await.wrap_err("following the configuration")?;
    Ok(())
}

/// Follows the members and divides the store's call rates by the size of the fleet.
async fn follow_members(own: Name, mesh: Arc<Mesh>, client: Client) {
    let start = Instant::now();
    while mesh.listed().is_none() && start.elapsed() < LIST_TIMEOUT {
        let _ = timeout(LIST_TIMEOUT, mesh.list_updated.notified()).await;
    }
    let mut known = (Arc::default(), 0, Arc::default());
    let mut since = Instant::now();
    loop {
        let members = mesh.member().map(|m| m.members()).unwrap_or_default();
        if known.0 != members {
            since = Instant::now();
        }
        let fleet = mesh.estimate_fleet(since.elapsed());
        let current = (members, fleet, mesh.listed_others());
        if known != current {
            mesh.update_members(&own, &known.0, fleet);
            client.set_instances(fleet.max(MIN_FLEET));
            known = current;
        }
        let _ = timeout(MEMBERS_INTERVAL, mesh.list_updated.notified()).await;
    }
}

/// Updates the request counts of the other instances once per [`COUNTS_INTERVAL`].
async fn exchange_counts(mesh: Arc<Mesh>) {
    loop {
        mesh.exchange_counts();
        mesh.update_metrics();
        sleep(COUNTS_INTERVAL).await;
    }
}

/// Follows the platform's list: endpoints that are leaving get no new requests, and membership
/// learns of the other instances.
async fn follow_list(settings: Settings, proxy_state: Arc<ProxyState>, mesh: Arc<Mesh>) {
    let http = Http::open(settings.platform);
    loop {
        match instances::list(&http).await {
            Ok(entries) => {
                let others = listings(&settings, &proxy_state, &entries);
                let zones: IndexSet<&str> = entries.iter().map(|e| &*e.zone).collect();
                mesh.set_listed(ListedCounts { instances: others.len() + 1, zones: zones.len() });
                let leaving = entries.iter().filter(|e| e.state == State::Leaving);
                let leaving: IndexSet<String> = leaving.map(|e| e.name.clone()).collect();
                proxy_state.set_leaving(leaving.clone());
                mesh.update_list(remaining_instances(&settings, &others), leaving);
                if let Some(member) = mesh.member() {
                    let _ = member.update_list(others).await;
                }
            }
            // The last list stays in use: endpoints that were leaving still are.
            Err(e) => log::debug!("reading the platform's instance list: {e}"),
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(LIST_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Fetches the leaving endpoints from peers while this instance cannot read the platform's list.
async fn follow_peers(proxy_state: Arc<ProxyState>, mesh: Arc<Mesh>) {
    loop {
        sleep(LIST_INTERVAL).await;
        if let Some(leaving) = mesh.fetch_leaving().await {
            proxy_state.set_leaving(leaving);
        }
    }
}

/// Other instances of the same region that are not leaving, with their availability zones.
fn remaining_instances(settings: &Settings, others: &[ListedInstance]) -> Vec<(Name, Name)> {
    let same_region = |l: &&ListedInstance| !l.leaving && *l.peer.place.region == *settings.region;
    let place = |l: &ListedInstance| (l.peer.name.clone(), l.peer.place.zone.clone());
    others.iter().filter(same_region).map(place).collect()
}

/// Entries of the list that are other instances: those that the configuration does not name as
/// endpoints.
fn listings(
    settings: &Settings,
    proxy_state: &ProxyState,
    entries: &[Entry],
) -> Vec<ListedInstance> {
    let snapshot = proxy_state.current.load();
    let endpoints: IndexSet<&str> = snapshot.endpoints().map(|(_, e)| &*e.name).collect();
    let region = |zone: &str| {
        let known = snapshot.zones().find(|(_, z)| *z.name == *zone);
        known.map_or_else(|| settings.region.as_str().into(), |(_, z)| z.region.clone())
    };
    let others =
        entries.iter().filter(|e| e.name != settings.name && !endpoints.contains(&*e.name));
    let listing = |e: &Entry| {
        let (zone, region) = (e.zone.as_str().into(), region(&e.zone));
        let place = Place { zone, region, address: e.address };
        let peer = Peer { name: e.name.as_str().into(), place };
        ListedInstance { peer, leaving: e.state == State::Leaving }
    };
    others.map(listing).collect()
}
