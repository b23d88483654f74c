//! An instance whose process is paused for longer than its freshness proof and its lease, then
//! resumed. It must neither accept a key revoked meanwhile nor act under the lost lease.

mod support;

use {
    agate_cli::{configs::edit, demo::read},
    agate_config::{Document, publish, section::Section},
    agate_lease::record,
    agate_standin::{
        Engine, EngineSettings, FaultProxy, Platform, platform::Instance as Listed, ports,
    },
    agate_store::Purpose,
    futures_util::future::join_all,
    nix::sys::signal::Signal,
    std::{net::SocketAddr, time::Duration},
    support::{
        ClientResponse, HttpRequest, model_request,
        process::{Process, TempDir},
        wait_until,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, sleep, sleep_until},
    },
};

/// Key that is revoked while the instance is paused.
const REVOKED_KEY: &str = "Bearer demo-sagadi-key";
/// Requests of each kind that are queued for the paused instance.
const QUEUED: usize = 8;
/// Availability zones of the instances.
const ZONES: [&str; 3] = ["harju-a", "harju-b", "harju-c"];
/// Number of reads of the platform's list, at one per second and instance, after which every
/// instance has read it.
const LIST_READS: u64 = 6;
/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Length of the pause; longer than a lease, which lasts longer than a freshness proof.
const PAUSE: Duration = Duration::from_secs(7);
/// Number of windows reported after the pause.
const WINDOWS: usize = 4;

struct InstanceProcess {
    process: Process,
    address: SocketAddr,
    operator: SocketAddr,
    /// Proxy between the instance and the platform.
    platform_proxy: FaultProxy,
}

struct System {
    platform: Platform,
    engine: Engine,
    document: Document,
    instances: Vec<InstanceProcess>,
    _files: TempDir,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn system() -> System {
    let platform = Platform::bind(loopback()).await.expect("bound");
    let mut document = read(None).expect("the built-in document is valid");
    support::keep_endpoints(&mut document, "glaze-oracle", 1);
    support::keep_endpoints(&mut document, "order-desk", 0);
    let models = document.models.keys().map(|m| (m.clone(), "v1".to_owned())).collect();
    let settings = EngineSettings { models, ..EngineSettings::default() };
    let engine = Engine::bind(loopback(), settings).await.expect("bound");
    document.fleet.endpoints.values_mut().for_each(|e| e.address = engine.address());
    apply(&platform, &document).await;
    let (files, mut instances) = (TempDir::new(), Vec::new());
    let places = ZONES.map(|zone| (zone, ports::reserve()));
    let listed = places.map(|(zone, address)| Listed {
        name: format!("entry-{zone}"),
        zone: zone.into(),
        address,
        state: "live".into(),
    });
    platform.set_instances(listed.into());
    let secret = files.write("secret", &format!("{:032x}", rand::random::<u128>()));
    for (zone, peers) in places {
        let operator = ports::reserve();
        let platform_proxy = FaultProxy::bind(loopback(), platform.address()).await.expect("bound");
        let text = format!(
            "name: entry-{zone}\nzone: {zone}\nregion: harju\nlisten: {}\noperator: {operator}\n\
             platform: {}\npeers: {{listen: {peers}, secrets: [{secret}]}}\n\
             usage: {{window: 800ms, shards: 1, gather: 100ms, grace: 300ms}}\n",
            loopback(),
            platform_proxy.address(),
        );
        let settings = files.write(zone, &text);
        let process = Process::spawn(&["serve", "--settings", &settings]);
        let address = process.address("serves callers at").await;
        instances.push(InstanceProcess { process, address, operator, platform_proxy });
    }
    let reads = || platform.counts().get("/instances/v1").copied().unwrap_or_default();
    let known = reads() + LIST_READS;
    wait_until("every instance read the list", || reads() >= known).await;
    System { platform, engine, document, instances, _files: files }
}

async fn apply(platform: &Platform, document: &Document) {
    let change = edit("test", document.clone(), Section::ALL.to_vec());
    let store = agate_native::store::open(platform.address());
    publish::apply(&store, &change).await.expect("accepted");
}

impl System {
    /// Index of the instance that holds the usage lease, according to its record in the store.
    async fn holder(&self) -> Option<usize> {
        let key = record::key("usage/0");
        let found = self.platform.store().get(Purpose::Lease, &key).await.ok()??;
        let body = record::decode(&key, &found.value).expect("a record of this build");
        ZONES.iter().position(|z| body.holder.starts_with(&format!("entry-{z}@")))
    }

