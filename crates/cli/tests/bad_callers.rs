//! Callers that send what is not a proper HTTP/1.1 request, over raw sockets.

mod support;

use {
    agate_cli::{demo::Demo, settings::RequestLimits},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    support::{KEY, Reply, start_bounded},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time that a reply may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time in which a header section must arrive in these tests.
const ARRIVAL: Duration = Duration::from_millis(300);
/// Callers that hold a connection open at once.
const SLOW_CALLERS: usize = 300;

async fn start() -> Demo {
    let bounds = RequestLimits { arrival: ARRIVAL, ..support::bounds() };
    start_bounded(1, bounds, |_| {}).await
}

/// Sends `parts` on one connection, each after a reply to the one before has begun, and returns all
/// that came until the instance closed it.
async fn exchange(to: SocketAddr, parts: &[String]) -> String {
    let mut io = TcpStream::connect(to).await.expect("the instance accepts connections");
    let mut got = vec![0; 65536];
    let mut all = String::new();
    for (i, part) in parts.iter().enumerate() {
        io.write_all(part.as_bytes()).await.expect("the instance reads");
        if i + 1 < parts.len() {
            let n = timeout(PATIENCE, io.read(&mut got)).await.expect("a reply").expect("a reply");
            all += &String::from_utf8_lossy(&got[..n]);
        }
    }
    let mut rest = Vec::new();
    let read = timeout(PATIENCE, io.read_to_end(&mut rest)).await.expect("an end");
    read.expect("an orderly close");
    all + &String::from_utf8_lossy(&rest)
}

/// Divides what came on a connection into replies; each has a stated length.
fn replies(mut text: &str) -> Vec<Reply> {
    let mut out = Vec::new();
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        let mut lines = head.lines();
        let status = lines.next().and_then(|l| l.split(' ').nth(1)).expect("a status line");
        let fields = lines.filter_map(|l| l.split_once(": "));
        let headers: http::HeaderMap = fields
            .map(|(n, v)| (n.parse().expect("a name"), v.parse().expect("a value")))
            .collect();
        let length: usize = headers["content-length"].to_str().expect("a number").parse().unwrap();
        let (body, rest) = rest.split_at(length);
        let status = status.parse().expect("a status");
        out.push(Reply { status, headers, body: body.into(), whole: true });
        text = rest;
    }
    assert!(text.is_empty(), "left over: {text}");
    out
}

fn booking(head: &str) -> String {
    let key = format!("authorization: Bearer {KEY}\r\nidempotency-key: bad\r\n");
    format!("POST /orders/9 HTTP/1.1\r\nhost: x\r\n{key}{head}")
}

fn runs(demo: &Demo) -> usize {
    demo.services.iter().map(|s| s.runs().values().sum::<usize>()).sum()
}

/// Checks a refusal's status, code, word on the execution, and counter.
fn refused(demo: &Demo, reply: &Reply, status: u16, code: &str) {
    assert_eq!((reply.status.as_u16(), reply.code().as_str()), (status, code), "{reply:?}");
    assert_eq!(
        (reply.run().as_str(), &reply.headers["x-not-run"]),
        ("not_run", &"true".parse().unwrap())
    );
    assert_eq!(reply.headers["content-type"], "application/json");
    assert_eq!(
        reply.json()["error"]["request_id"],
        reply.headers["x-request-id"].to_str().unwrap()
    );
    let counted = format!("agatetrack_refusals_total{{reason=\"{code}\"}} 1\n");
    assert!(demo.instances[0].gate.meter.text().contains(&counted));
    assert_eq!(runs(demo), 0);
}

