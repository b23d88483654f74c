//! What an instance tells about its recent decisions.

mod support;

use {
    agate_cli::demo::Demo,
    agate_flow::decision::{Decision, KEPT},
    std::process::{Command, Output},
    support::{Call, ask, keep, start, until},
};

fn found(demo: &Demo, of: &str) -> Vec<std::sync::Arc<Decision>> {
    demo.instances[0].gate.ring.find(of, KEPT)
}

/// The note of the request that `reply` answered; it is there once the last byte was sent.
async fn note(demo: &Demo, reply: &support::Reply) -> std::sync::Arc<Decision> {
    let id = reply.headers["x-request-id"].to_str().expect("an id").to_owned();
    until("the note is there", || !found(demo, &id).is_empty()).await;
    found(demo, &id).remove(0)
}

#[tokio::test]
async fn answered_request() {
    let demo = start(1, |_| {}).await;
    let reply = ask("a question", 8, true).send(demo.instances[0].address()).await;
    let note = note(&demo, &reply).await;
    assert_eq!((&*note.end, note.run, note.tries.len()), ("answered", None, 1), "{note:?}");
    assert_eq!(note.org.as_deref(), Some("palmse"));
    assert_eq!(note.route.as_deref(), Some("/v1/chat/completions"));
    let attempt = &note.tries[0];
    assert!(attempt.predicted > 0 && attempt.retry.is_none() && !attempt.full, "{attempt:?}");
    let endpoints = &demo.document.fleet.endpoints;
    assert_eq!(endpoints[&*attempt.endpoint].zone, *attempt.zone);
}

#[tokio::test]
async fn retried_request() {
    let demo = start(1, |d| keep(d, "order-desk", 2)).await;
    demo.services[0].tap().refuse();
    demo.services[1].tap().refuse();
    let reply = Call::new("POST", "/orders/9", "b").send(demo.instances[0].address()).await;
    let note = note(&demo, &reply).await;
    assert_eq!((&*note.end, reply.code()), ("no_endpoint", "no_endpoint".into()), "{note:?}");
    assert!(note.tries.len() > 1, "{note:?}");
    let (last, first) = note.tries.split_last().expect("attempts");
    assert!(first.iter().all(|t| t.retry.as_deref() == Some("connect_failed")), "{note:?}");
    assert!(last.retry.is_none(), "{note:?}");
}

/// A refusal is noted with its reason; no note holds a key, a body or a query.
#[tokio::test]
async fn refused_requests() {
    let demo = start(1, |_| {}).await;
    let address = demo.instances[0].address();
    let call = Call::new("POST", "/orders/9?secret=query", "secret body").unkeyed();
    let reply = call.header("authorization", "Bearer secret-key").send(address).await;
    let text = format!("{:?}", note(&demo, &reply).await);
    assert!(text.contains("key_invalid") && text.contains("NotRun"), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

/// Only the newest notes are kept.
#[tokio::test]
async fn bounded_memory() {
    let demo = start(1, |_| {}).await;
    let address = demo.instances[0].address();
    let oldest = Call::new("GET", "/nowhere", "").send(address).await;
    note(&demo, &oldest).await;
    for _ in 0..KEPT {
        Call::new("DELETE", "/orders/9", "").send(address).await;
    }
    let id = oldest.headers["x-request-id"].to_str().expect("an id");
    until("the oldest note is gone", || found(&demo, id).is_empty()).await;
}

fn explain(of: &str, args: &[&str]) -> Output {
    let command =
        Command::new(env!("CARGO_BIN_EXE_agatetrack")).args(["explain", of]).args(args).output();
    command.expect("the binary runs")
}

#[tokio::test(flavor = "multi_thread")]
async fn from_command() {
    let demo = start(2, |_| {}).await;
    for instance in &demo.instances {
        let reply = ask("a question", 8, true).send(instance.address()).await;
        assert!(reply.ended());
    }
    until("both notes are there", || {
        demo.instances.iter().all(|i| i.gate.ring.find("palmse", 1).len() == 1)
    })
    .await;
    let operators: Vec<String> = demo.instances.iter().map(|i| i.operator().to_string()).collect();
    let args = ["--operator", &operators[0], "--operator", &operators[1]];
    let text = String::from_utf8(explain("palmse", &args).stdout).expect("text");
    assert_eq!(text.matches("answered").count(), 2, "{text}");
    let json = explain("palmse", &[&args[..], &["--output", "json"]].concat()).stdout;
    let json: serde_json::Value = serde_json::from_slice(&json).expect("JSON");
    assert_eq!(json.as_array().map(Vec::len), Some(2), "{json}");
    assert!(json[0]["tries"][0]["predicted"].as_u64() > Some(0), "{json}");
    assert_eq!(explain("nobody", &args).status.code(), Some(1));
}
