//! The budget cap must hold when one of eight instances is partitioned and cannot report its
//! spending.

use {
    agate_lab::study::budget::{Method, measure},
    rstest::rstest,
};

#[rstest]
fn cap_holds(
    #[values(100_000, 100_000_000)] cap: u64,
    #[values(1.2, 3.0)] demand: f64,
    #[values(20, 21)] seed: u64,
) {
    let slices = measure(Method::Slices, cap, demand, seed);
    assert_eq!(slices.over, 0);
    let split = measure(Method::Split, cap, demand, seed);
    assert!(slices.used >= split.used - 0.01, "{} < {}", slices.used, split.used);
}

/// The gossip baseline overspends, so the study can detect overspending.
#[test]
fn gossip_overspends() {
    assert!(
        measure(Method::Gossip, 1_000_000, 3.0, 20).over > 0,
        "the study did not detect overspending"
    );
}
