//! Followers of one store install changes, refuse damaged ones, and detect that they are cut off.

mod support;

use {
    agate_config::{
        Section, apply,
        follow::{Follower, Peers, spawn},
        freshness::{ConfigFreshness, MAX_PROOF_AGE},
        head::HEAD_KEY,
        spread::{Peer, Settings},
    },
    agate_store::{Call, Error, Memory, Purpose, Store},
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    support::{edit, open},
    tokio::time::{sleep, timeout},
};

/// Instances of one availability zone each, which call each other directly.
struct Fleet {
    memory: Memory,
    store: Store,
    instances: Arc<OnceLock<IndexMap<Peer, Instance>>>,
}

struct Instance {
    follower: Follower,
    disconnected: Arc<AtomicBool>,
    weight: Arc<AtomicU64>,
    /// Freshness while the newest generation was being installed.
    installing: Arc<Mutex<Option<ConfigFreshness>>>,
}

type Instances = Arc<OnceLock<IndexMap<Peer, Instance>>>;

/// Returns the other instance, unless one of the two is cut off.
fn reach<'a>(
    instances: &'a Instances,
    disconnected: &AtomicBool,
    peer: &str,
) -> Option<&'a Instance> {
    let other = instances.get()?.get(peer)?;
    let unreachable =
        disconnected.load(Ordering::Relaxed) || other.disconnected.load(Ordering::Relaxed);
    (!unreachable).then_some(other)
}

fn peers(own: Peer, instances: &Instances, disconnected: &Arc<AtomicBool>) -> Peers {
    let fetcher = own.clone();
    let parts = || (instances.clone(), disconnected.clone());
    let (ask, head, chunk, announce) = (parts(), parts(), parts(), parts());
    Peers {
        query: Arc::new(move |peer| {
            let response = reach(&ask.0, &ask.1, &peer).map(|n| n.follower.digest());
            Box::pin(async move { response })
        }),
        announce: Arc::new(move |peer, generation| {
            if let Some(n) = reach(&announce.0, &announce.1, &peer) {
                n.follower.on_digest(own.clone(), (generation, None), None);
            }
        }),
        head: Arc::new(move |peer| {
            let got = reach(&head.0, &head.1, &peer).and_then(|n| n.follower.head());
            Box::pin(async move { got.map(|h| (*h).clone()) })
        }),
        chunk: Arc::new(move |peer, id| {
            let other = reach(&chunk.0, &chunk.1, &peer);
            let got = other.and_then(|n| n.follower.chunk(&fetcher, &id));
            Box::pin(async move { got.map(|c| c.to_vec()) })
        }),
    }
}

