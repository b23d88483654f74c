//! Each fault of an engine shows in its responses or its log.

mod common;

use {
    agate_standin::{
        Engine, EngineFaults, EngineSettings,
        engine::{OrderKind, RunState},
    },
    common::{any, call, chat, read, send, wait_until},
    rstest::rstest,
    std::time::Duration,
};

const CHAT: &str = "POST /v1/chat/completions";

async fn engine() -> Engine {
    Engine::bind(any(), EngineSettings::default()).await.unwrap()
}

/// A stream breaks off or ends early after two tokens, for one request only.
#[rstest]
#[case::cut(|f: &mut EngineFaults| f.cut_after = Some(2))]
#[case::short(|f: &mut EngineFaults| f.short_end = Some(2))]
#[tokio::test]
async fn broken_stream(#[case] fault: fn(&mut EngineFaults)) {
    let engine = engine().await;
    engine.set(fault);
    engine.set(|f| f.faulty_requests = 1);
    let response = call(engine.address(), CHAT, "", &chat("a", 8, 0)).await;
    assert!(!response.contains("[DONE]"));
    assert_eq!((engine.log()[0].tokens, engine.log()[0].state), (2, RunState::Dropped));
    let response = call(engine.address(), CHAT, "", &chat("a", 8, 0)).await;
    assert!(response.contains("[DONE]"));
}

/// A JSON response whose content-length does not match its body is not received completely.
#[rstest]
#[case::long(5)]
#[case::short(-5)]
#[tokio::test]
async fn wrong_length(#[case] error: i64) {
    let engine = engine().await;
    engine.set(|f| f.length_error = error);
    let body = chat("a", 2, 0).replace("true", "false");
    let response = call(engine.address(), CHAT, "", &body).await;
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let declared = head.lines().find_map(|l| l.strip_prefix("content-length: ")).unwrap();
    let valid_json = serde_json::from_str::<serde_json::Value>(body).is_ok();
    assert!(declared.parse::<usize>().unwrap() != body.len() || !valid_json);
}

/// A request that crashes the engine ends all running requests; connections are refused until the
/// restart.
#[tokio::test]
async fn request_crash() {
    let engine = engine().await;
    engine.set(|f| f.crash_text = Some("boom".into()));
    let neighbour = send(engine.address(), CHAT, "", &chat("calm", 10_000, 0)).await;
    wait_until(|| engine.load().running == 1).await;
    assert!(call(engine.address(), CHAT, "", &chat("boom", 1, 0)).await.is_empty());
    assert!(!read(neighbour).await.contains("[DONE]"));
    assert!(engine.log().iter().all(|e| e.state == RunState::Crashed));
    wait_until(|| std::net::TcpStream::connect(engine.address()).is_err()).await;
    engine.restart();
    wait_until(|| std::net::TcpStream::connect(engine.address()).is_ok()).await;
    assert!(call(engine.address(), CHAT, "", &chat("calm", 1, 0)).await.contains("[DONE]"));
}

/// A refusal states that the request did not run, and nothing is logged.
#[tokio::test]
async fn stated_not_run() {
    let engine = engine().await;
    engine.set(|f| f.not_run = true);
    let response = call(engine.address(), CHAT, "", &chat("a", 1, 0)).await;
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("x-not-run: true"));
    assert!(engine.log().is_empty());
}

#[tokio::test]
async fn wrong_id() {
    let engine = engine().await;
    engine.set(|f| f.wrong_id = true);
    let response = call(engine.address(), CHAT, "x-request-id: r1\r\n", &chat("a", 1, 0)).await;
    assert!(response.contains("x-request-id: crossed-r1"));
}

/// A load report with a lag does not show the current requests.
#[tokio::test]
async fn lagging_load() {
    let engine = engine().await;
    engine.set(|f| f.load_lag = Duration::from_secs(3600));
    let _conn = send(engine.address(), CHAT, "", &chat("a", 10_000, 0)).await;
    wait_until(|| engine.load().running == 1).await;
    assert!(call(engine.address(), "GET /load", "", "").await.contains("\"running\":0"));
}

/// Dropped cache events leave gaps in the sequence numbers.
#[tokio::test]
async fn lost_events() {
    let engine = engine().await;
    engine.set(|f| f.lose_events = 2);
    for i in 0..4 {
        call(engine.address(), CHAT, "", &chat(&format!("{i}").repeat(200), 1, 0)).await;
    }
    let events = call(engine.address(), "GET /cache/events?after=0", "", "").await;
    assert!(events.contains("\"sequence\":3") && !events.contains("\"sequence\":2"));
}

/// An order with a stale fencing token is refused, unless the engine ignores or does not use
/// tokens.
#[rstest]
#[case::fenced(true, false, "409")]
#[case::ignoring(true, true, "200")]
#[case::unfenced(false, false, "200")]
#[tokio::test]
async fn stale_fence(#[case] fenced: bool, #[case] ignore: bool, #[case] status: &str) {
    let settings = EngineSettings { fenced, ..Default::default() };
    let engine = Engine::bind(any(), settings).await.unwrap();
    engine.set(|f| f.ignore_fence = ignore);
    let line = "POST /admin/order";
    let new = call(engine.address(), line, "", r#"{"fence":7,"id":"a","kind":"drain"}"#).await;
    assert!(new.starts_with("HTTP/1.1 200"));
    let old = call(engine.address(), line, "", r#"{"fence":6,"id":"b","kind":"undrain"}"#).await;
    assert!(old.starts_with(&format!("HTTP/1.1 {status}")));
    let orders = engine.orders();
    assert_eq!((orders[1].previous_fence, orders[1].kind), (7, OrderKind::Undrain));
}

/// The engine crashes during an order, which is then not completed and gets no response.
#[tokio::test]
async fn order_crash() {
    let engine = engine().await;
    engine.set(|f| f.crash_order = true);
    let body = r#"{"fence":1,"id":"a","kind":"role","role":"decode"}"#;
    let response = call(engine.address(), "POST /admin/order", "", body).await;
    assert!(response.is_empty());
    assert_eq!((engine.orders()[0].done, engine.crashes()), (false, 1));
}
