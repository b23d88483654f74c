//! Streams that callers take up while versions come and go, and after instances were restarted.

use {
    agate_core::Wall,
    agate_route::ranking::name_hash,
    agate_store::Memory,
    agate_version::{
        Resumption, Split, StreamId, Versions,
        history::{History, Moment, VALIDITY},
    },
    agate_view::{
        LocalView, clock,
        peers::Peer,
        roster::{Digest, Version},
        shared_record::Role,
        table::Name,
    },
    indexmap::IndexMap,
    rstest::rstest,
    std::{
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::sleep,
};

const START: Duration = Duration::from_secs(100);
/// Digest of the endpoint entries.
const DIGEST: Digest = 7;
const WINDOW: Duration = Duration::from_secs(2);

fn split(versions: &[&str]) -> Split {
    let slots: IndexMap<Version, u32> = versions.iter().map(|v| ((*v).into(), 6)).collect();
    Split::new(&slots)
}

fn splits(versions: &[&str]) -> IndexMap<Name, Split> {
    IndexMap::from([("desk".into(), split(versions))])
}

/// An instance in contact to most others decides at `now`.
fn at(now: Duration) -> Moment {
    Moment { now, contact: now }
}

/// A stream that begins at `version` if there are v1 and v2.
fn stream_of(version: &str) -> StreamId {
    let both = split(&["v1", "v2"]);
    let of = |s: &StreamId| both.version_of(*s).is_some_and(|v| &**v == version);
    (0..).map(|i: u32| name_hash(&i.to_string())).find(of).expect("half of them do")
}

/// Guards against streams that go on at a version which has come since, and against refusing those
/// that no change concerns.
#[test]
fn version_comes() {
    let (moved, unmoved) = (stream_of("v2"), stream_of("v1"));
    let mut history = History::default();
    history.record(&split(&["v1"]), START, START);
    let (v1, v2): (Version, Version) = ("v1".into(), "v2".into());
    assert_eq!(history.begin(moved, at(START)), Ok(Some(&v1)));
    assert_eq!(history.version(moved, WINDOW, at(START)), Ok(&v1));
    let came = START + Duration::from_secs(9);
    assert!(history.record(&split(&["v1", "v2"]), came, came));
    // Other instances may not know the version yet.
    assert_eq!(history.begin(moved, at(came)), Ok(Some(&v1)));
    assert_eq!(history.begin(moved, at(came + VALIDITY)), Ok(Some(&v2)));
    assert_eq!(history.version(unmoved, WINDOW, at(came)), Ok(&v1));
    let left = 2 * VALIDITY + WINDOW;
    assert_eq!(history.version(moved, WINDOW, at(came)), Err(Some(left)));
    let past = came + left + Duration::from_millis(1);
    assert_eq!(history.version(moved, WINDOW, at(past)), Ok(&v2));
    assert_eq!(history.only_version(WINDOW, at(past)), None);
}

/// Guards against new streams that wait for a version without endpoints.
#[test]
fn version_leaves() {
    let mut history = History::default();
    history.record(&split(&["v1", "v2"]), START, START);
    let left = START + Duration::from_secs(9);
    history.record(&split(&["v2"]), left, left);
    let v2: Version = "v2".into();
    let stream = stream_of("v1");
    assert_eq!(history.begin(stream, at(left)), Ok(Some(&v2)));
    assert!(history.version(stream, WINDOW, at(left + VALIDITY)).is_err());
    assert_eq!(history.version(stream, WINDOW, at(left + 2 * VALIDITY + WINDOW)), Ok(&v2));
}

fn peer(i: u16) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], i));
    Peer { name: format!("n{i}"), zone: "a".into(), address, weight: 100 }
}

/// A view of entries that are confirmed now, in contact to most other instances.
fn view() -> Arc<LocalView> {
    let view = LocalView::new();
    view.install_entries(Vec::new(), DIGEST);
    view.roster.confirm(clock::now());
    view.contact.confirm(clock::now());
    view
}

async fn open(memory: &Memory) -> Arc<Versions> {
    let versions = Arc::new(Versions::new(memory.store(), view(), clock::wall));
    let following = versions.clone();
    tokio::spawn(async move { following.follow(|| Role::Standalone).await });
    sleep(Duration::from_millis(20)).await;
    versions
}