/// The store as seen by an instance that may be cut off from it.
fn partitionable(store: &Store, disconnected: &Arc<AtomicBool>) -> Store {
    let (store, disconnected) = (store.clone(), disconnected.clone());
    Store::new(move |purpose, call: Call| {
        let (store, disconnected) = (store.clone(), disconnected.clone());
        Box::pin(async move {
            if disconnected.load(Ordering::Relaxed) {
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
        let instances = Instances::default();
        let names: Vec<Peer> = (0..count).map(|i| Peer::from(format!("i{i}"))).collect();
        let started = names.iter().map(|own| {
            let (disconnected, weight) =
                (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
            let installed_weight = weight.clone();
            let installing = Arc::<Mutex<_>>::default();
            let (fleet, name, seen) = (instances.clone(), own.clone(), installing.clone());
            let install = move |_: &_, doc: agate_config::Document| {
                let own = fleet.get().and_then(|f| f.get(&name));
                *seen.lock().expect("no panic") = own.map(|i| i.follower.freshness());
                let org = &doc.organisations["kolga"];
                installed_weight.store(u64::from(org.weight), Ordering::Relaxed);
            };
            let peers = peers(own.clone(), &instances, &disconnected);
            let store = partitionable(&store, &disconnected);
            let follower = spawn(own.clone(), Settings::default(), store, peers, install);
            (own.clone(), Instance { follower, disconnected, weight, installing })
        });
        let started = started.collect();
        assert!(instances.set(started).is_ok());
        let fleet = Self { memory, store, instances };
        fleet.apply("first", 10).await;
        for (own, instance) in fleet.instances() {
            let others = names.iter().filter(|n| *n != own).map(|n| vec![n.clone()]).collect();
            instance.follower.set_members(vec![own.clone()], others, count);
        }
        fleet
            .wait_until(|n| n.follower.freshness() == ConfigFreshness::Fresh && n.weight() == 10)
            .await;
        fleet
    }

    fn instances(&self) -> &IndexMap<Peer, Instance> {
        self.instances.get().expect("set at the start")
    }

    async fn apply(&self, token: &str, weight: u32) {
        let sections = if weight == 10 { &Section::ALL[..] } else { &[Section::Organisations] };
        let edit = edit(token, sections, |d| d.organisations["kolga"].weight = weight);
        apply(&self.store, &edit).await.expect("accepted");
    }

    /// Waits in virtual time until `done` holds for all instances.
    async fn wait_until(&self, done: impl Fn(&Instance) -> bool) {
        let waiting = async {
            while !self.instances().values().all(&done) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(5), waiting).await.expect("within 5 s");
    }
}

impl Instance {
    fn weight(&self) -> u64 {
        self.weight.load(Ordering::Relaxed)
    }
}

#[tokio::test(start_paused = true)]
async fn changes_followed() {
    let fleet = Fleet::start(4).await;
    for weight in 20..25 {
        fleet.apply(&weight.to_string(), weight).await;
        fleet.wait_until(|n| n.weight() == u64::from(weight)).await;
    }
    for instance in fleet.instances().values() {
        assert_eq!(instance.follower.head().map(|h| h.generation), Some(6));
    }
}

/// An instance that reaches neither the store nor its peers must refuse keyed requests once its
/// proof is too old. When the connections return, it installs the change that it missed.
#[tokio::test(start_paused = true)]
async fn partition_and_recovery() {
    let fleet = Fleet::start(4).await;
    let (_, instance) = fleet.instances().first().expect("present");
    instance.disconnected.store(true, Ordering::Relaxed);
    sleep(MAX_PROOF_AGE + Duration::from_millis(1)).await;
    assert_eq!(instance.follower.freshness(), ConfigFreshness::Stale);
    fleet.apply("second", 11).await;
    sleep(Duration::from_secs(60)).await;
    assert_eq!((instance.weight(), instance.follower.freshness()), (10, ConfigFreshness::Stale));
    instance.disconnected.store(false, Ordering::Relaxed);
    fleet
        .wait_until(|n| n.weight() == 11 && n.follower.freshness() == ConfigFreshness::Fresh)
        .await;
}

/// The proof of a generation counted from the end of its fetch, so that requests were served with
/// the former configuration, and revoked keys, until the new one was installed.
#[tokio::test(start_paused = true)]
async fn proof_before_install() {
    let fleet = Fleet::start(4).await;
    let (_, instance) = fleet.instances().first().expect("present");
    let installing = || *instance.installing.lock().expect("no panic");
    assert_eq!(installing(), Some(ConfigFreshness::Stale), "it had no configuration");
    instance.disconnected.store(true, Ordering::Relaxed);
    sleep(MAX_PROOF_AGE + Duration::from_millis(1)).await;
    fleet.apply("second", 11).await;
    instance.disconnected.store(false, Ordering::Relaxed);
    fleet
        .wait_until(|n| n.weight() == 11 && n.follower.freshness() == ConfigFreshness::Fresh)
        .await;
    assert_eq!(installing(), Some(ConfigFreshness::Stale), "it had the former configuration");
}

#[tokio::test(start_paused = true)]
async fn store_outage() {
    let fleet = Fleet::start(4).await;
    fleet.memory.set_faults(|f| f.outage = true);
    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        assert!(fleet.instances().values().all(|n| n.follower.freshness().may_serve()));
    }
    let standings = fleet.instances().values().map(|n| n.follower.freshness());
    assert!(standings.into_iter().all(|s| s == ConfigFreshness::StoreDown));
    fleet.memory.set_faults(|f| f.outage = false);
    fleet.apply("second", 11).await;
    fleet
        .wait_until(|n| n.weight() == 11 && n.follower.freshness() == ConfigFreshness::Fresh)
        .await;
}

/// A damaged head is refused and counted, and the last valid configuration stays installed.
#[tokio::test(start_paused = true)]
async fn damaged_head() {
    let fleet = Fleet::start(2).await;
    let good = fleet.store.get(Purpose::Config, HEAD_KEY).await.expect("read").expect("present");
    let write = |expect, value| fleet.store.swap(Purpose::Config, HEAD_KEY, expect, value);
    let damaged = write(good.revision, b"{}".to_vec()).await.expect("written").expect("no race");
    fleet.wait_until(|n| n.follower.counters().1 > 0).await;
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.instances().values().all(|n| n.weight() == 10));
    write(damaged, good.value).await.expect("written").expect("no race");
    fleet.apply("second", 11).await;
    fleet.wait_until(|n| n.weight() == 11).await;
}
