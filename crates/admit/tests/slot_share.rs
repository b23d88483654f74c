//! Parts of free slots that instances share.

use agate_admit::{Share, share::Exchange};

fn scarce(free: u32) -> Exchange {
    Exchange { free, slots: 100, sharers: 4, pending: 3 }
}

#[test]
fn parts_stay_below_free() {
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

#[test]
fn small_parts_add_up() {
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

#[test]
fn unused_parts_do_not_pile_up() {
    let mut share = Share::default();
    (0..1000).for_each(|_| share.on_exchange(scarce(12)));
    assert!(share.allowed() <= 2);
}

#[test]
fn own_slot_at_once() {
    let mut share = Share::default();
    share.on_exchange(scarce(0));
    assert_eq!(share.allowed(), 0);
    share.on_finish();
    assert_eq!(share.allowed(), 1);
}

#[test]
fn plenty_is_unbounded() {
    let mut share = Share::default();
    share.on_exchange(scarce(25));
    assert_eq!(share.allowed(), 25);
}
