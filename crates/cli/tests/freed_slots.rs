//! What a caller or a path that went away held is freed.

mod support;

use {
    std::time::Duration,
    support::{Call, answer, ask, keep, question, start, until},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

#[rstest::rstest]
#[tokio::test]
async fn caller_gone(#[values(true, false)] stream: bool) {
    let demo = start(1, |d| keep(d, "glaze-oracle", 1)).await;
    let body = question("long", 2000, stream);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer";
    let text = format!("{head} {}\r\ncontent-length: {}\r\n\r\n{body}", support::KEY, body.len());
    let mut io = TcpStream::connect(demo.instances[0].address()).await.expect("connect");
    io.write_all(text.as_bytes()).await.expect("send");
    until("the engine runs it", || demo.engines[0].load().running == 1).await;
    drop(io);
    until("the engine's slot is free", || demo.engines[0].load().running == 0).await;
    until("the request ended", || demo.instances[0].gate.flight.open() == 0).await;
    let log = demo.engines[0].log();
    assert!(log[0].tokens < 2000, "the engine went on to the end");
}

/// Connections that exist go silent while new ones work: callers are answered over new ones.
#[tokio::test]
async fn silent_connections() {
    let demo = start(1, |d| {
        keep(d, "glaze-oracle", 2);
        d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_secs(10));
    })
    .await;
    let to = demo.instances[0].address();
    for _ in 0..4 {
        ask("warm", 2, false).send(to).await;
    }
    let stream = tokio::spawn(ask("long", 300, true).send(to));
    until("the stream runs", || demo.engines.iter().any(|e| e.load().running == 1)).await;
    demo.engines.iter().for_each(|e| e.tap().silence());
    let reply = stream.await.expect("the caller gets a reply");
    assert!(reply.ended(), "{}", reply.body);
    assert_eq!(reply.text(), answer("long", 300));
    let reply = ask("next", 5, false).send(to).await;
    assert_eq!(reply.text(), answer("next", 5), "{}", reply.body);
    assert!(demo.instances[0].gate.meter.silent.get() > 0);
}

/// The same for a plain service with idempotent calls.
#[tokio::test]
async fn silent_service() {
    let demo = start(1, |d| {
        keep(d, "order-desk", 2);
        d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_secs(3));
    })
    .await;
    let to = demo.instances[0].address();
    for i in 0..4 {
        Call::new("GET", &format!("/catalogue/{i}"), "").unkeyed().send(to).await;
    }
    demo.services.iter().for_each(|s| s.tap().silence());
    let reply = Call::new("GET", "/catalogue/9", "").unkeyed().send(to).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}
