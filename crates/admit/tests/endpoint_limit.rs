//! Adaptive concurrency limit of one endpoint.

use {
    agate_admit::limit::{Finish, Limit},
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Simulates responses whose latency grows with the requests beyond `capacity`; returns the bound.
fn settle(limit: &mut Limit, capacity: u32) -> u32 {
    let mut now = ms(0);
    for _ in 0..5000 {
        while limit.on_start() {}
        let excess = limit.bound().saturating_sub(capacity);
        let latency = ms(100) + ms(100) * excess;
        now += ms(20);
        limit.on_finish(Finish::Responded(latency), now);
    }
    limit.bound()
}

/// The bound never exceeds the reported slots, also after they decrease.
#[test]
fn slots_limit() {
    let mut limit = Limit::new(8);
    assert_eq!((0..20).filter(|_| limit.on_start()).count(), 8);
    limit.set_slots(4);
    assert_eq!(limit.free(), 0);
    assert_eq!(limit.bound(), 4);
}

/// Guards against an endpoint that reports more slots than it can serve.
#[test]
fn finds_capacity() {
    let mut limit = Limit::new(64);
    // The minimum latency is recorded before the load begins.
    assert!(limit.on_start());
    limit.on_finish(Finish::Responded(ms(100)), ms(0));
    let bound = settle(&mut limit, 10);
    assert!((8..=13).contains(&bound), "settled at {bound}");
}

/// Guards against a bound that stays low after an overload ended.
#[test]
fn recovers_to_slots() {
    let mut limit = Limit::new(16);
    for i in 0..100 {
        limit.on_start();
        limit.on_finish(Finish::Overloaded, ms(100 * i));
    }
    assert_eq!(limit.bound(), 1);
    assert_eq!(settle(&mut limit, 100), 16);
}
