//! Reuse of connections between instances, and the cases in which they are dropped.

use {
    agate_member::{
        Answer, Client, Identity, Keys, Member, Place, Query, Server, Status, retired_addresses,
        serve,
    },
    agate_wire::{Body, Context, Envelope, REPLAY_WINDOW, seal, tag_of},
    futures_util::future::{FutureExt, ready},
    rstest::rstest,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
        time::timeout,
    },
};

fn keys() -> Keys {
    Keys::new(&["the secret of the fleet"]).unwrap()
}

fn client() -> Client {
    let id = Identity::new("client".into(), ([127, 0, 0, 1], 9).into(), 1);
    Client::new(Arc::new(id), keys())
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a server at a free address. Another process may take the address first, so binding is
/// retried.
async fn server() -> (Server, SocketAddr) {
    for _ in 0..20 {
        let (listener, address) = listen().await;
        drop(listener);
        let id = Arc::new(Identity::new("server".into(), address, 1));
        if let Ok(s) = serve(id, keys(), |_, _| ready(Answer::Accepted).boxed()).await {
            return (s, address);
        }
    }
    panic!("no address could be bound");
}

async fn read_request(s: &mut TcpStream) -> Vec<u8> {
    let size = s.read_u32().await.unwrap();
    let mut request = vec![0; size as usize];
    s.read_exact(&mut request).await.unwrap();
    request
}

/// Answers one request on a connection without a server.
async fn respond_to_request(s: &mut TcpStream) {
    let tag = tag_of(&read_request(s).await).unwrap();
    let body = Body::Answer(Answer::Accepted);
    let e = Envelope { from: "server".into(), incarnation: 1, sequence: 0, body };
    let bytes = seal(&keys(), &e, Context::Response(tag)).unwrap();
    s.write_u32(bytes.len() as u32).await.unwrap();
    s.write_all(&bytes).await.unwrap();
}

#[tokio::test]
async fn connection_reuse() {
    let (_server, to) = server().await;
    let c = client();
    for _ in 0..10 {
        assert_eq!(c.fetch(to, Query::Head).await.unwrap(), Answer::Accepted);
    }
    assert_eq!(c.usage(), (1, 9, 1));
    assert_eq!((c.retire(to), c.usage().2), (1, 0));
    c.fetch(to, Query::Head).await.unwrap();
    assert_eq!(c.usage().0, 2);
}

/// The peer closed an idle connection. The client detects this before it sends the request, and
/// uses a new connection.
#[tokio::test]
async fn closed_while_idle() {
    let (listener, to) = listen().await;
    let c = client();
    let first = async {
        let (mut s, _) = listener.accept().await.unwrap();
        respond_to_request(&mut s).await;
    };
    let (got, ()) = tokio::join!(c.fetch(to, Query::Head), first);
    got.unwrap();
    let second = async {
        let (mut s, _) = listener.accept().await.unwrap();
        respond_to_request(&mut s).await;
    };
    let (got, ()) = tokio::join!(c.fetch(to, Query::Head), second);
    assert_eq!(got.unwrap(), Answer::Accepted);
}

/// The peer read the request and closed the connection. It may have executed the request, so the
/// client must not resend it.
#[tokio::test]
async fn closed_after_request() {
    let (listener, to) = listen().await;
    let c = client();
    let peer = async {
        let (mut s, _) = listener.accept().await.unwrap();
        respond_to_request(&mut s).await;
        read_request(&mut s).await;
    };
    let requests = async {
        c.fetch(to, Query::Head).await.unwrap();
        c.fetch(to, Query::Head).await
    };
    let (got, ()) = tokio::join!(requests, peer);
    assert!(got.is_err(), "{got:?}");
    assert!(listener.accept().now_or_never().is_none(), "the request was sent twice");
}

/// The peer does not respond and the caller cancels its request. The other idle connections to that
/// peer may be broken too, so the client drops them.
#[tokio::test]
async fn unresponsive_peer() {
    let (listener, to) = listen().await;
    let c = client();
    let peer = async {
        let (mut a, _) = listener.accept().await.unwrap();
        let (mut b, _) = listener.accept().await.unwrap();
        tokio::join!(respond_to_request(&mut a), respond_to_request(&mut b));
        (a, b)
    };
    let (x, y, _silent) = tokio::join!(c.fetch(to, Query::Head), c.fetch(to, Query::Head), peer);
    assert!(x.is_ok() && y.is_ok());
    assert_eq!(c.usage().2, 2);
    assert!(timeout(Duration::from_millis(50), c.fetch(to, Query::Head)).await.is_err());
    assert_eq!(c.usage().2, 0);
}

/// Connections above the limit are refused and counted. A larger fleet raises the limit.
#[tokio::test]
async fn connection_limit() {
    let (server, to) = server().await;
    let mut held = Vec::new();
    for _ in 0..64 {
        let mut s = TcpStream::connect(to).await.unwrap();
        // Part of a request, so that the server has accepted the connection.
        s.write_all(&[0]).await.unwrap();
        held.push(s);
    }
    assert!(client().fetch(to, Query::Head).await.is_err());
    assert_eq!(server.counters().totals().refused, 1);
    server.connection_limit().set_members(100);
    assert_eq!(client().fetch(to, Query::Head).await.unwrap(), Answer::Accepted);
    assert_eq!(server.counters().totals().refused, 1);
}

/// While one request is unanswered, a client sends too few others for the server to reject it as a
/// replay.
#[tokio::test]
async fn replay_window() {
    let (listener, to) = listen().await;
    drop(listener);
    let (slow, served) = (Arc::new(Notify::new()), Arc::new(AtomicU64::new(0)));
    let (wait, count) = (slow.clone(), served.clone());
    let handler = move |_, query| {
        let (wait, count) = (wait.clone(), count.clone());
        async move {
            if query == Query::Head {
                wait.notified().await;
            }
            count.fetch_add(1, Relaxed);
            Answer::Accepted
        }
        .boxed()
    };
    let id = Arc::new(Identity::new("server".into(), to, 1));
    let _server = serve(id, keys(), handler).await.unwrap();
    let c = client();
    let first = c.fetch(to, Query::Head);
    let others = async {
        for _ in 0..2 * REPLAY_WINDOW {
            c.fetch(to, Query::Chunk { hash: [0; 32] }).await.unwrap();
        }
    };
    let release = async {
        // The other requests stall by themselves: wait until no further one is served in an
        // interval.
        let mut before = u64::MAX;
        while before != served.load(Relaxed) || before == 0 {
            before = served.load(Relaxed);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        slow.notify_one();
        before
    };
    let (got, (), stopped) = tokio::join!(first, others, release);
    assert_eq!(got.unwrap(), Answer::Accepted);
    assert!(stopped < REPLAY_WINDOW, "{stopped} later requests overtook the first");
}

/// Member `a` before and after a change of the membership. Its address is reported if its process
/// has ended.
#[rstest]
#[case::same((1, Status::Alive), Some((1, Status::Suspect)), false)]
#[case::restarted((1, Status::Alive), Some((2, Status::Alive)), true)]
#[case::died((1, Status::Suspect), Some((1, Status::Dead)), true)]
#[case::left((1, Status::Alive), Some((1, Status::Left)), true)]
#[case::forgotten((1, Status::Alive), None, true)]
fn stale_addresses(
    #[case] old: (u64, Status),
    #[case] new: Option<(u64, Status)>,
    #[case] gone: bool,
) {
    let address = ([127, 0, 0, 1], 5).into();
    let member = |(incarnation, status)| Member {
        name: "a".into(),
        incarnation,
        status,
        place: Place { zone: "z".into(), region: "r".into(), address },
        contact: false,
    };
    let new: Vec<Member> = new.into_iter().map(member).collect();
    let expected: Vec<SocketAddr> = gone.then_some(address).into_iter().collect();
    assert_eq!(retired_addresses(&[member(old)], &new), expected);
}
