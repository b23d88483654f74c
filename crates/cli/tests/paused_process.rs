//! An instance's process is paused for longer than its proof of freshness and its lease, and woken.

mod support;

use {
    agate_cli::{configs::edit, demo::read},
    agate_config::{Document, publish, section::Section},
    agate_lease::record,
    agate_standin::{Engine, EngineSettings, Platform, Tap, platform::Instance as Listed},
    agate_store::Purpose,
    futures_util::future::join_all,
    nix::sys::signal::Signal,
    std::{
        net::{SocketAddr, TcpListener, UdpSocket},
        time::Duration,
    },
    support::{
        Call, Reply, ask,
        process::{Dir, Process},
        until,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, sleep, sleep_until},
    },
};

/// Key whose withdrawal the paused instance misses.
const WITHDRAWN: &str = "Bearer demo-sagadi-key";
/// Requests of each kind that wait for the paused instance to wake.
const WAITING: usize = 8;
/// Availability zones of the instances.
const ZONES: [&str; 3] = ["harju-a", "harju-b", "harju-c"];
/// Reads of the platform's list, once a second each, by which every instance read it.
const LIST_READS: u64 = 6;
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Length of the pause: longer than a lease, which outlasts a proof of freshness.
const PAUSE: Duration = Duration::from_secs(7);
/// Windows that are reported after the pause.
const WINDOWS: usize = 4;

struct Entry {
    process: Process,
    address: SocketAddr,
    operator: SocketAddr,
    /// Way to the platform.
    back: Tap,
}

