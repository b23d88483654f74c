//! Malformed, slow and oversized HTTP/1.1 requests, sent over raw sockets.

mod support;

use {
    agate_cli::{demo::Demo, settings::RequestLimits},
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    support::{ClientResponse, KEY, start_with_limits},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Time after which a missing response fails a test.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for header sections in these tests.
const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// Clients that keep a connection open at the same time.
const SLOW_CLIENTS: usize = 300;

async fn start() -> Demo {
    let bounds = RequestLimits { arrival: HEADER_TIMEOUT, ..support::request_limits() };
    start_with_limits(1, bounds, |_| {}).await
}

/// Sends `parts` on one connection, each after the response to the previous one has begun, and
/// returns everything received until the instance closes the connection.
async fn exchange(to: SocketAddr, parts: &[String]) -> String {
    let mut io = TcpStream::connect(to).await.expect("the instance accepts connections");
    let mut got = vec![0; 65536];
    let mut all = String::new();
    for (i, part) in parts.iter().enumerate() {
        io.write_all(part.as_bytes()).await.expect("the instance reads");
        if i + 1 < parts.len() {
            let n = timeout(RESPONSE_TIMEOUT, io.read(&mut got))
                .await
                .expect("a response")
                .expect("a response");
            all += &String::from_utf8_lossy(&got[..n]);
        }
    }
    let mut rest = Vec::new();
    let read = timeout(RESPONSE_TIMEOUT, io.read_to_end(&mut rest)).await.expect("an end");
    read.expect("an orderly close");
    all + &String::from_utf8_lossy(&rest)
}

/// Splits the received text into responses; each has a content length.
fn parse_responses(mut text: &str) -> Vec<ClientResponse> {
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
        out.push(ClientResponse { status, headers, body: body.into(), complete: true });
        text = rest;
    }
    assert!(text.is_empty(), "left over: {text}");
    out
}

fn booking_request(head: &str) -> String {
    let key = format!("authorization: Bearer {KEY}\r\nidempotency-key: bad\r\n");
    format!("POST /orders/9 HTTP/1.1\r\nhost: x\r\n{key}{head}")
}

fn runs(demo: &Demo) -> usize {
    demo.services.iter().map(|s| s.runs().values().sum::<usize>()).sum()
}

/// Checks a refusal's status, code, execution status, headers and counter.
fn assert_refused(demo: &Demo, response: &ClientResponse, status: u16, code: &str) {
    assert_eq!(
        (response.status.as_u16(), response.code().as_str()),
        (status, code),
        "{response:?}"
    );
    assert_eq!(
        (response.run().as_str(), &response.headers["x-not-run"]),
        ("not_run", &"true".parse().unwrap())
    );
    assert_eq!(response.headers["content-type"], "application/json");
    assert_eq!(
        response.json()["error"]["request_id"],
        response.headers["x-request-id"].to_str().unwrap()
    );
    let counted = format!("agatetrack_refusals_total{{reason=\"{code}\"}} 1\n");
    assert!(demo.instances[0].proxy_state.metrics.text().contains(&counted));
    assert_eq!(runs(demo), 0);
}

#[rstest]
#[case::slow_headers(booking_request("x-a: 1\r\n"), 408, "request_timeout")]
#[case::slow_line("POST /ord".into(), 408, "request_timeout")]
#[case::large_header(booking_request(&format!("x-a: {}\r\n\r\n", "a".repeat(40_000))), 431, "headers_too_large")]
#[case::unterminated_header(booking_request(&format!("x-a: {}", "a".repeat(40_000))), 431, "headers_too_large")]
#[case::many_headers(booking_request(&("x-a: 1\r\n".repeat(200) + "\r\n")), 431, "headers_too_large")]
#[case::long_target(format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(40_000)), 431, "headers_too_large")]
#[case::two_lengths(
    booking_request("content-length: 2\r\ncontent-length: 3\r\n\r\nabc"),
    400,
    "framing_invalid"
)]
#[case::bad_length(booking_request("content-length: -1\r\n\r\n"), 400, "framing_invalid")]
#[case::bad_coding(booking_request("transfer-encoding: gzip\r\n\r\nabc"), 400, "framing_invalid")]
#[case::old_chunked("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".into(), 400, "framing_invalid")]
#[case::bad_name(booking_request("bad name: 1\r\n\r\n"), 400, "framing_invalid")]
#[case::no_http("hello there\r\n\r\n".into(), 400, "framing_invalid")]
#[case::newer_http("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(), 400, "framing_invalid")]
#[case::bad_chunk(
    booking_request("transfer-encoding: chunked\r\n\r\nzz\r\nabc"),
    400,
    "framing_invalid"
)]
#[tokio::test]
async fn refused_requests(#[case] sent: String, #[case] status: u16, #[case] code: &str) {
    let demo = start().await;
    let got = parse_responses(&exchange(demo.instances[0].address(), &[sent]).await);
    assert_eq!(got.len(), 1, "{got:?}");
    assert_refused(&demo, &got[0], status, code);
}

/// Limits that apply only to the first request of a persistent connection.
#[rstest]
#[case::slow(booking_request("x-a: 1\r\n"), 408, "request_timeout")]
#[case::malformed(
    booking_request("content-length: 2\r\ncontent-length: 3\r\n\r\nabc"),
    400,
    "framing_invalid"
)]
#[tokio::test]
async fn reused_connection(#[case] sent: String, #[case] status: u16, #[case] code: &str) {
    let demo = start().await;
    let first = "GET /catalogue/1 HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
    let got = parse_responses(&exchange(demo.instances[0].address(), &[first, sent]).await);
    assert_eq!((got.len(), got[0].status.as_u16()), (2, 200), "{got:?}");
    assert_eq!(
        (got[1].status.as_u16(), got[1].code().as_str(), got[1].run().as_str()),
        (status, code, "not_run")
    );
}

/// An idle connection must be closed without a response.
#[tokio::test]
async fn idle_connection() {
    let demo = start().await;
    assert_eq!(exchange(demo.instances[0].address(), &[]).await, "");
}

/// Request smuggling through conflicting framing. Chunked encoding must override a content length,
/// and bytes after the request must not be taken as another request.
#[rstest]
#[case::length_first("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::length_last("transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n")]
#[tokio::test]
async fn conflicting_framing(#[case] head: &str) {
    let demo = start().await;
    let hidden = booking_request("content-length: 1\r\n\r\nx")
        .replace("idempotency-key: bad", "idempotency-key: hidden");
    let sent = booking_request(head) + &hidden;
    let got = parse_responses(&exchange(demo.instances[0].address(), &[sent]).await);
    assert_eq!((got.len(), got[0].status.as_u16()), (1, 201), "{got:?}");
    assert_eq!((&got[0].headers["connection"], runs(&demo)), (&"close".parse().unwrap(), 1));
}

/// Clients that never finish their header section must not block other clients.
#[tokio::test]
async fn slow_clients() {
    let bounds = RequestLimits { arrival: RESPONSE_TIMEOUT, ..support::request_limits() };
    let demo = start_with_limits(1, bounds, |_| {}).await;
    let mut held = Vec::new();
    for _ in 0..SLOW_CLIENTS {
        let mut io = TcpStream::connect(demo.instances[0].address()).await.expect("accepted");
        io.write_all(b"POST /").await.expect("the instance reads");
        held.push(io);
    }
    let call = support::HttpRequest::new("GET", "/catalogue/1", "").without_key();
    assert_eq!(call.send(demo.instances[0].address()).await.status, 200);
}
