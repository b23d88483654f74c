//! Orders under changes of holder, lost answers and crashes.

mod world;

use {
    agate_ctl::{Demand, Role, Saved, encode},
    rstest::rstest,
    std::time::Duration,
    world::{LEASE, World},
};

const PREFILL: Demand = Demand { prefill: 200_000.0, decode: 4_000.0 };
const DECODE: Demand = Demand { prefill: 4_000.0, decode: 200_000.0 };

/// Lets the holder renew and runs for `seconds`.
fn run(w: &mut World, holder: usize, seconds: u64) {
    for i in 0..seconds * 10 {
        if i % 30 == 0 {
            w.renew(holder);
        }
        w.advance();
    }
}

#[test]
fn roles_follow_demand() {
    let mut w = World::new(24, 3, 1);
    w.demand = DECODE;
    w.grant(0, Duration::ZERO);
    run(&mut w, 0, 300);
    // One prefill engine stays in each of the three availability zones.
    assert_eq!((w.count(Role::Prefill), w.count(Role::Decode)), (3, 21));
    w.demand = PREFILL;
    run(&mut w, 0, 400);
    assert_eq!((w.count(Role::Prefill), w.count(Role::Decode)), (21, 3));
    assert!(w.fakes.iter().all(|f| !f.draining), "an engine was left drained");
}

#[test]
fn no_authority() {
    let mut w = World::new(24, 3, 2);
    w.demand = DECODE;
    for _ in 0..600 {
        w.advance();
    }
    assert_eq!(w.orders, 0, "an order was given without authority");
    w.grant(0, Duration::ZERO);
    for _ in 0..600 {
        w.advance();
    }
    let given = w.orders;
    assert!(given > 0);
    for _ in 0..600 {
        w.advance();
    }
    assert_eq!(w.orders, given, "an order was given after the authority had lapsed");
}

/// Holders change in the middle of changes while the former one still believes in its authority.
#[rstest]
fn holder_changes(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64, #[values(0.0, 0.3)] loss: f64) {
    let mut w = World::new(30, 3, seed);
    w.loss = loss;
    w.grant(0, Duration::ZERO);
    let mut holder = 0;
    for round in 0..12 {
        w.demand = if round % 4 < 2 { DECODE } else { PREFILL };
        run(&mut w, holder, 11 + (seed + round * 7) % 13);
        w.renew(holder);
        let former = w.now + LEASE;
        w.paused[holder] = (seed + round).is_multiple_of(3);
        holder = 1 - holder;
        w.paused[holder] = false;
        // The successor is granted authority once the lease has lapsed for everyone.
        while w.now < former {
            w.advance();
        }
        w.grant(holder, former);
    }
    w.loss = 0.0;
    w.demand = DECODE;
    run(&mut w, holder, 500);
    assert!(w.fakes.iter().all(|f| !f.draining), "a successor left an engine drained");
    assert_eq!(w.count(Role::Prefill), 3);
}

#[rstest]
#[case(1)]
#[case(2)]
fn crashes_amid(#[case] seed: u64) {
    let mut w = World::new(30, 3, seed);
    w.loss = 0.1;
    w.demand = DECODE;
    w.grant(0, Duration::ZERO);
    run(&mut w, 0, 8);
    for i in 0..6 {
        w.fakes[i * 5].crashed = Some(w.now);
    }
    run(&mut w, 0, 200);
    assert!(w.holders[0].changes.is_empty(), "a change waits for a crashed engine for ever");
}

#[test]
fn record_limits() {
    let saved = |n| Saved {
        engine: format!("engine-with-a-rather-long-name-{n:04}"),
        from: Role::Prefill,
        to: Role::Decode,
        phase: agate_ctl::Phase::Ordered,
    };
    let most: Vec<_> = (0..agate_ctl::MAX_CHANGES).map(saved).collect();
    let bytes = encode(u64::MAX, &most).unwrap();
    assert_eq!(agate_ctl::decode(&bytes), Ok((u64::MAX, most.clone())));
    let more = [most, vec![saved(0)]].concat();
    assert_eq!(encode(1, &more), Err(agate_ctl::RecordError::Large));
    assert_eq!(agate_ctl::decode(&bytes[..9]), Err(agate_ctl::RecordError::Malformed));
    assert_eq!(agate_ctl::decode(&[7, 0]), Err(agate_ctl::RecordError::Version(7)));
}
