//! A change reaches all instances, no instance goes back to an older generation, and instances that
//! are cut off refuse requests.

#[path = "support/sim.rs"]
mod sim;

use {
    agate_config::{
        freshness::{ConfigFreshness, MAX_PROOF_AGE},
        spread::{Input, Peer, Settings, watchers},
    },
    rstest::rstest,
    sim::{Sim, Sizes},
    std::time::Duration,
};

/// Approximate sizes with a document of 6,500 organisations.
const SIZES: Sizes = Sizes { digest: 100, head: 2_000, index: 2_500, chunk: 5_000 };
const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

/// Returns instances that have all installed the first configuration and have a recent proof.
fn joined_fleet(count: usize, zones: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, zones, SIZES, seed);
    sim.run(10 * SECOND);
    assert!(sim.all_at(1));
    for i in 0..count {
        assert_eq!(sim.freshness(i), ConfigFreshness::Fresh, "instance {i}");
    }
    sim
}

#[rstest]
#[case(1, 1, 5)]
#[case(8, 4, 5)]
#[case(8, 1, 5)]
#[case(256, 9, 12)]
#[case(1_900, 9, 12)]
fn change_propagates(#[case] count: usize, #[case] zones: usize, #[case] target: u64) {
    let mut sim = joined_fleet(count, zones, 1);
    sim.loss = 0.05;
    for generation in 2..5 {
        sim.publish();
        let taken = sim.run_until(target as u32 * SECOND, |s| s.all_at(generation));
        assert!(taken.is_some(), "generation {generation} is not installed everywhere");
    }
}

#[test]
fn store_outage() {
    let mut sim = joined_fleet(8, 4, 2);
    sim.store_up = false;
    for _ in 0..600 {
        sim.run(SECOND);
        assert!((0..8).all(|i| sim.freshness(i).may_serve()), "{:?}", sim.now);
    }
    assert!((0..8).all(|i| sim.freshness(i) == ConfigFreshness::StoreDown));
    sim.store_up = true;
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(2)).is_some());
}

#[test]
fn store_partition() {
    let mut sim = joined_fleet(8, 4, 3);
    sim.instances[0].reaches_store = false;
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(2)).is_some());
    for _ in 0..60 {
        sim.run(SECOND);
        assert_eq!(sim.freshness(0), ConfigFreshness::Fresh, "peers' proofs suffice");
    }
}

#[test]
fn zone_store_partition() {
    let mut sim = joined_fleet(64, 4, 4);
    sim.instances.iter_mut().filter(|n| n.zone == 0).for_each(|n| n.reaches_store = false);
    sim.publish();
    assert!(sim.run_until(12 * SECOND, |s| s.all_at(2)).is_some());
    sim.run(60 * SECOND);
    assert!((0..64).all(|i| sim.freshness(i) == ConfigFreshness::Fresh));
}

/// Instances that are cut off from all others refuse requests within the limit, whatever generation
/// they have.
#[rstest]
#[case::one(8, 4, 1)]
#[case::zone(64, 4, 16)]
fn full_partition(#[case] count: usize, #[case] zones: usize, #[case] cut: usize) {
    let mut sim = joined_fleet(count, zones, 5);
    let lost: Vec<usize> = (0..count).filter(|i| i % zones == 0).take(cut).collect();
    for i in &lost {
        sim.instances[*i].group = 1;
        sim.instances[*i].reaches_store = false;
    }
    sim.publish();
    sim.run(MAX_PROOF_AGE + MILLI);
    for i in 0..count {
        let expected =
            if lost.contains(&i) { ConfigFreshness::Stale } else { ConfigFreshness::Fresh };
        assert_eq!(sim.freshness(i), expected, "instance {i}");
    }
    for i in &lost {
        sim.instances[*i].group = 0;
    }
    let recovered =
        |s: &Sim| s.all_at(2) && (0..count).all(|i| s.freshness(i) == ConfigFreshness::Fresh);
    assert!(sim.run_until(5 * SECOND, recovered).is_some());
}

#[test]
fn watcher_partition() {
    let mut sim = joined_fleet(64, 1, 6);
    let watcher = (0..64).find(|i| sim.instances[*i].state.is_watcher()).expect("there is one");
    sim.instances[watcher].group = 1;
    sim.instances[watcher].reaches_store = false;
    sim.publish();
    let others = |s: &Sim| {
        let mut others = s.instances.iter().enumerate().filter(|(i, _)| *i != watcher);
        others.all(|(_, n)| n.state.installed() == 2)
    };
    assert!(sim.run_until(12 * SECOND, others).is_some());
    sim.run(10 * SECOND);
    let fresh = (0..64).filter(|i| sim.freshness(*i) == ConfigFreshness::Fresh).count();
    assert_eq!((fresh, sim.freshness(watcher)), (63, ConfigFreshness::Stale));
}