    async fn wait_for_holder(&self, wanted: impl Fn(usize) -> bool) -> usize {
        loop {
            match self.holder().await {
                Some(index) if wanted(index) => return index,
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    fn others(&self, held: usize) -> impl Iterator<Item = &InstanceProcess> {
        self.instances.iter().enumerate().filter(move |(i, _)| *i != held).map(|(_, e)| e)
    }
}

/// Number of reports that an instance sent and that were accepted.
async fn accepted_reports(instance: &InstanceProcess) -> u64 {
    let page = HttpRequest::new("GET", "/metrics", "").without_key().send(instance.operator).await;
    let mark = "agatetrack_usage_reports_total{result=\"taken\"} ";
    let line = page.body.lines().find_map(|l| l.strip_prefix(mark)).expect("the metric is there");
    line.parse().expect("a count")
}

async fn send_with_key(instance: &InstanceProcess, key: &str, text: &str) -> ClientResponse {
    model_request(text, 3, false).header("authorization", key).send(instance.address).await
}

/// Sends requests to an instance until it serves one with a valid key.
async fn wait_until_serving(instance: &InstanceProcess) {
    while send_with_key(instance, &format!("Bearer {}", support::KEY), "fresh").await.status != 200
    {
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_holder() {
    let mut system = system().await;
    let held = system.wait_for_holder(|_| true).await;
    for instance in &system.instances {
        wait_until_serving(instance).await;
        assert_eq!(send_with_key(instance, REVOKED_KEY, "before").await.status, 200);
    }
    let paused = &system.instances[held];
    paused.process.pause().await;
    let begin = Instant::now();
    system.document.organisations["sagadi"].keys.clear();
    apply(&system.platform, &system.document).await;
    for instance in system.others(held) {
        while send_with_key(instance, REVOKED_KEY, "others").await.status != 401 {}
    }
    system.wait_for_holder(|i| i != held).await;
    sleep_until(begin + PAUSE).await;

    // While the resumed instance reaches neither the platform nor its peers, it must refuse all
    // requests with a key.
    paused.platform_proxy.refuse();
    while TcpStream::connect(paused.platform_proxy.address()).await.is_ok() {
        sleep(POLL_INTERVAL).await;
    }
    for instance in system.others(held) {
        instance.process.pause().await;
    }
    let good = format!("Bearer {}", support::KEY);
    let before = system.engine.log().len();
    let (address, keys) = (paused.address, [&*good, REVOKED_KEY]);
    let call = |i: usize| {
        model_request(&format!("q{i}"), 3, false).header("authorization", keys[i % 2]).send(address)
    };
    let waiting: Vec<_> = (0..2 * QUEUED).map(|i| tokio::spawn(call(i))).collect();
    paused.process.signal(Signal::SIGCONT);
    for response in join_all(waiting).await {
        let response = response.expect("the caller gets a response");
        let said = (response.code(), response.run());
        assert_eq!(said, ("config_stale".into(), "not_run".into()), "{}", response.body);
    }
    assert_eq!(system.engine.log().len(), before, "something ran");
    let reports = accepted_reports(paused).await;

    // Once they respond again, it must serve again, but not for the revoked key.
    system.others(held).for_each(|e| e.process.signal(Signal::SIGCONT));
    paused.platform_proxy.accept();
    wait_until_serving(paused).await;
    let response = send_with_key(paused, REVOKED_KEY, "after").await;
    assert_eq!((response.status.as_u16(), response.code().as_str()), (401, "key_invalid"));

    // It must not report under the lost lease.
    let windows = system.platform.usage().len() + WINDOWS;
    wait_until("more windows are reported", || system.platform.usage().len() >= windows).await;
    let again = accepted_reports(paused).await > reports;
    assert!(!again || system.holder().await == Some(held), "it acted under a lost lease");
    assert!(system.platform.usage().iter().all(|u| !u.conflict), "a window has two figures");
}