struct System {
    platform: Platform,
    engine: Engine,
    document: Document,
    entries: Vec<Entry>,
    _files: Dir,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A port that is free for both TCP and UDP. It lies below those that the system gives to
/// connections, so that none takes it before the process binds it.
fn free() -> SocketAddr {
    loop {
        let address = SocketAddr::new(loopback().ip(), rand::random_range(10_000..30_000));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

async fn system() -> System {
    let platform = Platform::bind(loopback()).await.expect("bound");
    let mut document = read(None).expect("the built-in document is valid");
    support::keep(&mut document, "glaze-oracle", 1);
    support::keep(&mut document, "order-desk", 0);
    let models = document.models.keys().map(|m| (m.clone(), "v1".to_owned())).collect();
    let settings = EngineSettings { models, ..EngineSettings::default() };
    let engine = Engine::bind(loopback(), settings).await.expect("bound");
    document.fleet.endpoints.values_mut().for_each(|e| e.address = engine.address());
    apply(&platform, &document).await;
    let (files, mut entries) = (Dir::new(), Vec::new());
    let places = ZONES.map(|zone| (zone, free()));
    let listed = places.map(|(zone, address)| Listed {
        name: format!("entry-{zone}"),
        zone: zone.into(),
        address,
        state: "live".into(),
    });
    platform.set_instances(listed.into());
    let secret = files.write("secret", &format!("{:032x}", rand::random::<u128>()));
    for (zone, peers) in places {
        let operator = free();
        let back = Tap::bind(loopback(), platform.address()).await.expect("bound");
        let text = format!(
            "name: entry-{zone}\nzone: {zone}\nregion: harju\nlisten: {}\noperator: {operator}\n\
             platform: {}\npeers: {{listen: {peers}, secrets: [{secret}]}}\n\
             usage: {{window: 800ms, shards: 1, gather: 100ms, grace: 300ms}}\n",
            loopback(),
            back.address(),
        );
        let settings = files.write(zone, &text);
        let process = Process::spawn(&["serve", "--settings", &settings]);
        let address = process.address("serves callers at").await;
        entries.push(Entry { process, address, operator, back });
    }
    let reads = || platform.counts().get("/instances/v1").copied().unwrap_or_default();
    let known = reads() + LIST_READS;
    until("every instance read the list", || reads() >= known).await;
    System { platform, engine, document, entries, _files: files }
}

async fn apply(platform: &Platform, document: &Document) {
    let change = edit("test", document.clone(), Section::ALL.to_vec());
    let store = agate_native::store::open(platform.address());
    publish::apply(&store, &change).await.expect("accepted");
}

impl System {
    /// Index of the instance whose name the record of the usage lease holds.
    async fn holder(&self) -> Option<usize> {
        let key = record::key("usage/0");
        let found = self.platform.store().get(Purpose::Lease, &key).await.ok()??;
        let body = record::decode(&key, &found.value).expect("a record of this build");
        ZONES.iter().position(|z| body.holder.starts_with(&format!("entry-{z}@")))
    }

    async fn held_by(&self, wanted: impl Fn(usize) -> bool) -> usize {
        loop {
            match self.holder().await {
                Some(index) if wanted(index) => return index,
                _ => sleep(LOOK).await,
            }
        }
    }

    fn others(&self, held: usize) -> impl Iterator<Item = &Entry> {
        self.entries.iter().enumerate().filter(move |(i, _)| *i != held).map(|(_, e)| e)
    }
}

/// Reports that an instance saw taken.
async fn taken(entry: &Entry) -> u64 {
    let page = Call::new("GET", "/metrics", "").unkeyed().send(entry.operator).await;
    let mark = "agatetrack_usage_reports_total{result=\"taken\"} ";
    let line = page.body.lines().find_map(|l| l.strip_prefix(mark)).expect("the metric is there");
    line.parse().expect("a count")
}

async fn ask_as(entry: &Entry, key: &str, text: &str) -> Reply {
    ask(text, 3, false).header("authorization", key).send(entry.address).await
}

/// Asks an instance until it answers a request of a key in force.
async fn serves(entry: &Entry) {
    while ask_as(entry, &format!("Bearer {}", support::KEY), "fresh").await.status != 200 {
        sleep(LOOK).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn woken_holder() {
    let mut system = system().await;
    let held = system.held_by(|_| true).await;
    for entry in &system.entries {
        serves(entry).await;
        assert_eq!(ask_as(entry, WITHDRAWN, "before").await.status, 200);
    }
    let paused = &system.entries[held];
    paused.process.pause().await;
    let begin = Instant::now();
    system.document.organisations["sagadi"].keys.clear();
    apply(&system.platform, &system.document).await;
    for entry in system.others(held) {
        while ask_as(entry, WITHDRAWN, "others").await.status != 401 {}
    }
    system.held_by(|i| i != held).await;
    sleep_until(begin + PAUSE).await;

    // While neither platform nor peers answer the woken instance, it must refuse all keyed work.
    paused.back.refuse();
    while TcpStream::connect(paused.back.address()).await.is_ok() {
        sleep(LOOK).await;
    }
    for entry in system.others(held) {
        entry.process.pause().await;
    }
    let good = format!("Bearer {}", support::KEY);
    let before = system.engine.log().len();
    let (address, keys) = (paused.address, [&*good, WITHDRAWN]);
    let call = |i: usize| {
        ask(&format!("q{i}"), 3, false).header("authorization", keys[i % 2]).send(address)
    };
    let waiting: Vec<_> = (0..2 * WAITING).map(|i| tokio::spawn(call(i))).collect();
    paused.process.signal(Signal::SIGCONT);
    for reply in join_all(waiting).await {
        let reply = reply.expect("the caller gets a reply");
        let said = (reply.code(), reply.run());
        assert_eq!(said, ("config_stale".into(), "not_run".into()), "{}", reply.body);
    }
    assert_eq!(system.engine.log().len(), before, "something ran");
    let reports = taken(paused).await;

    // Once they answer again, it serves again, without the withdrawn key.
    system.others(held).for_each(|e| e.process.signal(Signal::SIGCONT));
    paused.back.admit();
    serves(paused).await;
    let reply = ask_as(paused, WITHDRAWN, "after").await;
    assert_eq!((reply.status.as_u16(), reply.code().as_str()), (401, "key_invalid"));

    // It reports nothing under the lease that it lost.
    let windows = system.platform.usage().len() + WINDOWS;
    until("more windows are reported", || system.platform.usage().len() >= windows).await;
    let again = taken(paused).await > reports;
    assert!(!again || system.holder().await == Some(held), "it acted under a lost lease");
    assert!(system.platform.usage().iter().all(|u| !u.conflict), "a window has two figures");
}
