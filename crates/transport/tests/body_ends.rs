//! What the end of a response's body shows, for each way in which it can end.

use {
    Expected::{Broken, End},
    agate_transport::{
        exchange::{self, Ending, EndpointResponse, ResponseMarkers, TimeLimits},
        link::{IDLE_LIMIT, Pool},
        proof::{Grant, NotRunProof},
    },
    bytes::Bytes,
    http::{HeaderName, Request},
    http_body_util::Full,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The body ends and shows this.
    End(Ending),
    /// The response is broken off or invalid.
    Broken,
}

/// Serves `response` to one request and closes the connection; returns its head as it was received.
async fn open(response: &'static str) -> exchange::Result<EndpointResponse> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let pool = Arc::new(Pool::new(listener.local_addr().expect("an address")));
    tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1 << 10];
        assert!(io.read(&mut request).await.expect("a request") > 0);
        io.write_all(response.as_bytes()).await.expect("a response");
    });
    let markers = ResponseMarkers { id: HeaderName::from_static("request-id"), not_run: |_| false };
    let time_limits =
        TimeLimits { fresh: LIMIT, reused: LIMIT, max_idle: IDLE_LIMIT, abandon: false };
    let request = Request::get("/").body(Full::<Bytes>::default()).expect("a request");
    let grant = Grant::First(NotRunProof::accept());
    exchange::send(&pool, request, "r", &markers, grant, time_limits).await
}

/// Receives `response`; returns how the body ended.
async fn receive(response: &'static str) -> Expected {
    let Ok(mut response) = open(response).await else { return Broken };
    loop {
        match response.next(LIMIT).await {
            Ok(Some(_)) => {}
            Ok(None) => return End(response.ending()),
            Err(_) => return Broken,
        }
    }
}

/// Guards against a body that ends with its connection and counts as one whose end is marked.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", End(Ending::Marked))]
#[case::no_body("HTTP/1.1 204 No Content\r\n\r\n", End(Ending::Marked))]
#[case::empty("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", End(Ending::Marked))]
#[case::short("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbody", Broken)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    End(Ending::Marked)
)]
#[case::no_last_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n", Broken)]
#[case::cut_last_chunk(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
    Broken
)]
#[case::neither("HTTP/1.1 200 OK\r\n\r\nbody", End(Ending::Closed))]
#[case::close("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody", End(Ending::Closed))]
#[case::old("HTTP/1.0 200 OK\r\n\r\nbody", End(Ending::Closed))]
#[case::old_length("HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nbody", End(Ending::Marked))]
#[case::other_coding("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nbody", End(Ending::Closed))]
#[case::coding_after_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\nbody",
    End(Ending::Closed)
)]
#[case::coding_and_length(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ncontent-length: 9\r\n\r\nbody",
    End(Ending::Closed)
)]
#[case::identity("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nbody", End(Ending::Closed))]
#[tokio::test]
async fn framings(#[case] response: &'static str, #[case] expected: Expected) {
    assert_eq!(receive(response).await, expected);
}

/// Guards against chunks of a protocol version that has none, which the client reads until the connection
/// ends.
#[tokio::test]
async fn old_chunks() {
    let response = "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n";
    assert_ne!(receive(response).await, End(Ending::Marked));
}

/// Guards against a body that ends with its connection and is taken for whole where no proof of that is
/// looked for.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", true)]
#[case::neither("HTTP/1.1 200 OK\r\n\r\nbody", false)]
#[case::other_coding("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nbody", false)]
#[tokio::test]
async fn marked_only(#[case] response: &'static str, #[case] whole: bool) {
    let response = open(response).await.expect("a head");
    assert_eq!(response.collect_marked(1 << 10, LIMIT).await.is_ok(), whole);
}