#[rstest]
#[case::slow_headers(booking("x-a: 1\r\n"), 408, "request_timeout")]
#[case::slow_line("POST /ord".into(), 408, "request_timeout")]
#[case::large_header(booking(&format!("x-a: {}\r\n\r\n", "a".repeat(40_000))), 431, "headers_too_large")]
#[case::endless_header(booking(&format!("x-a: {}", "a".repeat(40_000))), 431, "headers_too_large")]
#[case::many_headers(booking(&("x-a: 1\r\n".repeat(200) + "\r\n")), 431, "headers_too_large")]
#[case::long_target(format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(40_000)), 431, "headers_too_large")]
#[case::two_lengths(
    booking("content-length: 2\r\ncontent-length: 3\r\n\r\nabc"),
    400,
    "framing_invalid"
)]
#[case::bad_length(booking("content-length: -1\r\n\r\n"), 400, "framing_invalid")]
#[case::bad_coding(booking("transfer-encoding: gzip\r\n\r\nabc"), 400, "framing_invalid")]
#[case::old_chunked("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".into(), 400, "framing_invalid")]
#[case::bad_name(booking("bad name: 1\r\n\r\n"), 400, "framing_invalid")]
#[case::no_http("hello there\r\n\r\n".into(), 400, "framing_invalid")]
#[case::newer_http("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(), 400, "framing_invalid")]
#[case::bad_chunk(booking("transfer-encoding: chunked\r\n\r\nzz\r\nabc"), 400, "framing_invalid")]
#[tokio::test]
async fn refused_requests(#[case] sent: String, #[case] status: u16, #[case] code: &str) {
    let demo = start().await;
    let got = replies(&exchange(demo.instances[0].address(), &[sent]).await);
    assert_eq!(got.len(), 1, "{got:?}");
    refused(&demo, &got[0], status, code);
}

/// A kept connection has the same bounds on every request.
#[rstest]
#[case::slow(booking("x-a: 1\r\n"), 408, "request_timeout")]
#[case::malformed(
    booking("content-length: 2\r\ncontent-length: 3\r\n\r\nabc"),
    400,
    "framing_invalid"
)]
#[tokio::test]
async fn later_requests(#[case] sent: String, #[case] status: u16, #[case] code: &str) {
    let demo = start().await;
    let first = "GET /catalogue/1 HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
    let got = replies(&exchange(demo.instances[0].address(), &[first, sent]).await);
    assert_eq!((got.len(), got[0].status.as_u16()), (2, 200), "{got:?}");
    assert_eq!(
        (got[1].status.as_u16(), got[1].code().as_str(), got[1].run().as_str()),
        (status, code, "not_run")
    );
}

/// A connection on which nothing was begun is closed without a reply.
#[tokio::test]
async fn idle_connection() {
    let demo = start().await;
    assert_eq!(exchange(demo.instances[0].address(), &[]).await, "");
}

/// The chunked encoding overrides a stated length, and nothing after the request is taken as
/// another one.
#[rstest]
#[case::length_first("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n")]
#[tokio::test]
async fn two_framings(#[case] head: &str) {
    let demo = start().await;
    let hidden = booking("content-length: 1\r\n\r\nx")
        .replace("idempotency-key: bad", "idempotency-key: hidden");
    let sent = booking(head) + &hidden;
    let got = replies(&exchange(demo.instances[0].address(), &[sent]).await);
    assert_eq!((got.len(), got[0].status.as_u16()), (1, 201), "{got:?}");
    assert_eq!((&got[0].headers["connection"], runs(&demo)), (&"close".parse().unwrap(), 1));
}

/// Callers that never end their header section keep nobody else from being served.
#[tokio::test]
async fn many_slow() {
    let bounds = RequestLimits { arrival: PATIENCE, ..support::bounds() };
    let demo = start_bounded(1, bounds, |_| {}).await;
    let mut held = Vec::new();
    for _ in 0..SLOW_CALLERS {
        let mut io = TcpStream::connect(demo.instances[0].address()).await.expect("accepted");
        io.write_all(b"POST /").await.expect("the instance reads");
        held.push(io);
    }
    let call = support::Call::new("GET", "/catalogue/1", "").unkeyed();
    assert_eq!(call.send(demo.instances[0].address()).await.status, 200);
}