/// Connects instances, whose messages arrive at once.
fn connect(instances: &[Arc<Versions>]) {
    let peers: Arc<Vec<Peer>> = Arc::new((1..=instances.len() as u16).map(peer).collect());
    let all: Arc<OnceLock<Vec<Arc<Versions>>>> = Arc::default();
    for (i, instance) in instances.iter().enumerate() {
        let (peers, all, own) = (peers.clone(), all.clone(), instance.clone());
        instance.connect(
            peers[i].address,
            move || peers.clone(),
            move |message, to| {
                let target = &all.get().expect("connected")[usize::from(to.port()) - 1];
                target.receive(message).and_then(|answer| own.receive(answer));
            },
        );
    }
    all.set(instances.to_vec()).map_err(|_| "connected before").expect("once");
}

/// Instances that reach each other.
async fn open_connected() -> Vec<Arc<Versions>> {
    let memory = Memory::open(clock::now);
    let mut instances = Vec::new();
    for _ in 0..4 {
        instances.push(open(&memory).await);
    }
    connect(&instances);
    instances
}

/// Guards against refusing streams that began at another instance shortly before or after a version
/// came.
#[tokio::test]
async fn told_by_others() {
    let instances = open_connected().await;
    let (service, v1): (Name, Version) = ("desk".into(), "v1".into());
    instances.iter().for_each(|i| i.install(&splits(&["v1"]), DIGEST));
    let stream = stream_of("v2");
    instances[0].on_begun(stream, &service, &v1);
    instances.iter().for_each(|i| i.install(&splits(&["v1", "v2"]), DIGEST));
    for instance in &instances {
        let found = instance.resume(&service, Some(stream), WINDOW).await;
        assert_eq!(found, Resumption::At(v1.clone()));
    }
    let (other, nobody) = (stream ^ 1, Some(stream_of("v2") ^ 2));
    instances[3].on_begun(other, &service, &v1);
    for instance in &instances {
        let found = instance.resume(&service, Some(other), WINDOW).await;
        assert_eq!(found, Resumption::At(v1.clone()));
    }
    let moved = split(&["v1", "v2"]).version_of(nobody.expect("a stream")) != Some(&v1);
    let found = instances[1].resume(&service, nobody, WINDOW).await;
    assert_eq!(matches!(found, Resumption::Unknown(Some(_))), moved, "{found:?}");
    assert_eq!(instances[1].resume(&service, None, WINDOW).await, Resumption::Unknown(None));
}

/// Guards against streams that began at another version than computed, for want of a healthy endpoint,
/// and go on at the computed one.
#[tokio::test]
async fn begun_elsewhere() {
    let instances = open_connected().await;
    instances.iter().for_each(|i| i.install(&splits(&["v1", "v2"]), DIGEST));
    let (service, stream): (Name, StreamId) = ("desk".into(), stream_of("v2"));
    instances[0].on_begun(stream, &service, &"v1".into());
    for (other, version) in [(stream, "v1"), (stream_of("v1"), "v1")] {
        for asked in &instances {
            let found = asked.resume(&service, Some(other), WINDOW).await;
            assert_eq!(found, Resumption::At(version.into()));
        }
    }
}

/// Guards against instances that start when a version has left, and take the other one for the only
/// one that there was. Their clocks may differ from that of the instance that wrote the splits.
#[rstest]
#[case::same_clock(|| clock::wall())]
#[case::behind(|| clock::wall() - 5 * WINDOW)]
#[case::ahead(|| clock::wall() + 5 * WINDOW)]
#[tokio::test]
async fn started_later(#[case] wall: fn() -> Wall) {
    let memory = Memory::open(clock::now);
    let first = open(&memory).await;
    first.install(&splits(&["v1", "v2"]), DIGEST);
    sleep(Duration::from_millis(50)).await;
    drop(first);
    let second = Arc::new(Versions::new(memory.store(), view(), wall));
    second.install(&splits(&["v2"]), DIGEST);
    let service: Name = "desk".into();
    let stream = Some(stream_of("v1"));
    // Before the stored splits are read.
    assert_eq!(second.resume(&service, stream, WINDOW).await, Resumption::Unknown(None));
    let following = second.clone();
    tokio::spawn(async move { following.follow(|| Role::Standalone).await });
    sleep(Duration::from_millis(50)).await;
    let found = second.resume(&service, stream, WINDOW).await;
    assert!(matches!(found, Resumption::Unknown(Some(_))), "{found:?}");
    let found = second.resume(&service, Some(stream_of("v2")), WINDOW).await;
    assert_eq!(found, Resumption::At("v2".into()));
}
