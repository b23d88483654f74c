//! Responses that end inside their heads.

use {
    agate_transport::{
        call::ServiceClient,
        exchange::{self, ResponseMarkers, TimeLimits},
        link::Pool,
        proof::{Grant, NotRunProof},
    },
    bytes::Bytes,
    http::{HeaderName, Method, Request},
    http_body_util::Full,
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const LIMIT: Duration = Duration::from_secs(5);
const BODY: &str = "whole";

/// Head of a response, whose body has a length, chunks or ends with the connection.
fn head(framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: r1\r\n{framing}\r\n")
}

/// Server that answers each connection with `text` and closes it, after a whole response to a first
/// request if there are to be two.
async fn serve(text: String, requests: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            let text = text.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                if requests == 2 {
                    let _ = io.read(&mut request).await?;
                    let whole = format!("{}{BODY}", head("content-length: 5\r\n"));
                    io.write_all(whole.as_bytes()).await?;
                }
                let _ = io.read(&mut request).await?;
                io.write_all(text.as_bytes()).await?;
                io.shutdown().await
            });
        }
    });
    address
}

async fn exchange(pool: &Arc<Pool>) -> Result<Bytes, ()> {
    let markers = ResponseMarkers { id: HeaderName::from_static("id"), not_run: |_| false };
    let limits = TimeLimits { fresh: LIMIT, reused: LIMIT, max_idle: LIMIT, abandon: false };
    let mut request = Request::new(Full::new(Bytes::from_static(b"x")));
    *request.method_mut() = Method::POST;
    let grant = Grant::First(NotRunProof::accept());
    let sent = exchange::send(pool, request, "r1", &markers, grant, limits).await;
    let response = sent.map_err(|failure| {
        // The endpoint got the request, so it may have run.
        assert!(failure.grant.is_none() || failure.unsent(), "{failure:?}");
    })?;
    let (_, body) = response.collect(1 << 10, LIMIT).await.map_err(drop)?;
    Ok(body)
}

/// Wherever a head ends, the response counts as lost, on a new and on a reused connection.
#[rstest]
#[case::length("content-length: 5\r\n")]
#[case::chunks("transfer-encoding: chunked\r\n")]
#[case::unframed("")]
#[tokio::test]
async fn each_position(#[case] framing: &str, #[values(1, 2)] requests: usize) {
    let head = head(framing);
    for end in 0..head.len() {
        let address = serve(head[..end].to_owned(), requests).await;
        let pool = Arc::new(Pool::new(address));
        if requests == 2 {
            assert_eq!(exchange(&pool).await, Ok(Bytes::from_static(BODY.as_bytes())));
            while pool.idle() == 0 {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(exchange(&pool).await, Err(()), "ended after {:?}", &head[..end]);
        let client = ServiceClient::new(address, 1 << 10);
        if requests == 2 {
            client.call(Method::GET, "/", Bytes::new(), LIMIT).await.expect("a whole response");
        }
        let called = client.call(Method::GET, "/", Bytes::new(), LIMIT).await;
        assert!(called.is_err(), "{called:?} after {:?}", &head[..end]);
    }
}
