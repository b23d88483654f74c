//! Outcomes of orders. An order whose lease or lifetime ended must not reach the engine later, for
//! example from a buffer of the operating system, since another holder may act by then.

use {
    agate_ctl::{Role, Verb},
    agate_order::{Order, Outcome, read, send_order},
    agate_standin::{Engine, EngineSettings},
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Lifetime of most orders.
const LIFE: Duration = Duration::from_secs(5);
/// Time limit for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

async fn engine(order_time: Duration) -> Engine {
    let role = "decode".into();
    let settings = EngineSettings { role, order_time, ..EngineSettings::default() };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Engine::bind(any, settings).await.expect("the engine starts")
}

fn order(fence: u64, verb: Verb) -> Order {
    Order { id: format!("{fence}"), fence, verb }
}

async fn wait_until(met: impl Fn() -> bool) {
    let start = Instant::now();
    while !met() {
        assert!(start.elapsed() < WAIT_LIMIT, "the condition was not met in time");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn executed_order() {
    let engine = engine(Duration::ZERO).await;
    for verb in [Verb::Drain, Verb::Role(Role::Prefill)] {
        let outcome = send_order(engine.address(), &order(3, verb), LIFE, Arc::new(|| true)).await;
        assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    }
    let reading = read(engine.address(), LIFE).await.expect("the engine responds");
    assert_eq!((reading.role, reading.draining, reading.busy), (Role::Prefill, true, false));
    let outcome =
        send_order(engine.address(), &order(2, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Stale), "{outcome:?}");
    assert!(read(engine.address(), LIFE).await.expect("the engine responds").draining);
}

#[tokio::test]
async fn engine_busy() {
    let engine = engine(LIFE / 2).await;
    let (drain, address) = (order(1, Verb::Drain), engine.address());
    let first =
        tokio::spawn(async move { send_order(address, &drain, LIFE, Arc::new(|| true)).await });
    wait_until(|| engine.orders().len() == 1).await;
    assert!(read(address, LIFE).await.expect("the engine responds").busy);
    let outcome = send_order(address, &order(1, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Busy), "{outcome:?}");
    let outcome = first.await.expect("the task did not panic");
    assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
}

#[rstest]
#[case::no_authority(false, false)]
#[case::engine_down(true, true)]
#[tokio::test]
async fn nothing_sent(#[case] authority: bool, #[case] down: bool) {
    let engine = engine(Duration::ZERO).await;
    if down {
        engine.proxy().refuse();
    }
    let drain = order(1, Verb::Drain);
    let outcome = send_order(engine.address(), &drain, LIFE, Arc::new(move || authority)).await;
    assert!(matches!(outcome, Outcome::Unsent(_)), "{outcome:?}");
    assert!(engine.orders().is_empty());
}

#[rstest]
#[case::expired(false)]
#[case::dropped(true)]
#[tokio::test]
async fn delayed_order(#[case] dropped: bool) {
    let engine = engine(Duration::ZERO).await;
    engine.proxy().set(|f| f.hold = b"POST /admin/order".into());
    let (drain, address) = (order(1, Verb::Drain), engine.address());
    let life = if dropped { WAIT_LIMIT } else { LIFE / 10 };
    let sending =
        tokio::spawn(async move { send_order(address, &drain, life, Arc::new(|| true)).await });
    wait_until(|| engine.proxy().held() == 1).await;
    if dropped {
        sending.abort();
        assert!(sending.await.is_err_and(|e| e.is_cancelled()));
    } else {
        let outcome = sending.await.expect("the task did not panic");
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    }
    engine.proxy().set(|f| f.hold.clear());
    engine.proxy().release();
    // Bytes of the first order that were still held would be forwarded before this one's response.
    let outcome = send_order(address, &order(1, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    let ids: Vec<_> = engine.orders().iter().map(|o| o.kind).collect();
    assert_eq!(ids, [agate_standin::engine::OrderKind::Undrain]);
}
