//! Endpoints ordered for a pool: they serve, leave without harm, and are ordered once.

mod support;

use {
    agate_cli::{
        demo::{Demo, read},
        settings::RequestLimits,
    },
    agate_config::{
        Document,
        doc::{Degrade, EndpointKind, Orders, Prices},
    },
    agate_core::Retry,
    agate_flow::gate::Gate,
    agate_native::{
        fleet::{Kind, Order, order},
        http::Http,
    },
    agate_standin::PlatformFaults,
    futures_util::future::join_all,
    std::{net::SocketAddr, time::Duration},
    support::{answer, ask, keep, start, until},
    tokio::time::sleep,
};

const POOL: &str = "glaze-oracle";
const ZONE: &str = "harju-b";
/// Arrival lag that outlasts a change of holder.
const LATE: Duration = Duration::from_secs(25);
/// Time in which a second order would have been sent.
const SETTLE: Duration = Duration::from_secs(4);

/// What the tests let a pool order: `min` endpoints are wanted even without work.
fn orders(min: usize, kinds: &[EndpointKind]) -> Orders {
    Orders {
        zones: vec!["harju-a".into(), ZONE.into()],
        kinds: kinds.to_vec(),
        min,
        max: 8,
        prices: Prices { standard: 1.0, cheap: 0.4 },
        budget: 8.0,
        rate: 1e9,
        lag: Duration::from_secs(1),
        hold: Duration::from_secs(1),
        degrade: Degrade::Long,
    }
}

/// Keeps one declared engine and lets its pool order up to `min` endpoints.
fn change(min: usize, kinds: &'static [EndpointKind]) -> impl FnOnce(&mut Document) {
    move |d| {
        keep(d, POOL, 1);
        d.fleet.pools[POOL].orders = Some(orders(min, kinds));
    }
}

/// Orders `count` endpoints of the platform, past every instance.
async fn ordered(demo: &Demo, kind: Kind, count: u32) {
    let http = Http::open(demo.platform.address());
    let asked = Order { zone: ZONE, pool: POOL, kind, count, token: "test" };
    order(&http, &asked).await.expect("the platform takes orders");
    let names = || demo.ordered.lock().unwrap().keys().cloned().collect::<Vec<_>>();
    until("the endpoints were started", || names().len() == count as usize).await;
    let gate = &demo.instances[0].gate;
    let known = |name: &String| gate.current.load().endpoints().any(|(_, e)| *e.name == **name);
    until("the instance knows them", || names().iter().all(known)).await;
}

fn retries(demo: &Demo, reason: Retry) -> u64 {
    let families = demo.instances[0].gate.meter.registry.gather();
    let family = families.iter().find(|f| f.name() == "agatetrack_retries_total");
    let metrics = family.map(|f| f.get_metric()).unwrap_or_default();
    let of = metrics.iter().filter(|m| m.get_label().iter().any(|l| l.value() == reason.code()));
    of.map(|m| m.get_counter().get_value() as u64).sum()
}

#[tokio::test]
async fn ordered_serves() {
    let demo = start(1, change(0, &[EndpointKind::Standard])).await;
    ordered(&demo, Kind::Standard, 1).await;
    let to = demo.instances[0].address();
    let ran = || demo.ordered.lock().unwrap().values().map(|e| e.log().len()).sum::<usize>();
    for i in 0..200 {
        let text = format!("q{i}");
        assert_eq!(ask(&text, 2, false).send(to).await.text(), answer(&text, 2));
        if ran() > 0 {
            return;
        }
    }
    panic!("the ordered endpoint got no work");
}

/// A zone's cheap endpoints go at notice under running streams: each goes on to its end elsewhere.
#[tokio::test]
async fn zone_reclaimed() {
    const STREAMS: usize = 24;
    const TOKENS: u32 = 1500;
    let demo = start(1, change(0, &[EndpointKind::Cheap])).await;
    ordered(&demo, Kind::Cheap, 2).await;
    let to = demo.instances[0].address();
    let streams = (0..STREAMS).map(|i| tokio::spawn(ask(&format!("s{i}"), TOKENS, true).send(to)));
    let streams: Vec<_> = streams.collect();
    let engines: Vec<_> = demo.ordered.lock().unwrap().values().cloned().collect();
    let busy = || engines.iter().all(|e| e.load().running > 0);
    until("streams run on the cheap endpoints", busy).await;
    let names = demo.platform.reclaim(ZONE, Duration::from_secs(5));
    let gate = &demo.instances[0].gate;
    let leaves = |name: &String| {
        let snapshot = gate.current.load();
        snapshot.endpoints().any(|(_, e)| *e.name == **name && e.leaving)
    };
    until("the instance knows that they leave", || names.iter().all(leaves)).await;
    let runs = || engines.iter().map(|e| e.log().len()).sum::<usize>();
    let before = runs();
    for i in 0..10 {
        assert_eq!(ask("new", 3, false).send(to).await.text(), answer("new", 3), "{i}");
    }
    assert_eq!(runs(), before, "a leaving endpoint got new work");
    for (i, reply) in join_all(streams).await.into_iter().enumerate() {
        let reply = reply.expect("the caller gets a reply");
        assert!(reply.ended(), "stream {i}: {}", reply.body);
        assert_eq!(reply.text(), answer(&format!("s{i}"), TOKENS), "stream {i}");
    }
    until("the endpoints are gone", || demo.ordered.lock().unwrap().is_empty()).await;
    assert!(retries(&demo, Retry::EndpointLeaving) > 0, "no stream outlasted the notice");
    assert_eq!(
        retries(&demo, Retry::StreamResumed),
        0,
        "a stream was cut by the end of the notice"
    );
}

