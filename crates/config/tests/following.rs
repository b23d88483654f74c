//! Followers over one store put changes in force, refuse damaged ones and know when they are cut.

mod support;

use {
    agate_config::{
        Section, apply,
        follow::{Follower, Peers, spawn},
        freshness::{PROOF_BOUND, Standing},
        head::HEAD_KEY,
        spread::{Peer, Settings},
    },
    agate_store::{Call, Error, Memory, Purpose, Store},
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::{edit, open},
    tokio::time::{sleep, timeout},
};

/// Instances of one availability zone each, that call each other directly.
struct Fleet {
    memory: Memory,
    store: Store,
    nodes: Arc<OnceLock<IndexMap<Peer, Node>>>,
}

struct Node {
    follower: Follower,
    cut: Arc<AtomicBool>,
    weight: Arc<AtomicU64>,
}

type Nodes = Arc<OnceLock<IndexMap<Peer, Node>>>;

/// The other end, unless either end is cut off.
fn reach<'a>(nodes: &'a Nodes, cut: &AtomicBool, peer: &str) -> Option<&'a Node> {
    let far = nodes.get()?.get(peer)?;
    let parted = cut.load(Ordering::Relaxed) || far.cut.load(Ordering::Relaxed);
    (!parted).then_some(far)
}

fn peers(own: Peer, nodes: &Nodes, cut: &Arc<AtomicBool>) -> Peers {
    let fetcher = own.clone();
    let parts = || (nodes.clone(), cut.clone());
    let (ask, head, chunk, announce) = (parts(), parts(), parts(), parts());
    Peers {
        ask: Arc::new(move |peer| {
            let answer = reach(&ask.0, &ask.1, &peer).map(|n| n.follower.digest());
            Box::pin(async move { answer })
        }),
        announce: Arc::new(move |peer, generation| {
            if let Some(n) = reach(&announce.0, &announce.1, &peer) {
                n.follower.hear(own.clone(), (generation, None), None);
            }
        }),
        head: Arc::new(move |peer| {
            let got = reach(&head.0, &head.1, &peer).and_then(|n| n.follower.head());
            Box::pin(async move { got.map(|h| (*h).clone()) })
        }),
        chunk: Arc::new(move |peer, id| {
            let far = reach(&chunk.0, &chunk.1, &peer);
            let got = far.and_then(|n| n.follower.chunk(&fetcher, &id));
            Box::pin(async move { got.map(|c| c.to_vec()) })
        }),
    }
}

/// The store as seen by an instance that may be cut off from it.
fn severable(store: &Store, cut: &Arc<AtomicBool>) -> Store {
    let (store, cut) = (store.clone(), cut.clone());
    Store::new(move |purpose, call: Call| {
        let (store, cut) = (store.clone(), cut.clone());
        Box::pin(async move {
            if cut.load(Ordering::Relaxed) {
                let cause = "cut off".into();
                return Err(Error::Unavailable { step: "call", peer: "test".into(), cause });
            }
            store.call(purpose, call).await
        })
    })
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let (memory, store) = open();
        let nodes = Nodes::default();
        let names: Vec<Peer> = (0..count).map(|i| Peer::from(format!("i{i}"))).collect();
        let made = names.iter().map(|own| {
            let (cut, weight) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
            let seen = weight.clone();
            let install = move |_: &_, doc: agate_config::Document| {
                let org = &doc.organisations["kolga"];
                seen.store(u64::from(org.weight), Ordering::Relaxed);
            };
            let peers = peers(own.clone(), &nodes, &cut);
            let store = severable(&store, &cut);
            let follower = spawn(own.clone(), Settings::default(), store, peers, install);
            (own.clone(), Node { follower, cut, weight })
        });
        let made = made.collect();
        assert!(nodes.set(made).is_ok());
        let fleet = Self { memory, store, nodes };
        fleet.apply("first", 10).await;
        for (own, node) in fleet.nodes() {
            let far = names.iter().filter(|n| *n != own).map(|n| vec![n.clone()]).collect();
            node.follower.set_members(vec![own.clone()], far, count);
        }
        fleet.until(|n| n.follower.standing() == Standing::Fresh && n.weight() == 10).await;
        fleet
    }

    fn nodes(&self) -> &IndexMap<Peer, Node> {
        self.nodes.get().expect("set at the start")
    }

    async fn apply(&self, token: &str, weight: u32) {
        let sections = if weight == 10 { &Section::ALL[..] } else { &[Section::Organisations] };
        let edit = edit(token, sections, |d| d.organisations["kolga"].weight = weight);
        apply(&self.store, &edit).await.expect("accepted");
    }

    /// Waits in virtual time until all instances are as wanted.
    async fn until(&self, done: impl Fn(&Node) -> bool) {
        let waiting = async {
            while !self.nodes().values().all(&done) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(5), waiting).await.expect("within 5 s");
    }
}

impl Node {
    fn weight(&self) -> u64 {
        self.weight.load(Ordering::Relaxed)
    }
}

#[tokio::test(start_paused = true)]
async fn changes_followed() {
    let fleet = Fleet::start(4).await;
    for weight in 20..25 {
        fleet.apply(&weight.to_string(), weight).await;
        fleet.until(|n| n.weight() == u64::from(weight)).await;
    }
    for node in fleet.nodes().values() {
        assert_eq!(node.follower.head().map(|h| h.generation), Some(6));
    }
}

/// The head is fetched from a peer by an instance that the store does not answer.
#[tokio::test(start_paused = true)]
async fn cut_off_and_back() {
    let fleet = Fleet::start(4).await;
    let (_, node) = fleet.nodes().first().expect("present");
    node.cut.store(true, Ordering::Relaxed);
    sleep(PROOF_BOUND + Duration::from_millis(1)).await;
    assert_eq!(node.follower.standing(), Standing::Stale);
    fleet.apply("second", 11).await;
    sleep(Duration::from_secs(60)).await;
    assert_eq!((node.weight(), node.follower.standing()), (10, Standing::Stale));
    node.cut.store(false, Ordering::Relaxed);
    fleet.until(|n| n.weight() == 11 && n.follower.standing() == Standing::Fresh).await;
}

#[tokio::test(start_paused = true)]
async fn outage_for_all() {
    let fleet = Fleet::start(4).await;
    fleet.memory.set_faults(|f| f.outage = true);
    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        assert!(fleet.nodes().values().all(|n| n.follower.standing().serves()));
    }
    let standings = fleet.nodes().values().map(|n| n.follower.standing());
    assert!(standings.into_iter().all(|s| s == Standing::StoreDown));
    fleet.memory.set_faults(|f| f.outage = false);
    fleet.apply("second", 11).await;
    fleet.until(|n| n.weight() == 11 && n.follower.standing() == Standing::Fresh).await;
}

/// A damaged head is refused and counted; the last good configuration stays in force.
#[tokio::test(start_paused = true)]
async fn damaged_head() {
    let fleet = Fleet::start(2).await;
    let good = fleet.store.get(Purpose::Config, HEAD_KEY).await.expect("read").expect("present");
    let write = |expect, value| fleet.store.swap(Purpose::Config, HEAD_KEY, expect, value);
    let damaged = write(good.revision, b"{}".to_vec()).await.expect("written").expect("no race");
    fleet.until(|n| n.follower.counters().1 > 0).await;
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.nodes().values().all(|n| n.weight() == 10));
    write(damaged, good.value).await.expect("written").expect("no race");
    fleet.apply("second", 11).await;
    fleet.until(|n| n.weight() == 11).await;
}
