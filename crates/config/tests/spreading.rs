//! A change reaches every instance, nothing goes back, and instances that are cut off refuse.

#[path = "support/sim.rs"]
mod sim;

use {
    agate_config::{
        freshness::{PROOF_BOUND, Standing},
        spread::{Input, Peer, Settings, watchers},
    },
    rstest::rstest,
    sim::{Sim, Sizes},
    std::time::Duration,
};

/// About those of a document of 6,500 organisations.
const SIZES: Sizes = Sizes { digest: 100, head: 2_000, index: 2_500, chunk: 5_000 };
const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

/// Instances that have all put the first configuration in force and proved it.
fn settled(count: usize, zones: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(count, zones, SIZES, seed);
    sim.run(10 * SECOND);
    assert!(sim.all_at(1));
    for i in 0..count {
        assert_eq!(sim.standing(i), Standing::Fresh, "instance {i}");
    }
    sim
}

#[rstest]
#[case(1, 1, 5)]
#[case(8, 4, 5)]
#[case(8, 1, 5)]
#[case(256, 9, 12)]
#[case(1_900, 9, 12)]
fn change_in_force(#[case] count: usize, #[case] zones: usize, #[case] target: u64) {
    let mut sim = settled(count, zones, 1);
    sim.loss = 0.05;
    for generation in 2..5 {
        sim.publish();
        let taken = sim.run_until(target as u32 * SECOND, |s| s.all_at(generation));
        assert!(taken.is_some(), "generation {generation} is not in force everywhere");
    }
}

#[test]
fn store_down_for_all() {
    let mut sim = settled(8, 4, 2);
    sim.store_up = false;
    for _ in 0..600 {
        sim.run(SECOND);
        assert!((0..8).all(|i| sim.standing(i).serves()), "{:?}", sim.now);
    }
    assert!((0..8).all(|i| sim.standing(i) == Standing::StoreDown));
    sim.store_up = true;
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(2)).is_some());
}

#[test]
fn cut_from_store_only() {
    let mut sim = settled(8, 4, 3);
    sim.nodes[0].reaches_store = false;
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(2)).is_some());
    for _ in 0..60 {
        sim.run(SECOND);
        assert_eq!(sim.standing(0), Standing::Fresh, "peers' proofs suffice");
    }
}

#[test]
fn zone_cut_from_store() {
    let mut sim = settled(64, 4, 4);
    sim.nodes.iter_mut().filter(|n| n.zone == 0).for_each(|n| n.reaches_store = false);
    sim.publish();
    assert!(sim.run_until(12 * SECOND, |s| s.all_at(2)).is_some());
    sim.run(60 * SECOND);
    assert!((0..64).all(|i| sim.standing(i) == Standing::Fresh));
}

/// Instances that hear nobody else refuse within the bound, whatever generation they hold.
#[rstest]
#[case::one(8, 4, 1)]
#[case::zone(64, 4, 16)]
fn cut_from_all(#[case] count: usize, #[case] zones: usize, #[case] cut: usize) {
    let mut sim = settled(count, zones, 5);
    let lost: Vec<usize> = (0..count).filter(|i| i % zones == 0).take(cut).collect();
    for i in &lost {
        sim.nodes[*i].group = 1;
        sim.nodes[*i].reaches_store = false;
    }
    sim.publish();
    sim.run(PROOF_BOUND + MILLI);
    for i in 0..count {
        let expected = if lost.contains(&i) { Standing::Stale } else { Standing::Fresh };
        assert_eq!(sim.standing(i), expected, "instance {i}");
    }
    for i in &lost {
        sim.nodes[*i].group = 0;
    }
    let mended = |s: &Sim| s.all_at(2) && (0..count).all(|i| s.standing(i) == Standing::Fresh);
    assert!(sim.run_until(5 * SECOND, mended).is_some());
}

#[test]
fn watcher_cut_off() {
    let mut sim = settled(64, 1, 6);
    let watcher = (0..64).find(|i| sim.nodes[*i].state.is_watcher()).expect("there is one");
    sim.nodes[watcher].group = 1;
    sim.nodes[watcher].reaches_store = false;
    sim.publish();
    let others = |s: &Sim| {
        let mut others = s.nodes.iter().enumerate().filter(|(i, _)| *i != watcher);
        others.all(|(_, n)| n.state.installed() == 2)
    };
    assert!(sim.run_until(12 * SECOND, others).is_some());
    sim.run(10 * SECOND);
    let fresh = (0..64).filter(|i| sim.standing(*i) == Standing::Fresh).count();
    assert_eq!((fresh, sim.standing(watcher)), (63, Standing::Stale));
}

/// One direction of an instance's way to all peers fails, and it cannot reach the store.
#[rstest]
#[case::hears_only(true, false)]
#[case::heard_only(false, true)]
fn half_open(#[case] hears: bool, #[case] heard: bool) {
    let mut sim = settled(8, 4, 7);
    let node = &mut sim.nodes[3];
    (node.hears, node.heard, node.reaches_store) = (hears, heard, false);
    sim.run(PROOF_BOUND + MILLI);
    for i in 0..8 {
        let expected = if i == 3 { Standing::Stale } else { Standing::Fresh };
        assert_eq!(sim.standing(i), expected, "instance {i}");
    }
}

