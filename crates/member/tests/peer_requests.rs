//! Requests between instances over TCP on the loopback interface.

use {
    agate_member::{Answer, Client, FetchError, Identity, Keys, Query, Reject, Server, serve},
    agate_wire::{Body, Context, Envelope, MAX_RESPONSE, seal},
    futures_util::future::{BoxFuture, FutureExt, ready},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

fn keys(secret: &str) -> Keys {
    Keys::new(&[secret]).unwrap()
}

const SECRET: &str = "the secret of the fleet";

fn respond(query: Query) -> BoxFuture<'static, Answer> {
    let a = match query {
        Query::Chunk { hash } => Answer::Bytes(hash.to_vec()),
        Query::Head => Answer::Bytes(vec![0; MAX_RESPONSE]),
        Query::Other { .. } => Answer::Accepted,
        Query::Usage { .. } => Answer::Absent,
    };
    ready(a).boxed()
}

/// Starts a server at a free address. Another process may take the address first, so binding is
/// retried.
async fn server() -> (Server, SocketAddr) {
    for _ in 0..20 {
        let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = probe.local_addr().unwrap();
        drop(probe);
        let id = Arc::new(Identity::new("server".into(), address, 1));
        if let Ok(s) = serve(id, keys(SECRET), |_, q| respond(q)).await {
            return (s, address);
        }
    }
    panic!("no address could be bound");
}

fn client(secret: &str) -> Client {
    let id = Identity::new("client".into(), ([127, 0, 0, 1], 9).into(), 1);
    Client::new(Arc::new(id), keys(secret))
}

#[tokio::test]
async fn answered_requests() {
    let (s, to) = server().await;
    let c = client(SECRET);
    let got = c.fetch(to, Query::Chunk { hash: [3; 32] }).await.unwrap();
    assert_eq!(got, Answer::Bytes(vec![3; 32]));
    let got = c.fetch(to, Query::Other { topic: "t".into(), bytes: vec![0; 200_000] }).await;
    assert_eq!(got.unwrap(), Answer::Accepted);
    // A response above the limit is refused as a whole, never truncated.
    assert_eq!(c.fetch(to, Query::Head).await.unwrap(), Answer::Refused);
    assert_eq!(s.counters().totals().rejected, [0; Reject::COUNT]);
}

#[tokio::test]
async fn rejected_requests() {
    let (s, to) = server().await;
    let foreign = client("the secret of another fleet").fetch(to, Query::Head).await;
    assert!(matches!(foreign, Err(FetchError::Io { .. })));
    assert_eq!(s.counters().totals().rejected(Reject::Mac), 1);
    let body = Body::Query(Query::Chunk { hash: [1; 32] });
    let e = Envelope { from: "client".into(), incarnation: 1, sequence: 500, body };
    let request = seal(&keys(SECRET), &e, Context::Request(to)).unwrap();
    for replayed in [false, true] {
        let mut stream = TcpStream::connect(to).await.unwrap();
        stream.write_u32(request.len() as u32).await.unwrap();
        stream.write_all(&request).await.unwrap();
        // The connection stays open after a response and is closed without one.
        let size = stream.read_u32().await;
        assert_eq!(size.is_err(), replayed);
    }
    assert_eq!(s.counters().totals().rejected(Reject::Replayed), 1);
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_u32(u32::MAX).await.unwrap();
    let mut got = Vec::new();
    stream.read_to_end(&mut got).await.unwrap();
    assert_eq!(s.counters().totals().rejected(Reject::Large), 1);
    let large = Query::Other { topic: "t".into(), bytes: vec![0; 300_000] };
    assert!(matches!(client(SECRET).fetch(to, large).await, Err(FetchError::Large { .. })));
}

#[tokio::test]
async fn wrong_response() {
    // A server that sends a response with the MAC of another request.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let wrong_server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let body = Body::Answer(Answer::Accepted);
        let e = Envelope { from: "server".into(), incarnation: 1, sequence: 0, body };
        let bytes = seal(&keys(SECRET), &e, Context::Response([7; 16])).unwrap();
        stream.write_u32(bytes.len() as u32).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        stream
    };
    let c = client(SECRET);
    let (got, _stream) = tokio::join!(c.fetch(to, Query::Chunk { hash: [0; 32] }), wrong_server);
    assert!(matches!(got, Err(FetchError::Rejected { reason: Reject::Mac, .. })), "{got:?}");
}
