//! Spend at the cap with one of eight instances partitioned.

use {
    agate_lab::study::budget::{Method, measure},
    rstest::rstest,
};

#[rstest]
fn cap_never_exceeded(
    #[values(100_000, 100_000_000)] cap: u64,
    #[values(1.2, 3.0)] demand: f64,
    #[values(20, 21)] seed: u64,
) {
    let slices = measure(Method::Slices, cap, demand, seed);
    assert_eq!(slices.over, 0);
    let split = measure(Method::Split, cap, demand, seed);
    assert!(slices.used >= split.used - 0.01, "{} < {}", slices.used, split.used);
}

#[test]
fn gossip_exceeds() {
    assert!(measure(Method::Gossip, 1_000_000, 3.0, 20).over > 0, "the study can see overspend");
}