/// An instance that cannot reach the store loses one direction of its connections to all peers.
#[rstest]
#[case::receives_only(true, false)]
#[case::sends_only(false, true)]
fn one_way_loss(#[case] can_receive: bool, #[case] can_send: bool) {
    let mut sim = joined_fleet(8, 4, 7);
    let instance = &mut sim.instances[3];
    (instance.can_receive, instance.can_send, instance.reaches_store) =
        (can_receive, can_send, false);
    sim.run(MAX_PROOF_AGE + MILLI);
    for i in 0..8 {
        let expected = if i == 3 { ConfigFreshness::Stale } else { ConfigFreshness::Fresh };
        assert_eq!(sim.freshness(i), expected, "instance {i}");
    }
}

/// An instance resumes after a minute with old responses in its buffers.
#[rstest]
#[case(0)]
#[case(3)]
#[case(7)]
fn paused_instance(#[case] i: usize) {
    let mut sim = joined_fleet(8, 4, 8);
    sim.instances[i].paused = true;
    sim.run(MILLI);
    sim.publish();
    sim.run(60 * SECOND);
    // It resumes while it is cut off: buffered messages must not count as proofs.
    sim.instances[i].group = 1;
    sim.instances[i].reaches_store = false;
    sim.instances[i].paused = false;
    sim.input(i, Input::Due);
    assert_eq!(sim.freshness(i), ConfigFreshness::Stale);
    sim.instances[i].group = 0;
    assert!(sim.run_until(SECOND, |s| s.freshness(i) == ConfigFreshness::Fresh).is_some());
    assert_eq!(sim.instances[i].state.installed(), 2);
}

#[test]
fn older_head_refused() {
    let mut sim = joined_fleet(8, 4, 9);
    sim.publish();
    sim.run(5 * SECOND);
    sim.head = 1;
    sim.run(2 * Settings::default().reread);
    assert!(sim.instances.iter().all(|n| n.state.installed() == 2), "the newer one stays");
    let watchers = sim.instances.iter().filter(|n| n.state.is_watcher());
    assert!(watchers.clone().all(|n| n.alarms > 0 && n.state.counters.older == n.alarms));
    assert!((0..8).all(|i| sim.freshness(i) == ConfigFreshness::Fresh));
    sim.publish();
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(3)).is_some());
}

#[test]
fn concurrent_changes() {
    let mut sim = joined_fleet(64, 4, 10);
    sim.loss = 0.05;
    for _ in 0..200 {
        sim.publish();
        sim.run(Duration::from_millis(37));
    }
    assert_eq!(sim.instances.iter().map(|n| n.alarms).sum::<u64>(), 0);
}

/// All instances start at once; the store serves 2,000 reads per second.
#[test]
fn simultaneous_start() {
    let mut sim = Sim::new(1_900, 9, SIZES, 11);
    let taken = sim.run_until(12 * SECOND, |s| s.all_at(1));
    assert!(taken.is_some());
    assert!(sim.peak.2 < 1_000, "{} reads in a second, half of the store's rate", sim.peak.2);
}

/// As `simultaneous_start`, but no instance holds a chunk of a document of 6,500 organisations.
#[test]
fn cold_start() {
    let mut sim = Sim::new(1_900, 9, SIZES, 11);
    sim.tree = (25, 17);
    let taken = sim.run_until(12 * SECOND, |s| s.all_at(1));
    assert!(taken.is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}

/// As `cold_start`, but no instance knows another one in the first seconds.
#[test]
fn cold_isolated() {
    let mut sim = Sim::isolated(1_900, 9, SIZES, 12);
    sim.tree = (25, 17);
    sim.run(5 * SECOND);
    (0..1_900).for_each(|i| sim.send_members(i));
    assert!(sim.run_until(12 * SECOND, |s| s.all_at(1)).is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}

/// Instances that never discover each other still read what they need, at the fleet's rate.
#[rstest]
#[case(1, 5)]
#[case(8, 12)]
fn never_discovered(#[case] count: usize, #[case] target: u32) {
    let mut sim = Sim::isolated(count, 1, SIZES, 13);
    sim.tree = (25, 17);
    assert!(sim.run_until(target * SECOND, |s| s.all_at(1)).is_some());
}

/// The reader of an availability zone fails during a cold start, and the membership does not
/// notice.
#[rstest]
#[case::zone_of_many(256, 9, 1, 12)]
#[case::only_zone(64, 1, 1, 30)]
fn failed_readers(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] dead: usize,
    #[case] target: u32,
) {
    let mut sim = Sim::new(count, zones, SIZES, 14);
    sim.tree = (25, 17);
    sim.run(SECOND / 2);
    let zone: Vec<_> =
        sim.instances.iter().filter(|n| n.zone == 0).map(|n| n.name.clone()).collect();
    let ranked = watchers(&zone, 1, 1);
    let lost = |name: &Peer| ranked[..dead].contains(name);
    sim.instances.iter_mut().filter(|n| lost(&n.name)).for_each(|n| n.paused = true);
    let others = |s: &Sim| s.instances.iter().all(|n| n.paused || n.state.installed() == 1);
    assert!(sim.run_until(target * SECOND, others).is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}
