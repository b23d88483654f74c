//! Connections through a relay, and what it refuses.

use {
    agate_path::{
        DialFn, Paths, Relay, frames,
        handshake::{self, Challenge, Reply, Transfer},
        metrics::Metrics,
    },
    agate_transport::{
        buffer_budget::BufferBudget,
        link::{self, Way},
    },
    agate_view::peers::Peer,
    agate_wire::{Context, Keys, tag_of},
    futures_util::FutureExt,
    rstest::rstest,
    serde::Deserialize,
    std::{
        future::pending,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

const LIMIT: Duration = Duration::from_secs(5);

fn keys(secret: u8) -> Arc<Keys> {
    Arc::new(Keys::new(&[&[secret; 32]]).expect("a long secret"))
}

fn direct() -> Arc<DialFn> {
    Arc::new(|address| link::connect(address).boxed())
}

/// Endpoint that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = io.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    address
}

/// Relay that knows the endpoint `known`.
async fn relay(known: SocketAddr) -> Relay {
    let path = Paths::default().to("known".into(), known);
    let find = move |name: &str| (name == "known").then(|| path.clone());
    let any = "127.0.0.1:0".parse().expect("an address");
    let relay = Relay::bind(any, || Some(keys(1)), find, direct(), Metrics::default()).await;
    relay.expect("a running relay")
}

async fn request(relay: &Relay, secret: u8, name: &str) -> handshake::Result<(TcpStream, Reply)> {
    request_as(Transfer::Plain, relay, secret, name).await
}

async fn request_as(
    transfer: Transfer,
    relay: &Relay,
    secret: u8,
    name: &str,
) -> handshake::Result<(TcpStream, Reply)> {
    let mut io = TcpStream::connect(relay.address()).await.expect("a connection");
    let keys = keys(secret);
    let reply = handshake::request(&mut io, &keys, relay.address(), name, transfer);
    let reply = timeout(LIMIT, reply).await.expect("a reply in time")?;
    Ok((io, reply))
}

/// Bytes pass in both directions, and the end of one side ends the other.
#[tokio::test]
async fn forwarded_bytes() {
    let relay = relay(echo().await).await;
    let (mut io, reply) = request(&relay, 1, "known").await.expect("a reply");
    assert_eq!(reply, Reply::Opened);
    io.write_all(b"there and back").await.expect("written");
    io.shutdown().await.expect("closed");
    let mut text = String::new();
    timeout(LIMIT, io.read_to_string(&mut text)).await.expect("in time").expect("read");
    assert_eq!(text, "there and back");
}

/// How an endpoint ends a connection after its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    /// Never; the relay stops.
    RelayStopped,
}

const TEXT: &str = "some of it";

/// Endpoint that sends `TEXT` on each connection, which it ends.
async fn ending(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            io.write_all(TEXT.as_bytes()).await.expect("written");
            match end {
                End::Closed => {}
                // The bytes arrive before the reset.
                End::Reset => {
                    sleep(Duration::from_millis(50)).await;
                    io.set_zero_linger().expect("an open connection");
                }
                End::RelayStopped => drop(tokio::spawn(async move {
                    pending::<()>().await;
                    drop(io);
                })),
            }
        }
    });
    address
}

/// Guards against taking the end of a relayed connection for the endpoint's, which has broken it off or has
/// not ended it at all. Earlier builds request plain connections.
#[rstest]
#[tokio::test]
async fn ended_connections(
    #[values(Transfer::Framed, Transfer::Plain)] transfer: Transfer,
    #[values(End::Closed, End::Reset, End::RelayStopped)] end: End,
) {
    let relay = relay(ending(end).await).await;
    let (mut io, reply) = request_as(transfer, &relay, 1, "known").await.expect("a reply");
    assert_eq!(reply, Reply::Opened);
    if end == End::RelayStopped {
        sleep(Duration::from_millis(50)).await;
        drop(relay);
    }
    let mut text = String::new();
    let read = match transfer {
        Transfer::Framed => {
            let mut io = frames::read_framed(io);
            timeout(LIMIT, io.read_to_string(&mut text)).await
        }
        Transfer::Plain => timeout(LIMIT, io.read_to_string(&mut text)).await,
    };
    let read = read.expect("the end in time");
    assert_eq!(read.is_ok(), end == End::Closed, "{read:?}");
    assert!(read.is_err() || text == TEXT, "{text}");
}

/// Request of an earlier build.
#[derive(Deserialize)]
struct EarlierRequest {
    challenge: Challenge,
    endpoint: String,
}

/// Relay of an earlier build, which closes the connection if it cannot decode a request and sends `TEXT`
/// otherwise.
async fn earlier_relay() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let own = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            io.write_all(&[7; 16]).await.expect("written");
            let length = io.read_u16().await.expect("a length");
            let mut sealed = vec![0; length.into()];
            io.read_exact(&mut sealed).await.expect("a request");
            let request: Result<EarlierRequest, _> =
                agate_wire::open(&keys(1), &sealed, Context::Request(own));
            let Ok(EarlierRequest { challenge, endpoint }) = request else { continue };
            assert_eq!((challenge, endpoint.as_str()), ([7; 16], "known"));
            let tag = tag_of(&sealed).expect("a sealed request");
            handshake::reply(&mut io, &keys(1), tag, Reply::Opened).await.expect("written");
            io.write_all(TEXT.as_bytes()).await.expect("written");
        }
    });
    own
}