/// An instance wakes after a minute with old answers in its buffers.
#[rstest]
#[case(0)]
#[case(3)]
#[case(7)]
fn paused_and_woken(#[case] i: usize) {
    let mut sim = settled(8, 4, 8);
    sim.nodes[i].paused = true;
    sim.run(MILLI);
    sim.publish();
    sim.run(60 * SECOND);
    // It wakes cut off: nothing that waited for it may look like a proof.
    sim.nodes[i].group = 1;
    sim.nodes[i].reaches_store = false;
    sim.nodes[i].paused = false;
    sim.input(i, Input::Due);
    assert_eq!(sim.standing(i), Standing::Stale);
    sim.nodes[i].group = 0;
    assert!(sim.run_until(SECOND, |s| s.standing(i) == Standing::Fresh).is_some());
    assert_eq!(sim.nodes[i].state.installed(), 2);
}

#[test]
fn older_head_refused() {
    let mut sim = settled(8, 4, 9);
    sim.publish();
    sim.run(5 * SECOND);
    sim.head = 1;
    sim.run(2 * Settings::default().reread);
    assert!(sim.nodes.iter().all(|n| n.state.installed() == 2), "the newer one stays");
    let watchers = sim.nodes.iter().filter(|n| n.state.is_watcher());
    assert!(watchers.clone().all(|n| n.alarms > 0 && n.state.counters.older == n.alarms));
    assert!((0..8).all(|i| sim.standing(i) == Standing::Fresh));
    sim.publish();
    sim.publish();
    assert!(sim.run_until(5 * SECOND, |s| s.all_at(3)).is_some());
}

#[test]
fn no_false_alarm() {
    let mut sim = settled(64, 4, 10);
    sim.loss = 0.05;
    for _ in 0..200 {
        sim.publish();
        sim.run(Duration::from_millis(37));
    }
    assert_eq!(sim.nodes.iter().map(|n| n.alarms).sum::<u64>(), 0);
}

/// All instances start at once; the store grants 2,000 reads a second.
#[test]
fn start_together() {
    let mut sim = Sim::new(1_900, 9, SIZES, 11);
    let taken = sim.run_until(12 * SECOND, |s| s.all_at(1));
    assert!(taken.is_some());
    assert!(sim.peak.2 < 1_000, "{} reads in a second, half of the store's rate", sim.peak.2);
}

/// The same when no instance holds a chunk of a document of 6,500 organisations.
#[test]
fn cold_start() {
    let mut sim = Sim::new(1_900, 9, SIZES, 11);
    sim.tree = (25, 17);
    let taken = sim.run_until(12 * SECOND, |s| s.all_at(1));
    assert!(taken.is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}

/// Nobody knows another instance for the first seconds of such a start.
#[test]
fn cold_strangers() {
    let mut sim = Sim::strangers(1_900, 9, SIZES, 12);
    sim.tree = (25, 17);
    sim.run(5 * SECOND);
    (0..1_900).for_each(|i| sim.introduce(i));
    assert!(sim.run_until(12 * SECOND, |s| s.all_at(1)).is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}

/// Instances that never hear of each other still read what they need, at the fleet's pace.
#[rstest]
#[case(1, 5)]
#[case(8, 12)]
fn strangers_forever(#[case] count: usize, #[case] target: u32) {
    let mut sim = Sim::strangers(count, 1, SIZES, 13);
    sim.tree = (25, 17);
    assert!(sim.run_until(target * SECOND, |s| s.all_at(1)).is_some());
}

/// The readers of an availability zone die amid a cold start, unnoticed by the membership.
#[rstest]
#[case::zone_of_many(256, 9, 1, 12)]
#[case::only_zone(64, 1, 1, 30)]
fn readers_die(
    #[case] count: usize,
    #[case] zones: usize,
    #[case] dead: usize,
    #[case] target: u32,
) {
    let mut sim = Sim::new(count, zones, SIZES, 14);
    sim.tree = (25, 17);
    sim.run(SECOND / 2);
    let zone: Vec<_> = sim.nodes.iter().filter(|n| n.zone == 0).map(|n| n.name.clone()).collect();
    let ranked = watchers(&zone, 1, 1);
    let lost = |name: &Peer| ranked[..dead].contains(name);
    sim.nodes.iter_mut().filter(|n| lost(&n.name)).for_each(|n| n.paused = true);
    let others = |s: &Sim| s.nodes.iter().all(|n| n.paused || n.state.installed() == 1);
    assert!(sim.run_until(target * SECOND, others).is_some());
    assert!(sim.peak.2 <= 2_000, "{} reads in a second, above the store's rate", sim.peak.2);
}
