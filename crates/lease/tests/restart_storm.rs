//! All instances restarted at once stay within the rates of the service.

#[path = "support/storm.rs"]
mod storm;

use {
    rstest::rstest,
    std::time::Duration,
    storm::{Fleet, Storm},
};

/// What the service takes in a second.
const MAX_READS: u64 = 2000;
const MAX_WRITES: u64 = 300;

#[rstest]
#[case(Fleet { instances: 8, zones: 4, leases: 17, naive: false })]
#[case(Fleet { instances: 1_900, zones: 9, leases: 28, naive: false })]
#[case(Fleet { instances: 1_900, zones: 9, leases: 140, naive: false })]
fn restart_within_rates(#[case] fleet: Fleet) {
    let mut s = Storm::start(fleet, 5);
    s.run(Duration::from_secs(30));
    println!("{fleet:?}: {} reads/s, {} writes/s", s.counts.peak_reads, s.counts.peak_writes);
    assert_eq!(s.ready(), fleet.instances);
    assert_eq!(s.held(), fleet.leases);
    assert!(s.counts.peak_reads <= MAX_READS && s.counts.peak_writes <= MAX_WRITES);
}

/// The bounds can fail: without jitter, peers, ranks and budgets they do.
#[test]
fn naive_exceeds_rates() {
    let fleet = Fleet { instances: 1_900, zones: 9, leases: 2, naive: true };
    let mut s = Storm::start(fleet, 5);
    s.run(Duration::from_secs(2));
    assert!(s.counts.peak_reads > MAX_READS && s.counts.peak_writes > MAX_WRITES);
}