/// Guards against losing the way by an instance of an earlier build, and against taking the end of its
/// connections for the endpoint's.
#[tokio::test]
async fn earlier_build() {
    let (name, zone) = ("other".to_owned(), "a".to_owned());
    let peers = Arc::new(vec![Peer { name, zone, address: earlier_relay().await, weight: 1 }]);
    // Nothing listens here any more.
    let endpoint = TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr());
    let known = move || peers.clone();
    let paths = Paths::new(
        "own",
        direct(),
        || Some(keys(1)),
        known,
        Metrics::default(),
        BufferBudget::default(),
    );
    let path = paths.to("known".into(), endpoint.expect("free"));
    let opened = timeout(LIMIT, path.open()).await.expect("in time").expect("a connection");
    assert_eq!(opened.way, Way::Spliced);
}

/// Only instances get connections, and only to endpoints that the relay knows.
#[tokio::test]
async fn refused_requests() {
    let relay = relay(echo().await).await;
    for transfer in [Transfer::Plain, Transfer::Framed] {
        let stranger = request_as(transfer, &relay, 2, "known").await;
        assert!(stranger.is_err(), "a stranger got a reply");
        let unknown = request_as(transfer, &relay, 1, "127.0.0.1:80").await;
        assert_eq!(unknown.expect("a reply").1, Reply::Unknown);
    }
}

/// A recorded request does not open another connection.
#[tokio::test]
async fn replayed_request() {
    let relay = relay(echo().await).await;
    let (mut near, mut far) = tokio::io::duplex(1 << 12);
    let address = relay.address();
    let recorded = tokio::spawn(async move {
        far.write_all(&[7; 16]).await.expect("written");
        let length = far.read_u16().await.expect("a length");
        let mut sealed = vec![0; length.into()];
        far.read_exact(&mut sealed).await.expect("a request");
        (length, sealed)
    });
    let own = keys(1);
    let asked = handshake::request(&mut near, &own, address, "known", Transfer::Framed);
    let _ = timeout(Duration::from_millis(200), asked).await;
    let (length, sealed) = recorded.await.expect("recorded");
    let mut io = TcpStream::connect(address).await.expect("a connection");
    io.read_exact(&mut [0; 16]).await.expect("a challenge");
    io.write_u16(length).await.expect("written");
    io.write_all(&sealed).await.expect("written");
    let read = timeout(LIMIT, io.read_u8()).await.expect("in time");
    assert!(read.is_err(), "a recorded request got a reply");
}

/// A connection whose bytes never come is closed.
#[tokio::test]
async fn silent_stranger() {
    let relay = relay(echo().await).await;
    let mut io = TcpStream::connect(relay.address()).await.expect("a connection");
    io.read_exact(&mut [0; 16]).await.expect("a challenge");
    let read = timeout(LIMIT, io.read_u8()).await.expect("closed in time");
    assert!(read.is_err());
}

/// What an instance that cannot connect to an endpoint concludes from what another one finds.
#[rstest]
#[case::refused_here(false, true, Ok(true))]
#[case::refused_there(false, false, Err(io::ErrorKind::ConnectionRefused))]
#[case::hangs_here(true, true, Ok(true))]
#[case::hangs_and_refused_there(true, false, Err(io::ErrorKind::ConnectionRefused))]
#[tokio::test]
async fn two_observers(
    #[case] hangs: bool,
    #[case] alive: bool,
    #[case] expected: Result<bool, io::ErrorKind>,
) {
    let endpoint = match alive {
        true => echo().await,
        // Nothing listens here any more.
        false => TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr()).expect("free"),
    };
    let relay = relay(endpoint).await;
    let cut = Arc::new(AtomicBool::new(true));
    let is_cut = cut.clone();
    let dial: Arc<DialFn> = Arc::new(move |address| {
        let cut = address == endpoint && is_cut.load(SeqCst);
        async move {
            match (cut, hangs) {
                (false, _) => link::connect(address).await,
                (true, true) => pending().await,
                (true, false) => Err(io::ErrorKind::ConnectionRefused.into()),
            }
        }
        .boxed()
    });
    let (name, zone) = ("other".to_owned(), "a".to_owned());
    let peers = Arc::new(vec![Peer { name, zone, address: relay.address(), weight: 1 }]);
    let known = move || peers.clone();
    let paths = Paths::new(
        "own",
        dial,
        || Some(keys(1)),
        known,
        Metrics::default(),
        BufferBudget::default(),
    );
    let path = paths.to("known".into(), endpoint);
    let opened = timeout(LIMIT, path.open()).await.expect("in time");
    assert_eq!(opened.map(|c| c.way == Way::Relayed).map_err(|e| e.kind()), expected);
    assert_eq!(path.direct_address(), Some(endpoint), "one observation decides nothing");
    let checked = timeout(LIMIT, path.check()).await.expect("in time");
    assert_eq!(path.direct_address().is_none(), alive);
    assert_eq!(checked.connection.is_some_and(|c| c.way == Way::Relayed), alive);
    cut.store(false, SeqCst);
    path.check().await;
    assert_eq!(path.direct_address(), Some(endpoint));
}
