//! What is reported is what the engines ran, once, through stops, crashes and outages.

mod support;

use {
    agate_cli::{
        demo::{Demo, read},
        instance::Instance,
        settings::{Log, Settings, Stop, Usage},
    },
    agate_native::http::Http,
    agate_standin::Platform,
    indexmap::IndexMap,
    rstest::rstest,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    support::{Call, ask, bounds, until},
};

/// Requests and output tokens.
type Sum = (u64, u64);

fn usage() -> Usage {
    let ms = Duration::from_millis;
    Usage { window: ms(800), shards: 1, gather: ms(100), grace: ms(300) }
}

/// Length of a window that outlasts a graceful stop by far.
const LONG_WINDOW: Duration = Duration::from_secs(3);

/// Settings of an instance without peers.
fn settings(platform: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: "entry-1".into(),
        zone: "a".into(),
        region: "a".into(),
        listen: any,
        operator: any,
        platform,
        tls: None,
        peers: None,
        limits: bounds(),
        stop: Stop::default(),
        usage: usage(),
        log: Log::default(),
    }
}

async fn start(count: u16) -> Demo {
    start_with(count, usage()).await
}

async fn start_with(count: u16, usage: Usage) -> Demo {
    let document = read(None).expect("the built-in document is valid");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let demo = Demo::spawn_with_usage(document, listen, count, bounds(), usage).await;
    let demo = demo.expect("the demo starts");
    let all = |d: &Demo| d.instances.iter().all(|i| i.mesh.live().len() + 1 == usize::from(count));
    until("all instances know each other", || all(&demo)).await;
    until("some instance holds the shard", || holder(&demo).is_some()).await;
    demo
}

fn holder(demo: &Demo) -> Option<usize> {
    demo.instances.iter().position(|i| i.usage.is_holder())
}

/// Sums of the figures that the platform has, each window once; another figure for a window fails.
fn reported(platform: &Platform) -> Sum {
    let mut windows = IndexMap::new();
    for entry in platform.usage() {
        assert!(!entry.conflict, "window {} has two figures", entry.window);
        windows.insert((entry.window, entry.shard), entry.figures);
    }
    let rows = windows.values().flat_map(|f| f.as_array().expect("figures are a list"));
    let add = |sum: Sum, row: &serde_json::Value| {
        let field = |name: &str| row[name].as_u64().expect("figures are numbers");
        (sum.0 + field("requests"), sum.1 + field("output"))
    };
    rows.fold((0, 0), add)
}

/// Output tokens that the engines ran.
fn ran(demo: &Demo) -> u64 {
    let logs = demo.engines.iter().flat_map(|e| e.log());
    logs.map(|r| u64::from(r.tokens)).sum()
}

async fn work(to: SocketAddr, count: u32) {
    for i in 0..count {
        let reply = ask(&format!("q{i}"), 5 + i, i % 2 == 0).send(to).await;
        assert!(reply.status.is_success(), "{reply:?}");
    }
}

async fn all_reported(demo: &Demo, requests: u64) {
    let due = (requests, ran(demo));
    until("everything is reported", || reported(&demo.platform) >= due).await;
    assert_eq!(reported(&demo.platform), due);
}

#[rstest]
#[case::alone(1)]
#[case::three(3)]
#[tokio::test]
async fn sums_match(#[case] count: u16) {
    let demo = start(count).await;
    for instance in &demo.instances {
        work(instance.address(), 4).await;
    }
    let service = Call::new("POST", "/deposits", "{}")
        .header("idempotency-key", "d-1")
        .send(demo.instances[0].address())
        .await;
    assert!(service.status.is_success(), "{service:?}");
    all_reported(&demo, u64::from(count) * 4 + 1).await;
}

