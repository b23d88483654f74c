//! Ordered endpoints: they serve requests, leave without failing requests, and are ordered once.

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
    agate_flow::proxy_state::ProxyState,
    agate_native::{
        fleet::{Kind, Order, order},
        http::Http,
    },
    agate_standin::PlatformFaults,
    futures_util::future::join_all,
    std::{net::SocketAddr, time::Duration},
    support::{expected_text, keep_endpoints, model_request, start, wait_until},
    tokio::time::sleep,
};

const POOL: &str = "glaze-oracle";
const ZONE: &str = "harju-b";
/// Delay of ordered endpoints, longer than a change of the lease holder.
const ARRIVAL_DELAY: Duration = Duration::from_secs(25);
/// Time within which a duplicate order would be sent.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Order settings of a pool that keep at least `min` endpoints even without work.
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

/// Keeps one declared engine and lets its pool order endpoints up to a total of `min`.
fn allow_orders(min: usize, kinds: &'static [EndpointKind]) -> impl FnOnce(&mut Document) {
    move |d| {
        keep_endpoints(d, POOL, 1);
        d.fleet.pools[POOL].orders = Some(orders(min, kinds));
    }
}

/// Orders `count` endpoints directly from the platform, bypassing the instances.
async fn order_directly(demo: &Demo, kind: Kind, count: u32) {
    let http = Http::open(demo.platform.address());
    let asked = Order { zone: ZONE, pool: POOL, kind, count, token: "test" };
    order(&http, &asked).await.expect("the platform takes orders");
    let names = || demo.ordered.lock().unwrap().keys().cloned().collect::<Vec<_>>();
    wait_until("the endpoints were started", || names().len() == count as usize).await;
    let proxy_state = &demo.instances[0].proxy_state;
    let known =
        |name: &String| proxy_state.current.load().endpoints().any(|(_, e)| *e.name == **name);
    wait_until("the instance knows them", || names().iter().all(known)).await;
}

fn count_retries(demo: &Demo, reason: Retry) -> u64 {
    let families = demo.instances[0].proxy_state.metrics.registry.gather();
    let family = families.iter().find(|f| f.name() == "agatetrack_retries_total");
    let metrics = family.map(|f| f.get_metric()).unwrap_or_default();
    let of = metrics.iter().filter(|m| m.get_label().iter().any(|l| l.value() == reason.code()));
    of.map(|m| m.get_counter().get_value() as u64).sum()
}

#[tokio::test]
async fn ordered_endpoint() {
    let demo = start(1, allow_orders(0, &[EndpointKind::Standard])).await;
    order_directly(&demo, Kind::Standard, 1).await;
    let to = demo.instances[0].address();
    let ran = || demo.ordered.lock().unwrap().values().map(|e| e.log().len()).sum::<usize>();
    for i in 0..200 {
        let text = format!("q{i}");
        assert_eq!(model_request(&text, 2, false).send(to).await.text(), expected_text(&text, 2));
        if ran() > 0 {
            return;
        }
    }
    panic!("the ordered endpoint got no work");
}

/// Streams cut when all cheap endpoints of a zone are reclaimed with notice. Each stream must be
/// migrated and completed.
#[tokio::test]
async fn preempted_zone() {
    const STREAMS: usize = 24;
    const TOKENS: u32 = 1500;
    let demo = start(1, allow_orders(0, &[EndpointKind::Cheap])).await;
    order_directly(&demo, Kind::Cheap, 2).await;
    let to = demo.instances[0].address();
    let streams =
        (0..STREAMS).map(|i| tokio::spawn(model_request(&format!("s{i}"), TOKENS, true).send(to)));
    let streams: Vec<_> = streams.collect();
    let engines: Vec<_> = demo.ordered.lock().unwrap().values().cloned().collect();
    let busy = || engines.iter().all(|e| e.load().running > 0);
    wait_until("streams run on the cheap endpoints", busy).await;
    let names = demo.platform.reclaim(ZONE, Duration::from_secs(5));
    let proxy_state = &demo.instances[0].proxy_state;
    let leaves = |name: &String| {
        let snapshot = proxy_state.current.load();
        snapshot.endpoints().any(|(_, e)| *e.name == **name && e.leaving)
    };
    wait_until("the instance knows that they leave", || names.iter().all(leaves)).await;
    let runs = || engines.iter().map(|e| e.log().len()).sum::<usize>();
    let before = runs();
    for i in 0..10 {
        assert_eq!(
            model_request("new", 3, false).send(to).await.text(),
            expected_text("new", 3),
            "{i}"
        );
    }
    assert_eq!(runs(), before, "a leaving endpoint got new work");
    for (i, response) in join_all(streams).await.into_iter().enumerate() {
        let response = response.expect("the caller gets a response");
        assert!(response.is_complete_stream(), "stream {i}: {}", response.body);
        assert_eq!(response.text(), expected_text(&format!("s{i}"), TOKENS), "stream {i}");
    }
    wait_until("the endpoints are gone", || demo.ordered.lock().unwrap().is_empty()).await;
    assert!(count_retries(&demo, Retry::EndpointLeaving) > 0, "no stream outlasted the notice");
    assert_eq!(
        count_retries(&demo, Retry::StreamResumed),
        0,
        "a stream was cut by the end of the notice"
    );
}

