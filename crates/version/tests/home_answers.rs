//! What the homes of a stream answer, and what an instance makes of it.

use {
    agate_store::Memory,
    agate_version::{
        Resumption, Split, StreamId, Versions,
        detours::{RECORD_TIME, Recorded, Renewals, VersionState},
        homes::Message,
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
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const WINDOW: Duration = Duration::from_secs(2);
const STREAM: StreamId = 5;
/// Digest of the endpoint entries.
const DIGEST: Digest = 7;

fn peer(i: u16) -> Peer {
    let address = SocketAddr::from(([127, 0, 0, 1], i));
    Peer { name: format!("n{i}"), zone: "a".into(), address, weight: 100 }
}

/// An instance that knows that the service has two versions.
async fn open(memory: &Memory) -> Arc<Versions> {
    let view = LocalView::new();
    view.install_entries(Vec::new(), DIGEST);
    view.roster.confirm(clock::now());
    view.contact.confirm(clock::now());
    let versions = Arc::new(Versions::new(memory.store(), view, clock::wall));
    let following = versions.clone();
    tokio::spawn(async move { following.follow(|| Role::Standalone).await });
    sleep(Duration::from_millis(20)).await;
    let slots: IndexMap<Version, u32> = [("v1".into(), 6), ("v2".into(), 6)].into();
    versions.install(&IndexMap::from([("desk".into(), Split::new(&slots))]), DIGEST);
    versions
}

/// Version that the name of the stream selects, and the other one.
fn versions() -> (Version, Version) {
    let slots: IndexMap<Version, u32> = [("v1".into(), 6), ("v2".into(), 6)].into();
    let split = Split::new(&slots);
    let selected = split.version_of(STREAM).expect("a version").clone();
    let other = split.versions().find(|v| **v != selected).expect("another one").clone();
    (selected, other)
}

/// Lets an instance, which ends then, record that streams of `version` may begin elsewhere.
async fn record_detour(memory: &Memory, version: &Version) {
    let instance = open(memory).await;
    // Most others are in contact, and the split is in force, from a second after it came.
    sleep(Duration::from_millis(1_050)).await;
    let service: Name = "desk".into();
    assert!(
        !instance.may_begin_elsewhere(&service, version, VersionState::Down),
        "allowed before it is recorded"
    );
    sleep(Duration::from_millis(50)).await;
    assert!(instance.may_begin_elsewhere(&service, version, VersionState::Down), "not recorded");
}

/// Where an instance lets a stream go on that its homes, which have all started lately, do not know.
async fn resumed(memory: &Memory, reachable: bool) -> Resumption {
    let (asker, home) = (open(memory).await, open(memory).await);
    let peers: Arc<Vec<Peer>> = Arc::new((1..5).map(peer).collect());
    let answering = asker.clone();
    let send = move |message: Message, _: SocketAddr| {
        if let Some(answer) = home.receive(message).filter(|_| reachable) {
            answering.receive(answer);
        }
    };
    asker.connect(peers[0].address, move || peers.clone(), send);
    asker.resume(&"desk".into(), Some(STREAM), WINDOW).await
}

/// Guards against streams that go on at the version which their name selects although they began at
/// another one, because both of their homes have started since and know of no stream.
#[rstest]
#[case::answering(true)]
#[case::silent(false)]
#[tokio::test]
async fn started_homes(#[case] reachable: bool) {
    let memory = Memory::open(clock::now);
    record_detour(&memory, &versions().0).await;
    let found = resumed(&memory, reachable).await;
    assert!(matches!(found, Resumption::Unknown(_)), "{found:?}");
}

/// Guards against refusing streams after all instances were killed that cannot have begun elsewhere.
#[rstest]
#[case::no_detour(false)]
#[case::of_other_version(true)]
#[tokio::test]
async fn no_exceptions(#[case] of_other: bool) {
    let memory = Memory::open(clock::now);
    let (selected, other) = versions();
    if of_other {
        record_detour(&memory, &other).await;
    }
    assert_eq!(resumed(&memory, true).await, Resumption::At(selected));
}

/// Guards against a detour that is removed while streams of it may still be taken up, and against one that
/// stays for good.
#[test]
fn unused_detours() {
    let detour = ("desk".into(), "v1".into());
    let (mut recorded, mut renewals) = (Recorded::default(), Renewals::default());
    assert!(recorded.renew(&detour, None));
    assert!(!recorded.renew(&detour, None), "another instance was faster");
    let second = Duration::from_secs(1);
    assert_eq!(renewals.unused(&recorded, second), Recorded::default());
    assert_eq!(renewals.unused(&recorded, RECORD_TIME), Recorded::default());
    assert!(recorded.renew(&detour, Some(1)));
    assert_eq!(renewals.unused(&recorded, RECORD_TIME + 2 * second), Recorded::default());
    let unused = renewals.unused(&recorded, 2 * RECORD_TIME + 3 * second);
    assert_eq!(unused, recorded);
    let mut later = recorded.clone();
    assert!(later.renew(&detour, Some(2)));
    assert!(!later.remove(&unused), "renewed since");
    assert!(recorded.remove(&unused));
    assert_eq!(recorded, Recorded::default());
}
