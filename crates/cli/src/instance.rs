//! One running instance: the parts put together, and its graceful shutdown.

use {
    crate::{
        budgets::Budgets,
        census::{Listed, UNKNOWN},
        claims,
        control::Control,
        figures::{Figures, Sources},
        fleet::{Fleet, serving::Serving},
        mesh::Mesh,
        operator::{Operator, View},
        settings::{self, Settings},
        usage::Usage,
    },
    agate_config::{
        Document, follow,
        snapshot::{Current, Names, Snapshot},
        spread,
    },
    agate_flow::{
        desk::Clock,
        gate::{Gate, Parts},
        server::Front,
        spend::{Spends, Wall},
        tls::Tls,
    },
    agate_member::{Listing, Server},
    agate_native::{
        http::Http,
        instances::{self, Entry, State},
    },
    agate_once::{Once, Settings as Claims},
    agate_store::{
        Store,
        client::{Client, Settings as StoreSettings},
    },
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
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two exchanges of counts with the other instances.
const COUNTS_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks at the members.
const MEMBERS_PERIOD: Duration = Duration::from_millis(500);
/// Fewest instances among which the store's rates are divided, so that a membership which sees too
/// few does not raise them.
const MIN_FLEET: usize = 8;
/// Time without the platform's list after which the members are followed without it.
const LIST_WAIT: Duration = Duration::from_secs(3);
/// Longest wait for requests that were told to end as errors.
const CUT_LIMIT: Duration = Duration::from_secs(5);
/// Domain separation of the key of request fingerprints.
const PRINT_DERIVATION: &str = "agatetrack request fingerprint v1";

/// Handle of a running instance.
pub struct Instance {
    /// State of its request path.
    pub gate: Arc<Gate>,
    /// Its connection to the other instances.
    pub mesh: Arc<Mesh>,
    /// Its usage counters.
    pub usage: Arc<Usage>,
    /// Its control of engines' roles.
    pub control: Arc<Control>,
    front: Front,
    operator: Operator,
    stop: Stop,
    _peers: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

/// The graceful shutdown, shared by every way to ask for it.
#[derive(Clone)]
struct Stop {
    view: Arc<View>,
    mesh: Arc<Mesh>,
    usage: Arc<Usage>,
    bounds: settings::Stop,
    fleet: Arc<Fleet>,
    control: Arc<Control>,
    started: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl Instance {
    /// Starts an instance: joins the others, waits for a configuration, then binds its listeners.
    pub async fn spawn(settings: &Settings, store: Store) -> Result<Self> {
        let origin = Instant::now();
        let clock: Clock = Arc::new(move || origin.elapsed());
        let rates = StoreSettings::for_fleet(UNKNOWN);
        let client = Client::open(store, rates, rand::random());
        let store = client.store();
        let mesh = Mesh::open(&settings.zone, clock.clone());
        let keys = open_keys(settings)?;
        let peers = match (&settings.peers, &keys) {
            (Some(peers), Some(keys)) => {
                let place = place(settings, peers.listen);
                Some(mesh.join(&settings.name, place, keys.keys.clone()).await?)
            }
            _ => None,
        };
        let usage = Usage::open(settings, mesh.clone());
        let forward = Some(claims::forward(&settings.name, &mesh));
        let once = Once::spawn(store.clone(), Claims { forward, ..Claims::new(rand::random()) });
        mesh.decide_claims(once.clone());
        let wall: Wall =
            Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
        let budgets = Budgets::open(&settings.name, &mesh, store.clone(), wall.clone());
        mesh.serve_budgets(budgets.clone());
        let parts = Parts {
            current: Arc::new(Current::new(Snapshot::compile(
                &Document::default(),
                0,
                &mut Names::default(),
            ))),
            zone: settings.zone.clone(),
            limits: settings.limits.limits(),
            suspects: mesh.suspects().clone(),
            secrets: keys.map_or_else(|| vec![[0; 32]], |k| k.prints),
            once,
            fresh: fresh(&mesh),
            count: usage.counting(),
            spends: Spends::open(budgets.asking(), wall),
            clock,
        };
        let gate = Gate::open(parts);
        usage.start(&store, &gate.meter.registry);
        mesh.count(&gate);
        mesh.meter(&gate.meter.registry);
        let serving = Serving::open(gate.clone());
        let installed = follow_config(settings, store.clone(), &mesh, serving.clone());
        let control = Control::spawn(&settings.name, &store, &mesh, &gate);
        let fleet = Fleet::spawn(settings, store, &mesh, serving);
        let own = settings.name.as_str().into();
        let tasks = vec![
            tokio::spawn(follow_members(own, mesh.clone(), client.clone())),
            tokio::spawn(exchange_counts(mesh.clone())),
            tokio::spawn(follow_list(settings.clone(), gate.clone(), mesh.clone())),
            tokio::spawn(follow_peers(gate.clone(), mesh.clone())),
        ];
        wait_installed(installed).await?;
        let sources = Sources { gate: gate.clone(), mesh: mesh.clone() };
        let work = (usage.clone(), fleet, control.clone());
        let figures = Figures::open(sources, &client);
        let stop = Stop::open(settings, figures, &mesh, work, &gate);
        let ended = stop.ended.clone().cancelled_owned();
        let operator = Operator::bind(settings.operator, stop.view.clone(), ended).await?;
        let tls = settings.tls.as_ref().map(|t| Tls::open(t.files())).transpose();
        let tls = tls.wrap_err("tls")?;
        let front = Front::bind(settings.listen, gate.clone(), tls)
            .await
            .wrap_err_with(|| format!("binding the callers' address {}", settings.listen))?;
        log::info!("instance {} serves operators at {}", settings.name, operator.address());
        log::info!("instance {} serves callers at {}", settings.name, front.address());
        Ok(Self { gate, mesh, usage, control, front, operator, stop, _peers: peers, tasks })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address for operators.
    pub fn operator(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Reads the callers' certificate again if its files changed.
    pub fn reload_certificate(&self) {
        self.front.reload();
    }

    /// Whether this instance may order endpoints for some pool.
    pub fn is_fleet_holder(&self) -> bool {
        self.stop.fleet.is_holder()
    }

    /// Stops gracefully: no request in progress is cut before the limit on a stop.
    pub async fn stop(self) {
        self.stop.clone().run().await;
        self.front.close();
        self.front.ended().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Ends at once, as a crash would: nothing is finished or handed over.
    pub fn kill(self) {
        self.usage.halt();
        self.stop.fleet.halt();
        self.control.halt();
        self.front.close();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Stop {
    fn open(
        settings: &Settings,
        figures: Figures,
        mesh: &Arc<Mesh>,
        (usage, fleet, control): (Arc<Usage>, Arc<Fleet>, Arc<Control>),
        gate: &Arc<Gate>,
    ) -> Self {
        let view = View {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            gate: gate.clone(),
            figures,
            ready: AtomicBool::new(true),
        };
        Self {
            view: Arc::new(view),
            mesh: mesh.clone(),
            usage,
            bounds: settings.stop.clone(),
            fleet,
            control,
            started: Arc::default(),
            ended: CancellationToken::new(),
        }
    }

    /// Carries out the shutdown once; later callers wait for the same end.
    async fn run(self) {
        if self.started.swap(true, Ordering::SeqCst) {
            return self.ended.cancelled().await;
        }
        log::info!("instance {} is stopping", self.view.name);
        self.view.ready.store(false, Ordering::SeqCst);
        sleep(self.bounds.grace).await;
        let gate = &self.view.gate;
        gate.flight.close();
        self.control.release().await;
        self.drain(gate).await;
        if !gate.once.drain().await {
            log::warn!("the outcome of some calls could not be recorded in the store");
        }
        self.fleet.stop().await;
        self.usage.hand_over().await;
        if let Some(member) = self.mesh.member()
            && let Err(e) = member.leave().await
        {
            log::warn!("leaving the other instances: {e}");
        }
        log::info!("instance {} finished its last request", self.view.name);
        self.ended.cancel();
    }

    /// Waits for the requests in progress; what still runs after the limit is ended as an error.
    async fn drain(&self, gate: &Gate) {
        let (name, limit) = (&self.view.name, self.bounds.limit);
        if timeout(limit, gate.flight.drained()).await.is_ok() {
            return;
        }
        let open = gate.flight.open();
        log::error!("instance {name}: {open} requests run after {limit:?} and end as errors");
        gate.flight.cut();
        if timeout(CUT_LIMIT, gate.flight.drained()).await.is_err() {
            log::error!("instance {name}: {} requests did not end", gate.flight.open());
        }
    }
}

/// Keys derived from the shared secrets.
struct Secrets {
    keys: Keys,
    /// One for each shared secret, since instances sign with different ones during a rotation.
    prints: Vec<[u8; 32]>,
}

fn open_keys(settings: &Settings) -> Result<Option<Secrets>> {
    let Some(peers) = &settings.peers else { return Ok(None) };
    let read = |file| settings::read_secret(file).map_err(|e| eyre!(e));
    let secrets: Vec<Vec<u8>> = peers.secrets.iter().map(|f| read(f)).collect::<Result<_>>()?;
    let keys = Keys::new(&secrets).wrap_err("peers.secrets")?;
    let prints = secrets.iter().map(|s| blake3::derive_key(PRINT_DERIVATION, s)).collect();
    Ok(Some(Secrets { keys, prints }))
}

fn place(settings: &Settings, address: SocketAddr) -> Place {
    let (zone, region) = (settings.zone.as_str().into(), settings.region.as_str().into());
    Place { zone, region, address }
}

fn fresh(mesh: &Arc<Mesh>) -> agate_flow::gate::Fresh {
    let mesh = Arc::downgrade(mesh);
    Arc::new(move || {
        let mesh = mesh.upgrade();
        mesh.is_some_and(|m| m.follower().is_some_and(|f| f.standing().serves()))
    })
}

/// Starts to follow the configuration; the receiver tells the generation in force.
fn follow_config(
    settings: &Settings,
    store: Store,
    mesh: &Arc<Mesh>,
    serving: Arc<Serving>,
) -> watch::Receiver<u64> {
    let (tell, installed) = watch::channel(0);
    let install = move |head: &agate_config::head::Head, document: Document| {
        if serving.install(head.generation, document) {
            log::info!("configuration {} is in force", head.generation);
            tell.send_replace(head.generation);
        }
    };
    let own: Name = settings.name.as_str().into();
    let follower = follow::spawn(own, spread::Settings::default(), store, mesh.peers(), install);
    mesh.follow(follower);
    installed
}

async fn wait_installed(mut installed: watch::Receiver<u64>) -> Result<()> {
    if *installed.borrow() == 0 {
        log::info!("waiting for a configuration");
    }
    installed.wait_for(|g| *g > 0).await.wrap_err("following the configuration")?;
    Ok(())
}

/// Follows the members, and divides the store's rates by the size of the fleet.
async fn follow_members(own: Name, mesh: Arc<Mesh>, client: Client) {
    let start = Instant::now();
    while mesh.listed().is_none() && start.elapsed() < LIST_WAIT {
        let _ = timeout(LIST_WAIT, mesh.listing.notified()).await;
    }
    let mut known = (Arc::default(), 0, Arc::default());
    let mut since = Instant::now();
    loop {
        let members = mesh.member().map(|m| m.members()).unwrap_or_default();
        if known.0 != members {
            since = Instant::now();
        }
        let fleet = mesh.fleet(since.elapsed());
        let present = (members, fleet, mesh.listed_others());
        if known != present {
            mesh.update_members(&own, &known.0, fleet);
            client.set_fleet(fleet.max(MIN_FLEET));
            known = present;
        }
        let _ = timeout(MEMBERS_PERIOD, mesh.listing.notified()).await;
    }
}

/// Takes over the counts of the other instances once in every [`COUNTS_PERIOD`].
async fn exchange_counts(mesh: Arc<Mesh>) {
    loop {
        mesh.exchange_counts();
        mesh.count_links();
        sleep(COUNTS_PERIOD).await;
    }
}

/// Follows the platform's list: endpoints that leave get no new work, and other instances are
/// pointed out to the membership.
async fn follow_list(settings: Settings, gate: Arc<Gate>, mesh: Arc<Mesh>) {
    let http = Http::open(settings.platform);
    loop {
        match instances::list(&http).await {
            Ok(entries) => {
                let others = listings(&settings, &gate, &entries);
                let zones: IndexSet<&str> = entries.iter().map(|e| &*e.zone).collect();
                mesh.note_list(Listed { instances: others.len() + 1, zones: zones.len() });
                let leaving = entries.iter().filter(|e| e.state == State::Leaving);
                let leaving: IndexSet<String> = leaving.map(|e| e.name.clone()).collect();
                gate.set_leaving(leaving.clone());
                mesh.take_list(staying(&settings, &others), leaving);
                if let Some(member) = mesh.member() {
                    let _ = member.listed(others).await;
                }
            }
            // An old list is better than none: what was leaving stays so.
            Err(e) => log::debug!("reading the platform's instance list: {e}"),
        }
        let spread = rand::rng().random_range(0.8..1.2);
        sleep(LIST_PERIOD.mul_f64(spread)).await;
    }
}

/// Takes over from peers which endpoints leave, while the platform's list cannot be read here.
async fn follow_peers(gate: Arc<Gate>, mesh: Arc<Mesh>) {
    loop {
        sleep(LIST_PERIOD).await;
        if let Some(leaving) = mesh.ask_leaving().await {
            gate.set_leaving(leaving);
        }
    }
}

/// Other instances of the own region that do not leave, with their availability zones.
fn staying(settings: &Settings, others: &[Listing]) -> Vec<(Name, Name)> {
    let near = |l: &&Listing| !l.leaving && *l.peer.place.region == *settings.region;
    let place = |l: &Listing| (l.peer.name.clone(), l.peer.place.zone.clone());
    others.iter().filter(near).map(place).collect()
}

/// Entries of the list that are other instances: those which the configuration does not name as
/// endpoints.
fn listings(settings: &Settings, gate: &Gate, entries: &[Entry]) -> Vec<Listing> {
    let snapshot = gate.current.load();
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
        Listing { peer, leaving: e.state == State::Leaving }
    };
    others.map(listing).collect()
}
