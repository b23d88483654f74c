//! Each message of a sender is accepted at most once, so that a recorded message cannot be sent
//! again by an attacker.

use {
    agate_wire::{Name, REPLAY_WINDOW, Reject, ReplayTable},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::collections::BTreeSet,
};

/// Messages of an older incarnation of a sender must be rejected once a newer one was seen.
#[test]
fn older_incarnation() {
    let mut t = ReplayTable::new(4);
    let a = Name::from("a");
    assert_eq!(t.accept(&a, 5, 100), Ok(()));
    assert_eq!(t.accept(&a, 6, 1), Ok(()));
    assert_eq!(t.accept(&a, 5, 101), Err(Reject::Outdated { seen: 6 }));
    assert_eq!(t.accept(&a, 6, 1), Err(Reject::Replayed));
}

/// A full table must evict the least recently used sender and keep the others.
#[test]
fn sender_eviction() {
    let mut t = ReplayTable::new(2);
    for (i, n) in ["a", "b", "a", "c"].into_iter().enumerate() {
        assert_eq!(t.accept(&Name::from(n), 1, i as u64 + 1), Ok(()));
    }
    assert_eq!(t.len(), 2);
    // "b" was the least recently used sender and was evicted.
    assert_eq!(t.accept(&Name::from("a"), 1, 3), Err(Reject::Replayed));
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..Config::default()
    })]

    /// Numbers that arrive out of order must be accepted once within the window, and never below
    /// it.
    #[test]
    fn accepted_once(sequences in proptest::collection::vec(0u64..400, 1..300)) {
        let mut t = ReplayTable::new(1);
        let a = Name::from("a");
        let mut accepted = BTreeSet::new();
        let mut greatest = 0;
        for s in sequences {
            let fresh = !accepted.contains(&s);
            let recent = accepted.is_empty() || s + REPLAY_WINDOW > greatest;
            prop_assert_eq!(t.accept(&a, 1, s).is_ok(), fresh && recent);
            if fresh && recent {
                accepted.insert(s);
                greatest = greatest.max(s);
            }
        }
    }
}
