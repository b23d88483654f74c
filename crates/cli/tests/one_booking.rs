//! A booking runs at most once, whichever instances are asked and whatever fails.

mod support;

use {
    agate_cli::demo::Demo,
    std::time::Duration,
    support::{Call, Reply, keep, start, until},
};

fn runs(demo: &Demo, booking: &str) -> usize {
    demo.services.iter().map(|s| s.runs().get(booking).copied().unwrap_or(0)).sum()
}

async fn book(demo: &Demo, instance: usize, key: &str, body: &str) -> Reply {
    let call = Call::new("POST", "/orders/9", body.to_owned()).header("idempotency-key", key);
    call.send(demo.instances[instance].address()).await
}

#[tokio::test]
async fn replayed_answer() {
    let demo = start(2, |_| {}).await;
    let first = book(&demo, 0, "k", "slot 1").await;
    let again = book(&demo, 1, "k", "slot 1").await;
    assert_eq!((first.status.as_u16(), again.status.as_u16()), (201, 201));
    assert_eq!(first.body, again.body);
    assert!(again.headers.contains_key("x-replayed"));
    assert_eq!(runs(&demo, "k"), 1);
}

#[tokio::test]
async fn asked_at_once() {
    let demo = start(3, |_| {}).await;
    let (a, b, c) = tokio::join!(
        book(&demo, 0, "k", "slot 1"),
        book(&demo, 1, "k", "slot 1"),
        book(&demo, 2, "k", "slot 1"),
    );
    assert_eq!(runs(&demo, "k"), 1);
    assert!([&a, &b, &c].iter().all(|r| r.status == 201 && r.body == a.body), "{a:?} {b:?} {c:?}");
}

#[tokio::test]
async fn other_body() {
    let demo = start(2, |_| {}).await;
    assert_eq!(book(&demo, 0, "k", "slot 1").await.status, 201);
    let other = book(&demo, 1, "k", "slot 2").await;
    assert_eq!((other.code().as_str(), other.run().as_str()), ("claim_conflict", "not_run"));
    assert_eq!(runs(&demo, "k"), 1);
}

#[tokio::test]
async fn other_organisation() {
    let demo = start(1, |_| {}).await;
    assert_eq!(book(&demo, 0, "k", "slot 1").await.status, 201);
    let call = Call::new("POST", "/orders/9", "slot 1").header("idempotency-key", "k");
    let call = call.header("authorization", "Bearer demo-kolga-key");
    let other = call.send(demo.instances[0].address()).await;
    assert_eq!(other.status, 201);
    assert!(
        !other.headers.contains_key("x-replayed"),
        "another organisation's answer was replayed"
    );
}

#[tokio::test]
async fn required_key() {
    let demo = start(1, |_| {}).await;
    let reply = Call::new("POST", "/deposits", "{}").send(demo.instances[0].address()).await;
    assert_eq!((reply.code().as_str(), reply.run().as_str()), ("claim_key_missing", "not_run"));
}

/// Without the store a booking is refused as not run, and runs once when the store is back.
#[tokio::test]
async fn store_down() {
    let demo = start(2, |_| {}).await;
    demo.platform.set(|f| f.outage = true);
    let refused = book(&demo, 0, "k", "slot 1").await;
    assert_eq!((refused.code().as_str(), refused.run().as_str()), ("claim_unavailable", "not_run"));
    assert_eq!(runs(&demo, "k"), 0);
    demo.platform.set(|f| f.outage = false);
    let mut status = 503;
    for _ in 0..200 {
        status = book(&demo, 1, "k", "slot 1").await.status.as_u16();
        if status == 201 {
            break;
        }
    }
    assert_eq!((status, runs(&demo, "k")), (201, 1));
}

/// The store's answer is lost after the claim took effect: the claim is resolved, the call runs
/// once.
#[tokio::test]
async fn claim_answer_lost() {
    let demo = start(2, |_| {}).await;
    demo.platform.set(|f| f.lose_acks = 1);
    book(&demo, 0, "k", "slot 1").await;
    book(&demo, 1, "k", "slot 1").await;
    assert!(runs(&demo, "k") <= 1);
}

/// A run whose answer was lost is never repeated: its outcome is unknown, on every instance.
#[tokio::test]
async fn outcome_unknown() {
    let demo = start(2, |_| {}).await;
    demo.services.iter().for_each(|s| s.tap().set(|f| f.cut_after = Some(0)));
    let first = book(&demo, 0, "k", "slot 1").await;
    assert_eq!(first.run(), "unknown");
    demo.services.iter().for_each(|s| s.tap().set(|f| f.cut_after = None));
    let again = book(&demo, 1, "k", "slot 1").await;
    assert_eq!((again.code().as_str(), again.run().as_str()), ("claim_outcome_unknown", "unknown"));
    assert!(runs(&demo, "k") <= 1);
}

/// The caller leaves while its booking runs: the run goes on and its answer is there later.
#[tokio::test]
async fn caller_left() {
    let demo = start(1, |_| {}).await;
    demo.services.iter().for_each(|s| s.set(|f| f.late_reply = Duration::from_millis(300)));
    let to = demo.instances[0].address();
    let call = Call::new("POST", "/orders/9", "slot 1").header("idempotency-key", "k").send(to);
    let caller = tokio::spawn(call);
    until("the booking ran", || runs(&demo, "k") == 1).await;
    caller.abort();
    let again = book(&demo, 0, "k", "slot 1").await;
    assert_eq!((again.status.as_u16(), runs(&demo, "k")), (201, 1), "{}", again.body);
}

/// A booking that waits in the queue for longer than its claim may be sent is sent when its turn
/// comes, once.
#[tokio::test]
async fn long_queue() {
    let demo = start(1, |d| {
        keep(d, "order-desk", 1);
        d.fleet.pools["order-desk"].slots = 1;
    })
    .await;
    let wait = agate_once::Settings::new(0).dispatch + Duration::from_millis(500);
    demo.services.iter().for_each(|s| s.set(|f| f.late_reply = wait));
    let (first, second) = tokio::join!(book(&demo, 0, "a", "slot 1"), async {
        until("the first runs", || runs(&demo, "a") == 1).await;
        book(&demo, 0, "b", "slot 2").await
    });
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (201, 201), "{}", second.body);
    assert_eq!((runs(&demo, "a"), runs(&demo, "b")), (1, 1));
}
