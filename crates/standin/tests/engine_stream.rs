//! Streams of an engine: output, resumption, cancellation, priorities and prefix cache.

mod common;

use {
    agate_standin::{
        Engine, EngineSettings,
        engine::{RunState, text},
    },
    common::{any, call, chat, content, read, send, wait_until},
    std::time::Duration,
};

const CHAT: &str = "POST /v1/chat/completions";

fn expected(content: &str, count: u32) -> String {
    text::response_text(&text::line("user", content), count)
}

fn slow() -> EngineSettings {
    EngineSettings { slots: 1, gap: Duration::from_millis(20), ..Default::default() }
}

#[tokio::test]
async fn complete_stream() {
    let engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    let response = call(engine.address(), CHAT, "x-request-id: r1\r\n", &chat("hello", 8, 0)).await;
    assert_eq!(content(&response), expected("hello", 8));
    assert!(response.contains("data: [DONE]") && response.contains("\"completion_tokens\":8"));
    assert!(response.contains("x-request-id: r1") && response.contains("x-load: running="));
    let log = engine.log();
    assert_eq!((log[0].state, log[0].tokens, log[0].key_seen), (RunState::Finished, 8, false));
}

/// A stream that breaks off and resumes at another engine has the same output as a complete one.
#[tokio::test]
async fn resumed_stream() {
    let first_engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    let second_engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    first_engine.set(|f| f.cut_after = Some(3));
    let head = call(first_engine.address(), CHAT, "", &chat("hello", 8, 0)).await;
    assert!(!head.contains("[DONE]"));
    let tail = call(second_engine.address(), CHAT, "", &chat("hello", 8, 3)).await;
    assert_eq!(content(&head) + &content(&tail), expected("hello", 8));
}

/// A caller that disconnects ends its run and frees the slot.
#[tokio::test]
async fn caller_disconnects() {
    let engine = Engine::bind(any(), slow()).await.unwrap();
    let conn = send(engine.address(), CHAT, "x-request-id: r1\r\n", &chat("a", 10_000, 0)).await;
    wait_until(|| engine.log().first().is_some_and(|e| e.tokens > 1)).await;
    drop(conn);
    wait_until(|| engine.load().running == 0).await;
    assert_eq!(engine.log()[0].state, RunState::Dropped);
}

/// Cancelling a request frees its slot for the next one.
#[tokio::test]
async fn cancel_frees_slot() {
    let engine = Engine::bind(any(), slow()).await.unwrap();
    let first = send(engine.address(), CHAT, "x-request-id: r1\r\n", &chat("a", 10_000, 0)).await;
    wait_until(|| engine.load().running == 1).await;
    let second = send(engine.address(), CHAT, "x-request-id: r2\r\n", &chat("b", 2, 0)).await;
    wait_until(|| engine.load().waiting == 1).await;
    let done = call(engine.address(), "POST /v1/cancel", "", r#"{"id":"r1"}"#).await;
    assert!(done.starts_with("HTTP/1.1 204"));
    assert_eq!(content(&read(second).await), expected("b", 2));
    assert!(read(first).await.contains("cancelled"));
    assert_eq!(engine.log()[0].state, RunState::Cancelled);
}

/// Waiting requests get the slot by priority, then in order of arrival.
#[tokio::test]
async fn priority_order() {
    let engine = Engine::bind(any(), slow()).await.unwrap();
    let first = send(engine.address(), CHAT, "x-request-id: r0\r\n", &chat("a", 10_000, 0)).await;
    wait_until(|| engine.load().running == 1).await;
    let mut waiting = Vec::new();
    for (n, priority) in [0, 5, 5, 9].into_iter().enumerate() {
        let head = format!("x-request-id: w{n}\r\nx-priority: {priority}\r\n");
        waiting.push(send(engine.address(), CHAT, &head, &chat("b", 1, 0)).await);
        wait_until(|| engine.load().waiting == n + 1).await;
    }
    drop(first);
    for conn in waiting {
        read(conn).await;
    }
    let order: Vec<_> = engine.log().into_iter().map(|e| e.id).collect();
    assert_eq!(order, ["r0", "w3", "w1", "w2", "w0"]);
}

/// A repeated prompt is found in the prefix cache, apart from its last incomplete block.
#[tokio::test]
async fn cached_prefix() {
    let engine = Engine::bind(any(), EngineSettings::default()).await.unwrap();
    let long = "word ".repeat(100);
    for _ in 0..2 {
        call(engine.address(), CHAT, "", &chat(&long, 1, 0)).await;
    }
    let log = engine.log();
    assert_eq!(log[0].cached, 0);
    assert!(log[1].cached >= log[1].prompt - text::BLOCK_TOKENS);
    let events = call(engine.address(), "GET /cache/events?after=0", "", "").await;
    assert!(events.contains("\"sequence\":1"));
}
