//! Outcomes of orders, and that nothing of an order is delivered after its end.

use {
    agate_ctl::{Role, Verb},
    agate_order::{Order, Outcome, give, read},
    agate_standin::{Engine, EngineSettings},
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

const LIFE: Duration = Duration::from_secs(5);
/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

async fn engine(order_time: Duration) -> Engine {
    let role = "decode".into();
    let settings = EngineSettings { role, order_time, ..EngineSettings::default() };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Engine::bind(any, settings).await.expect("the engine starts")
}

fn order(fence: u64, verb: Verb) -> Order {
    Order { id: format!("{fence}"), fence, verb }
}

async fn until(met: impl Fn() -> bool) {
    let start = Instant::now();
    while !met() {
        assert!(start.elapsed() < PATIENCE, "waited in vain");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn order_taken() {
    let engine = engine(Duration::ZERO).await;
    for verb in [Verb::Drain, Verb::Role(Role::Prefill)] {
        let outcome = give(engine.address(), &order(3, verb), LIFE, Arc::new(|| true)).await;
        assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    }
    let reading = read(engine.address(), LIFE).await.expect("the engine answers");
    assert_eq!((reading.role, reading.draining, reading.busy), (Role::Prefill, true, false));
    let outcome = give(engine.address(), &order(2, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Stale), "{outcome:?}");
    assert!(read(engine.address(), LIFE).await.expect("the engine answers").draining);
}

#[tokio::test]
async fn engine_busy() {
    let engine = engine(LIFE / 2).await;
    let (drain, address) = (order(1, Verb::Drain), engine.address());
    let first = tokio::spawn(async move { give(address, &drain, LIFE, Arc::new(|| true)).await });
    until(|| engine.orders().len() == 1).await;
    assert!(read(address, LIFE).await.expect("the engine answers").busy);
    let outcome = give(address, &order(1, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Busy), "{outcome:?}");
    let outcome = first.await.expect("no panic");
    assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
}

#[rstest]
#[case::no_authority(false, false)]
#[case::engine_down(true, true)]
#[tokio::test]
async fn nothing_sent(#[case] authority: bool, #[case] down: bool) {
    let engine = engine(Duration::ZERO).await;
    if down {
        engine.tap().refuse();
    }
    let drain = order(1, Verb::Drain);
    let outcome = give(engine.address(), &drain, LIFE, Arc::new(move || authority)).await;
    assert!(matches!(outcome, Outcome::Unsent(_)), "{outcome:?}");
    assert!(engine.orders().is_empty());
}

#[rstest]
#[case::expired(false)]
#[case::dropped(true)]
#[tokio::test]
async fn held_up(#[case] dropped: bool) {
    let engine = engine(Duration::ZERO).await;
    engine.tap().set(|f| f.hold = b"POST /admin/order".into());
    let (drain, address) = (order(1, Verb::Drain), engine.address());
    let life = if dropped { PATIENCE } else { LIFE / 10 };
    let given = tokio::spawn(async move { give(address, &drain, life, Arc::new(|| true)).await });
    until(|| engine.tap().held() == 1).await;
    if dropped {
        given.abort();
        assert!(given.await.is_err_and(|e| e.is_cancelled()));
    } else {
        let outcome = given.await.expect("no panic");
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    }
    engine.tap().set(|f| f.hold.clear());
    engine.tap().release();
    // What is still held would be forwarded before this one is answered.
    let outcome = give(address, &order(1, Verb::Undrain), LIFE, Arc::new(|| true)).await;
    assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    let ids: Vec<_> = engine.orders().iter().map(|o| o.kind).collect();
    assert_eq!(ids, [agate_standin::engine::OrderKind::Undrain]);
}
