//! A booking must run at most once, whichever instances receive it and whatever fails.

mod support;

use {
    agate_cli::demo::Demo,
    std::time::Duration,
    support::{ClientResponse, HttpRequest, keep_endpoints, start, wait_until},
};

fn run_count(demo: &Demo, booking: &str) -> usize {
    demo.services.iter().map(|s| s.runs().get(booking).copied().unwrap_or(0)).sum()
}

async fn send_booking(demo: &Demo, instance: usize, key: &str, body: &str) -> ClientResponse {
    let call =
        HttpRequest::new("POST", "/orders/9", body.to_owned()).header("idempotency-key", key);
    call.send(demo.instances[instance].address()).await
}

#[tokio::test]
async fn replayed_response() {
    let demo = start(2, |_| {}).await;
    let first = send_booking(&demo, 0, "k", "slot 1").await;
    let again = send_booking(&demo, 1, "k", "slot 1").await;
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (201, 201));
    assert_eq!(first.body, again.body);
    assert!(again.headers.contains_key("x-replayed"));
    assert_eq!(run_count(&demo, "k"), 1);
}

#[tokio::test]
async fn concurrent_requests() {
    let demo = start(3, |_| {}).await;
    let (a, b, c) = tokio::join!(
        send_booking(&demo, 0, "k", "slot 1"),
        send_booking(&demo, 1, "k", "slot 1"),
        send_booking(&demo, 2, "k", "slot 1"),
    );
    assert_eq!(run_count(&demo, "k"), 1);
    assert!([&a, &b, &c].iter().all(|r| r.status == 201 && r.body == a.body), "{a:?} {b:?} {c:?}");
}

#[tokio::test]
async fn changed_body() {
    let demo = start(2, |_| {}).await;
    assert_eq!(send_booking(&demo, 0, "k", "slot 1").await.status, 201);
    let other = send_booking(&demo, 1, "k", "slot 2").await;
    assert_eq!((other.code().as_str(), other.run().as_str()), ("claim_conflict", "not_run"));
    assert_eq!(run_count(&demo, "k"), 1);
}

#[tokio::test]
async fn other_organisation() {
    let demo = start(1, |_| {}).await;
    assert_eq!(send_booking(&demo, 0, "k", "slot 1").await.status, 201);
    let call = HttpRequest::new("POST", "/orders/9", "slot 1").header("idempotency-key", "k");
    let call = call.header("authorization", "Bearer demo-kolga-key");
    let other = call.send(demo.instances[0].address()).await;
    assert_eq!(other.status, 201);
    assert!(
        !other.headers.contains_key("x-replayed"),
        "another organisation's response was replayed"
    );
}

#[tokio::test]
async fn missing_key() {
    let demo = start(1, |_| {}).await;
    let response =
        HttpRequest::new("POST", "/deposits", "{}").send(demo.instances[0].address()).await;
    assert_eq!(
        (response.code().as_str(), response.run().as_str()),
        ("claim_key_missing", "not_run")
    );
}

/// While the store is down, a booking must be refused as not run; it must run once after the store
/// recovers.
#[tokio::test]
async fn store_outage() {
    let demo = start(2, |_| {}).await;
    demo.platform.set(|f| f.outage = true);
    let refused = send_booking(&demo, 0, "k", "slot 1").await;
    assert_eq!((refused.code().as_str(), refused.run().as_str()), ("claim_unavailable", "not_run"));
    assert_eq!(run_count(&demo, "k"), 0);
    demo.platform.set(|f| f.outage = false);
    let mut status = 503;
    for _ in 0..200 {
        status = send_booking(&demo, 1, "k", "slot 1").await.status.as_u16();
        if status == 201 {
            break;
        }
    }
    assert_eq!((status, run_count(&demo, "k")), (201, 1));
}

/// The store's response to a claim is lost after the claim took effect: the claim must be resolved
/// and the booking must run at most once.
#[tokio::test]
async fn lost_claim_response() {
    let demo = start(2, |_| {}).await;
    demo.platform.set(|f| f.lose_acks = 1);
    send_booking(&demo, 0, "k", "slot 1").await;
    send_booking(&demo, 1, "k", "slot 1").await;
    assert!(run_count(&demo, "k") <= 1);
}

/// A booking whose response was lost must not be retried; every instance must state that its
/// outcome is unknown.
#[tokio::test]
async fn unknown_outcome() {
    let demo = start(2, |_| {}).await;
    demo.services.iter().for_each(|s| s.proxy().set(|f| f.cut_after = Some(0)));
    let first = send_booking(&demo, 0, "k", "slot 1").await;
    assert_eq!(first.run(), "unknown");
    demo.services.iter().for_each(|s| s.proxy().set(|f| f.cut_after = None));
    let again = send_booking(&demo, 1, "k", "slot 1").await;
    assert_eq!((again.code().as_str(), again.run().as_str()), ("claim_outcome_unknown", "unknown"));
    assert!(run_count(&demo, "k") <= 1);
}

/// The client disconnects while its booking runs: the booking must complete and its response must
/// be available later.
#[tokio::test]
async fn disconnected_client() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.set(|f| f.response_delay = Duration::from_millis(300)));
    let to = demo.instances[0].address();
    let call =
        HttpRequest::new("POST", "/orders/9", "slot 1").header("idempotency-key", "k").send(to);
    let caller = tokio::spawn(call);
    wait_until("the booking ran", || run_count(&demo, "k") == 1).await;
    caller.abort();
    let again = send_booking(&demo, 0, "k", "slot 1").await;
    assert_eq!((again.status.as_u16(), run_count(&demo, "k")), (201, 1), "{}", again.body);
}

/// A booking queued for longer than the dispatch limit of its claim must be sent once when it is
/// admitted.
#[tokio::test]
async fn long_queue() {
    let demo = start(1, |d| {
        keep_endpoints(d, "order-desk", 1);
        d.fleet.pools["order-desk"].slots = 1;
    })
    .await;
    let wait = agate_idempotency::Settings::new(0).dispatch + Duration::from_millis(500);
    demo.services.iter().for_each(|s| s.set(|f| f.response_delay = wait));
    let (first, second) = tokio::join!(send_booking(&demo, 0, "a", "slot 1"), async {
        wait_until("the first runs", || run_count(&demo, "a") == 1).await;
        send_booking(&demo, 0, "b", "slot 2").await
    });
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (201, 201), "{}", second.body);
    assert_eq!((run_count(&demo, "a"), run_count(&demo, "b")), (1, 1));
}