#[tokio::test]
async fn outage_bridged() {
    let demo = start(1).await;
    demo.platform.set(|f| f.fleet_outage = true);
    work(demo.instances[0].address(), 3).await;
    let tries = || demo.platform.counts().get("/usage/v1/report").copied().unwrap_or_default();
    let before = tries();
    until("reports fail", || tries() >= before + 2).await;
    demo.platform.set(|f| {
        f.fleet_outage = false;
        f.lose_acks = 2;
    });
    all_reported(&demo, 3).await;
}

#[rstest]
#[case::holder(true)]
#[case::other(false)]
#[tokio::test]
async fn stop_loses_nothing(#[case] held: bool) {
    let mut demo = start_with(3, Usage { window: LONG_WINDOW, ..usage() }).await;
    // Right after a report the next gathering is a window away: the stopping instance is gone by
    // then, so that its figures can come from those that it handed them over to alone.
    let reports = demo.platform.usage().len();
    until("a window was reported", || demo.platform.usage().len() > reports).await;
    let holder = holder(&demo).expect("just seen");
    let stopping = demo.instances.remove(if held { holder } else { (holder + 1) % 3 });
    work(stopping.address(), 4).await;
    stopping.stop().await;
    all_reported(&demo, 4).await;
}

#[tokio::test]
async fn lone_stop() {
    let mut demo = start(1).await;
    work(demo.instances[0].address(), 4).await;
    demo.instances.remove(0).stop().await;
    let next = settings(demo.platform.address());
    let next = Instance::spawn(&next, agate_native::store::open(demo.platform.address())).await;
    let _next = next.expect("the next instance starts");
    all_reported(&demo, 4).await;
}

#[tokio::test]
async fn crash_bounded() {
    let mut demo = start(3).await;
    let other = (holder(&demo).expect("just seen") + 1) % 3;
    let crashing = demo.instances.remove(other);
    let to = crashing.address();
    work(to, 3).await;
    until("a peer has everything", || crashing.usage.is_replicated()).await;
    let least = (3, ran(&demo));
    work(to, 2).await;
    crashing.kill();
    until("what was shipped is reported", || reported(&demo.platform) >= least).await;
    let most = (5, ran(&demo));
    let windows = demo.platform.usage().len();
    until("more windows are reported", || demo.platform.usage().len() > windows + 1).await;
    let sum = reported(&demo.platform);
    assert!(sum >= least && sum <= most, "{sum:?} is not from {least:?} to {most:?}");
}

/// The platform has other figures for some windows: the reports of these are refused once and never
/// repeated, and later windows are reported.
#[tokio::test]
async fn other_figures() {
    const OTHER: &str = "other";
    const LIMIT: Duration = Duration::from_secs(5);
    let demo = start(1).await;
    let length = usage().window.as_millis();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let next = wall / length + 1;
    let taken: Vec<String> = (next..next + 3).map(|w| (w * length).to_string()).collect();
    let http = Http::open(demo.platform.address());
    for window in &taken {
        let window: u64 = window.parse().expect("a number");
        let figures = json!([{"requests": 9}]);
        let report = json!({"window": window, "shard": 0, "figures": figures, "token": OTHER});
        let answer = http.post("/usage/v1/report", &report, LIMIT).await;
        assert_eq!(answer.expect("the platform answers").0, 204);
    }
    work(demo.instances[0].address(), 4).await;
    let later = (next + 5) * length;
    let own = || demo.platform.usage().into_iter().filter(|r| r.token != OTHER);
    let is_later = |w: &str| w.parse::<u128>().is_ok_and(|w| w >= later);
    until("later windows are reported", || own().any(|r| is_later(&r.window))).await;
    for window in &taken {
        let tries = own().filter(|r| r.window == *window).count();
        assert_eq!(tries, 1, "window {window}");
    }
    assert!(own().all(|r| r.conflict == taken.contains(&r.window)));
    let counted = "agatetrack_usage_reports_total{result=\"refused\"} 3";
    let metrics = demo.instances[0].gate.meter.text();
    assert!(metrics.contains(counted), "{metrics}");
}
