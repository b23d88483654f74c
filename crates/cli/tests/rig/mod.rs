//! A running system for tests of failures: every part can be struck on its own.
//!
//! Each instance has a runtime of its own, whose end is the instance's crash, and two taps: one
//! before its callers' address and one on its way to the platform. Nothing of an instance outlives
//! its runtime.

#![allow(dead_code, reason = "each test file uses its own part of the rig")]

pub mod callers;
pub mod faults;
mod panics;
pub mod records;

use {
    crate::support::until,
    agate_cli::{
        demo::read,
        instance::Instance,
        settings::{Log, Peers, RequestLimits, Settings, Stop, Usage},
    },
    agate_config::{Document, doc::PoolKind},
    agate_flow::gate::Gate,
    agate_standin::{Engine, EngineSettings, Platform, Service, Tap, platform::Instance as Listed},
    agate_wire::Name,
    indexmap::IndexMap,
    records::Records,
    std::{
        fs::OpenOptions,
        io::Write,
        net::SocketAddr,
        os::unix::fs::OpenOptionsExt,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::runtime::{Builder, Runtime},
};

/// Instances at the start.
pub const INSTANCES: usize = 3;
/// Length of a usage window.
const WINDOW: Duration = Duration::from_millis(800);
/// Time for which a crashed engine refuses connections.
const RESTART: Duration = Duration::from_millis(300);
/// Deadline of every route, within which a silent connection is noticed and replaced.
const DEADLINE: Duration = Duration::from_secs(6);

/// One instance with its taps.
pub struct Entry {
    /// Name, given once.
    pub name: String,
    /// Tap before the callers' address.
    pub front: Tap,
    /// Tap on the way to the platform.
    pub back: Tap,
    /// State of its request path.
    pub gate: Arc<Gate>,
    /// Whether the balancer sends it callers.
    pub serving: AtomicBool,
    /// Its usage counters.
    pub usage: Arc<agate_cli::usage::Usage>,
    mesh: Arc<agate_cli::mesh::Mesh>,
    instance: Mutex<Option<Instance>>,
    runtime: Mutex<Option<Runtime>>,
}

impl Entry {
    /// Standing of its configuration.
    pub fn standing(&self) -> Option<agate_config::freshness::Standing> {
        self.mesh.follower().map(|f| f.standing())
    }

    /// Other instances that it believes to be live.
    pub fn others(&self) -> usize {
        self.mesh.live().len()
    }

    /// Other instances that it read on the platform's list.
    pub fn listed(&self) -> Vec<(Name, Name)> {
        self.mesh.listed_others().to_vec()
    }

    fn end(&self) {
        if let Some(runtime) = self.runtime.lock().expect("no panic while locked").take() {
            runtime.shutdown_background();
        }
        drop(self.instance.lock().expect("no panic while locked").take());
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.end();
    }
}

/// The running system.
pub struct Rig {
    /// The platform.
    pub platform: Platform,
    /// The engines by name.
    pub engines: IndexMap<String, Engine>,
    /// The services by name.
    pub services: IndexMap<String, Service>,
    /// The document that was applied last.
    pub document: Mutex<Document>,
    /// What was seen.
    pub records: Records,
    entries: Mutex<Vec<Arc<Entry>>>,
    listed: Mutex<IndexMap<String, Listed>>,
    count: AtomicU64,
    /// Begin of the names of all threads of this rig's instances.
    prefix: String,
    /// The shared secret, and one that only instances cut off from the others have.
    secrets: [Secret; 2],
}

impl Rig {
    /// Starts everything and waits until the instances know each other.
    pub async fn spawn() -> Arc<Rig> {
        let mut document = read(None).expect("the built-in document is valid");
        document.routes.iter_mut().for_each(|r| r.deadline = DEADLINE);
        let platform = Platform::bind(loopback()).await.expect("bound");
        let (engines, services) = endpoints(&mut document).await;
        let rig = Arc::new(Rig {
            platform,
            engines,
            services,
            document: Mutex::new(document),
            records: Records::default(),
            entries: Mutex::default(),
            listed: Mutex::default(),
            count: AtomicU64::new(0),
            prefix: panics::watch(),
            secrets: [Secret::create(), Secret::create()],
        });
        rig.publish(|_| {}).await;
        for _ in 0..INSTANCES {
            rig.add(true).await;
        }
        let joined = || rig.entries().iter().all(|e| e.others() + 1 == INSTANCES);
        until("the instances know each other", joined).await;
        let held = || rig.entries().iter().any(|e| e.usage.is_holder());
        until("some instance reports usage", held).await;
        rig
    }

    /// The instances that were not killed or stopped.
    pub fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries.lock().expect("no panic while locked").clone()
    }

    /// Starts an instance; one that is not `joined` and the others do not hear each other.
    pub async fn add(&self, joined: bool) -> Arc<Entry> {
        let number = self.count.fetch_add(1, Ordering::SeqCst);
        let back = Tap::bind(loopback(), self.platform.address()).await.expect("bound");
        let settings = self.settings(number, back.address(), joined);
        let name = settings.name.clone();
        let thread = format!("{}{name}", self.prefix);
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(2).thread_name(thread).enable_all().build();
        let runtime = runtime.expect("threads can be started");
        let started = runtime.spawn(async move {
            let store = agate_native::store::open(settings.platform);
            Instance::spawn(&settings, store).await
        });
        let instance = started.await.expect("no panic").expect("the instance starts");
        let front = Tap::bind(loopback(), instance.address()).await.expect("bound");
        let entry = Arc::new(Entry {
            name: name.clone(),
            front,
            back,
            gate: instance.gate.clone(),
            serving: AtomicBool::new(true),
            usage: instance.usage.clone(),
            mesh: instance.mesh.clone(),
            instance: Mutex::new(Some(instance)),
            runtime: Mutex::new(Some(runtime)),
        });
        self.records.born(&name);
        self.list(&entry, "live");
        self.entries.lock().expect("no panic while locked").push(entry.clone());
        entry
    }

    /// Panics in any instance so far; a task that panicked is missing for good.
    pub fn panics(&self) -> Vec<String> {
        panics::seen(&self.prefix)
    }

    /// Ends an instance at once, with all that runs in it.
    pub fn kill(&self, entry: &Entry) {
        self.records.killed(&entry.name);
        entry.serving.store(false, Ordering::SeqCst);
        entry.end();
        entry.front.refuse();
        self.forget(entry);
    }

    /// Stops an instance gracefully, once the balancer sends it no more callers.
    pub async fn stop(&self, entry: &Entry) {
        entry.serving.store(false, Ordering::SeqCst);
        let begin = self.records.now();
        self.records.stopping(&entry.name);
        let instance = entry.instance.lock().expect("no panic while locked").take();
        let instance = instance.expect("an instance ends once");
        let handle = {
            let runtime = entry.runtime.lock().expect("no panic while locked");
            runtime.as_ref().expect("it runs").spawn(instance.stop())
        };
        until("the stop ends", || handle.is_finished()).await;
        self.records.stopped(&entry.name, begin);
        entry.end();
        self.forget(entry);
    }

    /// Applies a change of the document, until it is accepted; returns its generation.
    pub async fn publish(&self, change: impl FnOnce(&mut Document)) -> u64 {
        let document = {
            let mut document = self.document.lock().expect("no panic while locked");
            change(&mut document);
            document.clone()
        };
        let store = agate_native::store::open(self.platform.address());
        let sections = agate_config::section::Section::ALL.to_vec();
        let edit = agate_cli::configs::edit("test", document, sections);
        loop {
            match agate_config::publish::apply(&store, &edit).await {
                Ok(applied) => {
                    self.records.accepted(applied.generation);
                    return applied.generation;
                }
                Err(e) => log::info!("applying again: {e}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Puts an endpoint on the platform's list as leaving.
    pub fn leave(&self, endpoint: &str, address: SocketAddr) {
        let zone = {
            let document = self.document.lock().expect("no panic while locked");
            document.fleet.endpoints[endpoint].zone.clone()
        };
        let (name, state) = (endpoint.to_owned(), "leaving".to_owned());
        self.relist(Listed { name, zone, address, state });
    }

    fn list(&self, entry: &Entry, state: &str) {
        let Some(member) = entry.mesh.member() else { return };
        let address = member.identity().address;
        let (name, zone) = (entry.name.clone(), entry.gate.zone.clone());
        self.relist(Listed { name, zone, address, state: state.into() });
    }

    fn relist(&self, changed: Listed) {
        let mut listed = self.listed.lock().expect("no panic while locked");
        listed.insert(changed.name.clone(), changed);
        self.platform.set_instances(listed.values().cloned().collect());
    }

    fn forget(&self, entry: &Entry) {
        self.entries.lock().expect("no panic while locked").retain(|e| e.name != entry.name);
        let mut listed = self.listed.lock().expect("no panic while locked");
        listed.shift_remove(&entry.name);
        self.platform.set_instances(listed.values().cloned().collect());
    }

    fn settings(&self, number: u64, platform: SocketAddr, joined: bool) -> Settings {
        let document = self.document.lock().expect("no panic while locked");
        let zones = &document.fleet.zones;
        let (zone, place) = zones.get_index(number as usize % zones.len()).expect("in range");
        let ms = Duration::from_millis;
        let limits =
            RequestLimits { first: ms(2500), between: ms(800), ..RequestLimits::default() };
        let usage = Usage { window: WINDOW, shards: 1, gather: ms(100), grace: ms(300) };
        let secret = self.secrets[usize::from(!joined)].0.clone();
        Settings {
            name: format!("entry-{}", number + 1),
            zone: zone.clone(),
            region: place.region.clone(),
            listen: loopback(),
            operator: loopback(),
            platform,
            tls: None,
            peers: Some(Peers { listen: loopback(), secrets: vec![secret] }),
            limits,
            stop: Stop { grace: ms(200), ..Stop::default() },
            usage,
            log: Log::default(),
        }
    }
}

/// Starts an endpoint for each one of the document.
async fn endpoints(
    document: &mut Document,
) -> (IndexMap<String, Engine>, IndexMap<String, Service>) {
    let models: Vec<_> = document
        .models
        .iter()
        .map(|(n, m)| (n.clone(), m.current.clone().unwrap_or_default()))
        .collect();
    let (mut engines, mut services) = (IndexMap::new(), IndexMap::new());
    for (name, endpoint) in &mut document.fleet.endpoints {
        let pool = &document.fleet.pools[&endpoint.pool];
        if pool.kind == PoolKind::Engine {
            let settings = EngineSettings {
                name: name.clone(),
                models: models.clone(),
                slots: pool.slots as usize,
                restart: Some(RESTART),
                ..EngineSettings::default()
            };
            let engine = Engine::bind(loopback(), settings).await.expect("bound");
            endpoint.address = engine.address();
            engines.insert(name.clone(), engine);
        } else {
            let service = Service::bind(loopback(), name).await.expect("bound");
            endpoint.address = service.address();
            services.insert(name.clone(), service);
        }
    }
    (engines, services)
}

/// A file with a random secret, removed when dropped.
struct Secret(PathBuf);

impl Secret {
    fn create() -> Self {
        let path = std::env::temp_dir().join(format!("agate-rig-{:016x}", rand::random::<u64>()));
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(&path)
            .expect("a new file");
        let text = format!("{:032x}", rand::random::<u128>());
        file.write_all(text.as_bytes()).expect("written");
        Self(path)
    }
}

impl Drop for Secret {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Any free port on loopback.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