/// Endpoints of the pool that an instance knows.
fn members(gate: &Gate) -> usize {
    let snapshot = gate.current.load();
    snapshot.pools().find(|(_, p)| &*p.name == POOL).map_or(0, |(_, p)| p.endpoints.len())
}

/// Starts the demo with two instances and faults of the platform.
async fn faulty(document: Document, set: impl FnOnce(&mut PlatformFaults)) -> Demo {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let usage = agate_cli::settings::Usage::default();
    let demo =
        Demo::spawn_with_faults(document, listen, 2, (RequestLimits::default(), usage), set).await;
    demo.expect("the demo starts")
}

/// Endpoints that the platform was really told to start, and how often each token had an effect.
fn effective(demo: &Demo) -> u32 {
    let orders = demo.platform.orders();
    let tokens: indexmap::IndexSet<_> = orders.iter().map(|o| &o.token).collect();
    assert_eq!(tokens.len(), orders.len(), "a token had two effects");
    orders.iter().map(|o| o.count).sum()
}

/// The wanted endpoints beyond the declared one are ordered, arrive and serve; nothing is ordered
/// twice although the answer to the first order is lost.
#[tokio::test]
async fn holder_orders() {
    let demo = start(2, change(3, &[EndpointKind::Standard])).await;
    until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    let gates: Vec<_> = demo.instances.iter().map(|i| i.gate.clone()).collect();
    let all = || gates.iter().all(|g| members(g) == 3);
    until("every instance knows them", all).await;
    sleep(SETTLE).await;
    assert_eq!(effective(&demo), 2);
}

/// A refused cheap kind is replaced by the standard one.
#[tokio::test]
async fn cheap_refused() {
    let mut document = read(None).expect("the built-in document is valid");
    change(3, &[EndpointKind::Standard, EndpointKind::Cheap])(&mut document);
    let demo = faulty(document, |f| f.no_cheap = true).await;
    until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    assert!(demo.platform.orders().iter().all(|o| o.kind == "standard"));
    assert_eq!(effective(&demo), 2);
}

/// The holder is killed while the answers to its orders are lost: its successor repeats them under
/// the same tokens.
#[tokio::test]
async fn successor_repeats() {
    let mut document = read(None).expect("the built-in document is valid");
    change(3, &[EndpointKind::Standard])(&mut document);
    let set = |f: &mut PlatformFaults| (f.lose_orders, f.late) = (true, LATE);
    let mut demo = faulty(document, set).await;
    until("both orders took effect", || demo.platform.orders().len() == 2).await;
    let first = demo.platform.orders();
    assert_eq!(effective(&demo), 2);
    let holder = demo.instances.iter().position(|i| i.is_fleet_holder()).expect("it ordered");
    demo.instances.remove(holder).kill();
    demo.platform.set(|f| f.lose_orders = false);
    let calls = || demo.platform.counts().get("/fleet/v1/order").copied().unwrap_or(0);
    let before = calls();
    until("the successor repeats the orders", || calls() >= before + first.len() as u64).await;
    until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    sleep(SETTLE).await;
    assert_eq!(demo.platform.orders(), first, "an order had a second effect");
}

/// Without the store nobody orders.
#[tokio::test]
async fn store_outage() {
    let orders = change(2, &[EndpointKind::Standard]);
    let demo = start(2, |d| {
        orders(d);
        d.fleet.pools[POOL].orders.as_mut().expect("just set").rate = 10.0;
    })
    .await;
    let held = || demo.instances.iter().any(|i| i.is_fleet_holder());
    // The first order shows that the holder waits for nothing more.
    until("the endpoint was started", || demo.ordered.lock().unwrap().len() == 1).await;
    demo.platform.set(|f| f.outage = true);
    until("nobody holds the lease", || !held()).await;
    let calls = || demo.platform.counts().get("/fleet/v1/order").copied().unwrap_or(0);
    let before = calls();
    // More work than the declared endpoint is planned for.
    let to = demo.instances[0].address();
    let asked = (0..40).map(|i| ask(&format!("q{i}"), 50, false).send(to));
    join_all(asked).await;
    sleep(SETTLE).await;
    assert_eq!(calls(), before, "an order was sent without a lease");
}
