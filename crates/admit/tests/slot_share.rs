//! Shares of free slots between instances.

use agate_admit::{Share, share::Exchange};

fn scarce(free: u32) -> Exchange {
    Exchange { free, slots: 100, sharers: 4, pending: 3 }
}

/// Guards against filling the same free slots from several instances before grants are visible.
#[test]
fn concurrent_grants() {
    let mut shares = vec![Share::default(); 4];
    let mut taken = 0;
    // Three exchanges pass before the grants of the first one are seen.
    for _ in 0..3 {
        for share in &mut shares {
            share.on_exchange(scarce(12));
            taken += share.allowed();
            share.take(share.allowed());
        }
    }
    assert_eq!(taken, 12);
}

/// Guards against shares below one slot that never allow any.
#[test]
fn fractional_shares() {
    let mut share = Share::default();
    let allowed: u32 = (0..12)
        .map(|_| {
            share.on_exchange(scarce(2));
            let n = share.allowed();
            share.take(n);
            n
        })
        .sum();
    assert!((1..=2).contains(&allowed), "{allowed} of a sixth twelve times");
}

/// Guards against an allowance that accumulates while it is not used.
#[test]
fn bounded_allowance() {
    let mut share = Share::default();
    (0..1000).for_each(|_| share.on_exchange(scarce(12)));
    assert!(share.allowed() <= 2);
}

/// A slot that an own request freed can be filled before the next exchange.
#[test]
fn freed_slot_reused() {
    let mut share = Share::default();
    share.on_exchange(scarce(0));
    assert_eq!(share.allowed(), 0);
    share.on_finish();
    assert_eq!(share.allowed(), 1);
}

/// While plenty of slots are free, an instance may fill all of them.
#[test]
fn plenty_of_slots() {
    let mut share = Share::default();
    share.on_exchange(scarce(25));
    assert_eq!(share.allowed(), 25);
}
