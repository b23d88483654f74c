//! Versions are told from recent knowledge of the endpoints only.

use {
    agate_route::ranking::name_hash,
    agate_store::Memory,
    agate_version::{
        Resumption, Split, StreamId, Versions,
        history::{History, Moment, Unsettled, VALIDITY},
    },
    agate_view::{
        LocalView, clock,
        peers::Peer,
        roster::{Digest, Version},
        shared_record::Role,
        table::Name,
    },
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const WINDOW: Duration = Duration::from_secs(2);
const DIGEST: Digest = 7;
/// Number of random runs in a series.
const SEEDS: u64 = 10;

fn split(versions: &[&str]) -> Split {
    let slots: IndexMap<Version, u32> = versions.iter().map(|v| ((*v).into(), 6)).collect();
    Split::new(&slots)
}

/// An instance whose endpoints are of one version and were confirmed `age` ago.
async fn open(age: Duration) -> (Arc<LocalView>, Arc<Versions>) {
    let view = LocalView::new();
    view.install_entries(Vec::new(), DIGEST);
    view.roster.confirm(clock::now() - age);
    let memory = Memory::open(clock::now);
    let versions = Arc::new(Versions::new(memory.store(), view.clone(), clock::wall));
    let following = versions.clone();
    tokio::spawn(async move { following.follow(|| Role::Standalone).await });
    sleep(Duration::from_millis(20)).await;
    versions.install(&IndexMap::from([("desk".into(), split(&["v1"]))]), DIGEST);
    (view, versions)
}

/// Guards against streams that an instance out of step begins or takes up by what it knew long ago.
#[tokio::test]
async fn old_confirmation() {
    let (view, versions) = open(VALIDITY * 2).await;
    let (service, stream): (Name, StreamId) = ("desk".into(), 5);
    assert!(!versions.confirm().await);
    let found = versions.resume(&service, Some(stream), WINDOW).await;
    assert_eq!(found, Resumption::Outdated);
    // A stream that it forwarded itself goes on.
    versions.on_begun(stream, &service, &"v1".into());
    let found = versions.resume(&service, Some(stream), WINDOW).await;
    assert_eq!(found, Resumption::At("v1".into()));
    // The others agree that there is nothing newer.
    view.agreed.confirm(clock::now());
    assert!(versions.confirm().await);
    let found = versions.resume(&service, Some(stream + 1), WINDOW).await;
    assert_eq!(found, Resumption::At("v1".into()));
}

/// Guards against a request between the time at which new entries are confirmed and that at which their
/// splits are known.
#[tokio::test]
async fn splits_follow_entries() {
    let (view, versions) = open(Duration::ZERO).await;
    assert!(versions.is_current());
    view.install_entries(Vec::new(), DIGEST + 1);
    view.roster.confirm(clock::now());
    assert!(!versions.is_current());
    versions.install(&IndexMap::from([("desk".into(), split(&["v1", "v2"]))]), DIGEST + 1);
    assert!(versions.is_current());
}

/// A confirmation that comes while a request waits for one is used.
#[tokio::test]
async fn confirmed_meanwhile() {
    let (view, versions) = open(VALIDITY * 2).await;
    let confirming = versions.clone();
    let waiting = tokio::spawn(async move { confirming.confirm().await });
    sleep(Duration::from_millis(20)).await;
    view.roster.confirm(clock::now());
    assert!(waiting.await.expect("no panic"));
}

/// Guards against silence of the instances that were told of a stream, taken for the answer that they do
/// not know it, by an instance that no other one reaches.
#[rstest]
#[case::cut_off(10, Resumption::Unknown(None))]
#[case::in_contact(0, Resumption::At("v1".into()))]
#[tokio::test]
async fn silent_homes(#[case] seconds: u64, #[case] expected: Resumption) {
    let (view, versions) = open(Duration::ZERO).await;
    let peer = |i: u16| Peer {
        name: format!("n{i}"),
        zone: "a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], i)),
        weight: 100,
    };
    let peers: Arc<Vec<Peer>> = Arc::new((1..5).map(peer).collect());
    versions.connect(peers[0].address, move || peers.clone(), |_, _| {});
    // Only an instance that has not just started notices that it is out of contact.
    sleep(Duration::from_millis(if seconds > 0 { 3_050 } else { 0 })).await;
    view.contact.confirm(clock::now() - Duration::from_secs(seconds));
    view.roster.confirm(clock::now());
    let found = versions.resume(&"desk".into(), Some(5), WINDOW).await;
    assert_eq!(found, expected);
}

/// Instances of a random run in virtual time.
struct Instance {
    history: History,
    /// Latest confirmation by the store or by another instance, and the number of the split that it
    /// is of.
    confirmed: (Duration, usize),
    agreed: Duration,
    contact: Duration,
    /// Until when it reaches neither the store nor the instances of another group, and its group.
    store_cut: Duration,
    group: (Duration, usize),
    /// Until when it stands still.
    frozen: Duration,
}

impl Instance {
    fn is_current(&self, now: Duration) -> bool {
        now <= self.confirmed.0.max(self.agreed) + VALIDITY
    }

    fn moment(&self, now: Duration) -> Moment {
        Moment { now, contact: self.contact }
    }

    fn group(&self, now: Duration) -> usize {
        if self.group.0 > now { self.group.1 } else { 0 }
    }
}

/// Guards against streams of two versions whatever instances stand still, lose the store or each other
/// while versions come: nobody remembers or tells any stream here.
#[rstest]
fn random_partitions(#[values(1, 2, 3, 4)] series: u64) {
    (0..SEEDS).for_each(|i| run_random(series * SEEDS + i));
}

fn run_random(seed: u64) {
    const COUNT: usize = 5;
    const STEP: Duration = Duration::from_millis(50);
    let splits = [&["v1"][..], &["v1", "v2"], &["v1", "v2", "v3"], &["v1", "v2", "v3", "v4"]];
    let mut rng = StdRng::seed_from_u64(seed);
    let mut now = Duration::from_secs(100);
    let new = |_| Instance {
        history: History::default(),
        confirmed: (now, 0),
        agreed: Duration::ZERO,
        contact: now,
        store_cut: now,
        group: (now, 0),
        frozen: now,
    };
    let mut all: Vec<Instance> = (0..COUNT).map(new).collect();
    all.iter_mut().for_each(|i| _ = i.history.record(&split(splits[0]), now, now));
    let (mut begun, mut refused, mut taken_up, mut unknown) = (Vec::new(), 0, 0, 0);
    let (mut present, mut change) = (0, now + Duration::from_secs(7));
    while present + 1 < splits.len() || now < change {
        now += STEP;
        if now >= change && present + 1 < splits.len() {
            present += 1;
            change = now + Duration::from_secs(7);
        }
        let until = |rng: &mut StdRng| now + Duration::from_millis(rng.random_range(500..6_000));
        for instance in &mut all {
            if rng.random_bool(0.01) {
                instance.store_cut = until(&mut rng);
            }
            if rng.random_bool(0.01) {
                instance.group = (until(&mut rng), rng.random_range(1..3));
            }
            if rng.random_bool(0.005) {
                instance.frozen = until(&mut rng);
            }
        }
        if rng.random_bool(0.005) {
            let end = until(&mut rng);
            all.iter_mut().for_each(|i| i.store_cut = end);
        }
        let runs: Vec<bool> = all.iter().map(|i| i.frozen <= now).collect();
        for i in (0..COUNT).filter(|i| runs[*i]) {
            let former = all[i].confirmed.0.max(all[i].agreed);
            if all[i].store_cut <= now {
                all[i].confirmed = (now, present);
            }
            let mates: Vec<usize> = (0..COUNT)
                .filter(|m| runs[*m] && all[*m].group(now) == all[i].group(now))
                .collect();
            let newest = mates.iter().map(|m| all[*m].confirmed).max().expect("itself at least");
            all[i].confirmed = all[i].confirmed.max(newest);
            if mates.len() * 2 > COUNT {
                // As in `LocalView::contact`, whose confirmations are late.
                let (late, before) = (now - Duration::from_millis(600), all[i].contact);
                if late > before + Duration::from_secs(1) {
                    all[i].history.postpone(before, now);
                }
                all[i].contact = before.max(late);
                all[i].agreed = now;
            }
            let known = split(splits[all[i].confirmed.1]);
            all[i].history.record(&known, former, now);
        }
        let able: Vec<usize> = (0..COUNT).filter(|i| runs[*i] && all[*i].is_current(now)).collect();
        for i in &able {
            let stream = name_hash(&format!("{}-{now:?}-{i}", rng.random::<u64>()));
            let instance = &all[*i];
            match instance.history.begin(stream, instance.moment(now)) {
                Ok(version) => {
                    let version = version.cloned().expect("a split is known");
                    begun.push((now, stream, version));
                }
                Err(Unsettled) => refused += 1,
            }
        }
        for i in &able {
            let recent = |(at, ..): &&(Duration, StreamId, Version)| now - *at <= WINDOW;
            for (_, stream, version) in begun.iter().rev().take_while(recent).step_by(7) {
                let instance = &all[*i];
                match instance.history.version(*stream, WINDOW, instance.moment(now)) {
                    Ok(found) => assert_eq!(found, version, "seed {seed} at {now:?}"),
                    Err(_) => unknown += 1,
                }
                taken_up += 1;
            }
        }
    }
    println!(
        "seed {seed}: {} begun, {refused} refused, {taken_up} taken up, {unknown} not known",
        begun.len(),
    );
    assert!(refused * 2 < begun.len());
    assert!(taken_up > 1_000 && unknown * 2 < taken_up);
}