/// Number of endpoints of the pool that an instance knows.
fn known_endpoints(proxy_state: &ProxyState) -> usize {
    let snapshot = proxy_state.current.load();
    snapshot.pools().find(|(_, p)| &*p.name == POOL).map_or(0, |(_, p)| p.endpoints.len())
}

/// Starts a demo with two instances and faults of the platform.
async fn start_with_faults(document: Document, set: impl FnOnce(&mut PlatformFaults)) -> Demo {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let usage = agate_cli::settings::Usage::default();
    let demo =
        Demo::spawn_with_faults(document, listen, 2, (RequestLimits::default(), usage), set).await;
    demo.expect("the demo starts")
}

/// Number of endpoints that the platform was told to start; panics if a token took effect twice.
fn effective_orders(demo: &Demo) -> u32 {
    let orders = demo.platform.orders();
    let tokens: indexmap::IndexSet<_> = orders.iter().map(|o| &o.token).collect();
    assert_eq!(tokens.len(), orders.len(), "a token had two effects");
    orders.iter().map(|o| o.count).sum()
}

/// Duplicate orders. The missing endpoints must be ordered exactly once and serve at every
/// instance.
#[tokio::test]
async fn single_order() {
    let demo = start(2, allow_orders(3, &[EndpointKind::Standard])).await;
    wait_until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    let gates: Vec<_> = demo.instances.iter().map(|i| i.proxy_state.clone()).collect();
    let all = || gates.iter().all(|g| known_endpoints(g) == 3);
    wait_until("every instance knows them", all).await;
    sleep(SETTLE_TIME).await;
    assert_eq!(effective_orders(&demo), 2);
}

/// An order without a fallback. When cheap endpoints are refused, standard ones must be ordered.
#[tokio::test]
async fn refused_cheap() {
    let mut document = read(None).expect("the built-in document is valid");
    allow_orders(3, &[EndpointKind::Standard, EndpointKind::Cheap])(&mut document);
    let demo = start_with_faults(document, |f| f.no_cheap = true).await;
    wait_until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    assert!(demo.platform.orders().iter().all(|o| o.kind == "standard"));
    assert_eq!(effective_orders(&demo), 2);
}

/// Duplicate orders after a change of the holder. The holder is killed while the responses to its
/// orders are lost; its successor must repeat them under the same tokens.
#[tokio::test]
async fn repeated_orders() {
    let mut document = read(None).expect("the built-in document is valid");
    allow_orders(3, &[EndpointKind::Standard])(&mut document);
    let set = |f: &mut PlatformFaults| (f.lose_orders, f.order_delay) = (true, ARRIVAL_DELAY);
    let mut demo = start_with_faults(document, set).await;
    wait_until("both orders took effect", || demo.platform.orders().len() == 2).await;
    let first = demo.platform.orders();
    assert_eq!(effective_orders(&demo), 2);
    let holder = demo.instances.iter().position(|i| i.is_fleet_holder()).expect("it ordered");
    demo.instances.remove(holder).kill();
    demo.platform.set(|f| f.lose_orders = false);
    let calls = || demo.platform.counts().get("/fleet/v1/order").copied().unwrap_or(0);
    let before = calls();
    wait_until("the successor repeats the orders", || calls() >= before + first.len() as u64).await;
    wait_until("the endpoints were started", || demo.ordered.lock().unwrap().len() == 2).await;
    sleep(SETTLE_TIME).await;
    assert_eq!(demo.platform.orders(), first, "an order had a second effect");
}

/// Orders without a lease. While the store is down, no instance may order.
#[tokio::test]
async fn store_outage() {
    let orders = allow_orders(2, &[EndpointKind::Standard]);
    let demo = start(2, |d| {
        orders(d);
        d.fleet.pools[POOL].orders.as_mut().expect("just set").rate = 10.0;
    })
    .await;
    let held = || demo.instances.iter().any(|i| i.is_fleet_holder());
    // After the first order, no start-up delay of the holder remains.
    wait_until("the endpoint was started", || demo.ordered.lock().unwrap().len() == 1).await;
    demo.platform.set(|f| f.outage = true);
    wait_until("nobody holds the lease", || !held()).await;
    let calls = || demo.platform.counts().get("/fleet/v1/order").copied().unwrap_or(0);
    let before = calls();
    // More load than the declared endpoint is planned for.
    let to = demo.instances[0].address();
    let asked = (0..40).map(|i| model_request(&format!("q{i}"), 50, false).send(to));
    join_all(asked).await;
    sleep(SETTLE_TIME).await;
    assert_eq!(calls(), before, "an order was sent without a lease");
}
