//! The UDP adapter on the loopback interface.

use {
    agate_member::{
        Digest, Handle, Hooks, Keys, ListedInstance, Peer, Place, Reject, Settings, Status, bind,
    },
    agate_wire::{Body, Context, Envelope, Name, Query, seal},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

/// Maximum time of every wait; far above what a correct run takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn keys() -> Keys {
    Keys::new(&["the secret of the fleet"]).unwrap()
}

fn place(port: u16) -> Place {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Place { zone: "z".into(), region: "r".into(), address }
}

async fn start(name: &str, hooks: Hooks) -> Handle {
    bind(Settings::new(name, place(0)), keys(), hooks).await.unwrap()
}

fn listing(h: &Handle) -> ListedInstance {
    let id = h.identity();
    let place = place(id.address.port());
    ListedInstance { peer: Peer { name: id.name.clone(), place }, leaving: false }
}

async fn wait(what: &str, done: impl Fn() -> bool) {
    let polling = async {
        while !done() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WAIT_TIMEOUT, polling).await.unwrap_or_else(|_| panic!("{what} did not come true"));
}

fn holds(h: &Handle, name: &str, status: Status) -> bool {
    h.members().iter().any(|m| &*m.name == name && m.status == status)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn join_and_leave() {
    let got: Arc<Mutex<Vec<Digest>>> = Arc::default();
    let sink = got.clone();
    let digest = Digest::Config { generation: 7, age: Some(Duration::from_secs(1)) };
    let sent = digest.clone();
    let a = start("a", Hooks::none()).await;
    let b_hooks =
        Hooks { supply: Arc::new(move || vec![sent.clone()]), deliver: Arc::new(|_, _, _| {}) };
    let b = start("b", b_hooks).await;
    let c_hooks = Hooks {
        supply: Arc::new(Vec::new),
        deliver: Arc::new(move |_, d, _| sink.lock().unwrap().extend_from_slice(d)),
    };
    let c = start("c", c_hooks).await;
    b.update_list(vec![listing(&a)]).await.unwrap();
    c.update_list(vec![listing(&a)]).await.unwrap();
    let alive = |h, n| holds(h, n, Status::Alive);
    wait("joining", || {
        alive(&a, "b") && alive(&a, "c") && alive(&b, "c") && alive(&c, "b") && alive(&c, "a")
    })
    .await;
    wait("the digest", || got.lock().unwrap().contains(&digest)).await;
    b.leave().await.unwrap();
    wait("leaving", || holds(&a, "b", Status::Left) && holds(&c, "b", Status::Left)).await;
    assert!(b.leave().await.is_err(), "an ended membership says so");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_datagrams() {
    let a = start("a", Hooks::none()).await;
    let to = a.identity().address;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let query = || Body::Query(Query::Head);
    let message = |from, incarnation, sequence| Envelope {
        from: Name::from(from),
        incarnation,
        sequence,
        body: query(),
    };
    let good = seal(&keys(), &message("x", 5, 1), Context::Datagram(to)).unwrap();
    let old = seal(&keys(), &message("x", 4, 2), Context::Datagram(to)).unwrap();
    let own = seal(&keys(), &message("a", 4, 2), Context::Datagram(to)).unwrap();
    let elsewhere = Context::Datagram(([127, 0, 0, 1], 1).into());
    let misdirected = seal(&keys(), &message("x", 5, 3), elsewhere).unwrap();
    let other = Keys::new(&["the secret of another fleet"]).unwrap();
    let foreign = seal(&other, &message("x", 5, 4), Context::Datagram(to)).unwrap();
    let mut version = good.clone();
    version[0] = 9;
    let cases: [(&[u8], Option<Reject>); 9] = [
        (&good, None),
        (&good, Some(Reject::Replayed)),
        (&old, Some(Reject::Outdated { seen: 0 })),
        (&own, Some(Reject::Own)),
        (&misdirected, Some(Reject::Mac)),
        (&foreign, Some(Reject::Mac)),
        (&version, Some(Reject::Version)),
        (&[1; 5], Some(Reject::Short)),
        (&[1; 1_401], Some(Reject::Large)),
    ];
    let mut want = [0; Reject::COUNT];
    for (i, (bytes, reason)) in cases.iter().enumerate() {
        socket.send_to(bytes, to).await.unwrap();
        wait("receiving", || a.counters().totals().received == i as u64 + 1).await;
        want[reason.map_or(0, Reject::index)] += u64::from(reason.is_some());
    }
    wait("counting", || a.counters().totals().rejected == want).await;
    // The sender of an outdated incarnation gets a response.
    let mut buf = [0; 1_500];
    timeout(WAIT_TIMEOUT, socket.recv_from(&mut buf)).await.unwrap().unwrap();
}
