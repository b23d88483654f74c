//! Call rates when all instances restart at once.

#[path = "support/fleet.rs"]
mod fleet;

use {
    fleet::{Fleet, FleetSimulation},
    rstest::rstest,
    std::time::Duration,
};

/// Rate limits of the service, per second.
const MAX_READS: u64 = 2000;
const MAX_WRITES: u64 = 300;

#[rstest]
#[case(Fleet { instances: 8, zones: 4, leases: 17, naive: false })]
#[case(Fleet { instances: 1_900, zones: 9, leases: 28, naive: false })]
#[case(Fleet { instances: 1_900, zones: 9, leases: 140, naive: false })]
fn bounded_rates(#[case] fleet: Fleet) {
    let mut s = FleetSimulation::start(fleet, 5);
    s.run(Duration::from_secs(30));
    println!("{fleet:?}: {} reads/s, {} writes/s", s.counts.peak_reads, s.counts.peak_writes);
    assert_eq!(s.ready(), fleet.instances);
    assert_eq!(s.held(), fleet.leases);
    assert!(s.counts.peak_reads <= MAX_READS && s.counts.peak_writes <= MAX_WRITES);
}

/// Without jitter, peers, ranks and budgets the limits are exceeded, so the test above can fail.
#[test]
fn naive_fleet() {
    let fleet = Fleet { instances: 1_900, zones: 9, leases: 2, naive: true };
    let mut s = FleetSimulation::start(fleet, 5);
    s.run(Duration::from_secs(2));
    assert!(s.counts.peak_reads > MAX_READS && s.counts.peak_writes > MAX_WRITES);
}
