//! Slots that are never freed after a client disconnects or a connection stalls.

mod support;

use {
    std::time::Duration,
    support::{
        HttpRequest, expected_text, keep_endpoints, model_body, model_request, start, wait_until,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

#[rstest::rstest]
#[tokio::test]
async fn disconnected_client(#[values(true, false)] stream: bool) {
    let demo = start(1, |d| keep_endpoints(d, "glaze-oracle", 1)).await;
    let body = model_body("long", 2000, stream);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer";
    let text = format!("{head} {}\r\ncontent-length: {}\r\n\r\n{body}", support::KEY, body.len());
    let mut io = TcpStream::connect(demo.instances[0].address()).await.expect("connect");
    io.write_all(text.as_bytes()).await.expect("send");
    wait_until("the engine runs it", || demo.engines[0].load().running == 1).await;
    drop(io);
    wait_until("the engine's slot is free", || demo.engines[0].load().running == 0).await;
    wait_until("the request ended", || demo.instances[0].proxy_state.flight.open() == 0).await;
    let log = demo.engines[0].log();
    assert!(log[0].tokens < 2000, "the engine generated the whole response");
}

/// Open connections to the engines stall while new ones work: responses must be completed over new
/// connections.
#[tokio::test]
async fn stalled_connections() {
    let demo = start(1, |d| {
        keep_endpoints(d, "glaze-oracle", 2);
        d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_secs(10));
    })
    .await;
    let to = demo.instances[0].address();
    for _ in 0..4 {
        model_request("warm", 2, false).send(to).await;
    }
    let stream = tokio::spawn(model_request("long", 300, true).send(to));
    wait_until("the stream runs", || demo.engines.iter().any(|e| e.load().running == 1)).await;
    demo.engines.iter().for_each(|e| e.proxy().stall_open());
    let response = stream.await.expect("the caller gets a response");
    assert!(response.is_complete_stream(), "{}", response.body);
    assert_eq!(response.text(), expected_text("long", 300));
    let response = model_request("next", 5, false).send(to).await;
    assert_eq!(response.text(), expected_text("next", 5), "{}", response.body);
    assert!(demo.instances[0].proxy_state.metrics.silent.get() > 0);
}

/// The same for a plain service with idempotent requests.
#[tokio::test]
async fn stalled_service() {
    let demo = start(1, |d| {
        keep_endpoints(d, "order-desk", 2);
        d.routes.iter_mut().for_each(|r| r.deadline = Duration::from_secs(3));
    })
    .await;
    let to = demo.instances[0].address();
    for i in 0..4 {
        HttpRequest::new("GET", &format!("/catalogue/{i}"), "").without_key().send(to).await;
    }
    demo.services.iter().for_each(|s| s.proxy().stall_open());
    let response = HttpRequest::new("GET", "/catalogue/9", "").without_key().send(to).await;
    assert_eq!(response.status, 200, "{}", response.body);
}
