//! Role changes must be completed safely when the lease holder changes, responses are lost or
//! engines crash. The simulation checks each order: none may come from a former holder after one of
//! its successor, interrupt requests or remove the last engine of a role from a zone.

mod simulation;

use {
    agate_ctl::{ChangeIntent, Demand, Role, encode},
    rstest::rstest,
    simulation::{LEASE, Simulation},
    std::time::Duration,
};

const PREFILL_HEAVY: Demand = Demand { prefill: 200_000.0, decode: 4_000.0 };
const DECODE_HEAVY: Demand = Demand { prefill: 4_000.0, decode: 200_000.0 };

/// Runs for `seconds` while the holder renews its lease.
fn run(sim: &mut Simulation, holder: usize, seconds: u64) {
    for i in 0..seconds * 10 {
        if i % 30 == 0 {
            sim.renew(holder);
        }
        sim.advance();
    }
}

#[test]
fn roles_follow_demand() {
    let mut sim = Simulation::new(24, 3, 1);
    sim.demand = DECODE_HEAVY;
    sim.grant(0, Duration::ZERO);
    run(&mut sim, 0, 300);
    // One prefill engine must stay in each of the three availability zones.
    assert_eq!((sim.count(Role::Prefill), sim.count(Role::Decode)), (3, 21));
    sim.demand = PREFILL_HEAVY;
    run(&mut sim, 0, 400);
    assert_eq!((sim.count(Role::Prefill), sim.count(Role::Decode)), (21, 3));
    assert!(sim.engines.iter().all(|f| !f.draining), "an engine was left drained");
}

/// No order may be sent before the lease is granted or after it expires.
#[test]
fn no_authority() {
    let mut sim = Simulation::new(24, 3, 2);
    sim.demand = DECODE_HEAVY;
    for _ in 0..600 {
        sim.advance();
    }
    assert_eq!(sim.orders, 0, "an order was sent without a lease");
    sim.grant(0, Duration::ZERO);
    for _ in 0..600 {
        sim.advance();
    }
    let sent = sim.orders;
    assert!(sent > 0);
    for _ in 0..600 {
        sim.advance();
    }
    assert_eq!(sim.orders, sent, "an order was sent after the lease expired");
}

/// The holder changes during role changes while the former one still acts on its lease.
#[rstest]
fn holder_changes(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64, #[values(0.0, 0.3)] loss: f64) {
    let mut sim = Simulation::new(30, 3, seed);
    sim.loss = loss;
    sim.grant(0, Duration::ZERO);
    let mut holder = 0;
    for round in 0..12 {
        sim.demand = if round % 4 < 2 { DECODE_HEAVY } else { PREFILL_HEAVY };
        run(&mut sim, holder, 11 + (seed + round * 7) % 13);
        sim.renew(holder);
        let former_until = sim.now + LEASE;
        sim.paused[holder] = (seed + round).is_multiple_of(3);
        holder = 1 - holder;
        sim.paused[holder] = false;
        // The next holder gets the lease once the former one has expired.
        while sim.now < former_until {
            sim.advance();
        }
        sim.grant(holder, former_until);
    }
    sim.loss = 0.0;
    sim.demand = DECODE_HEAVY;
    run(&mut sim, holder, 500);
    assert!(
        sim.engines.iter().all(|f| !f.draining),
        "an engine stayed drained after a change of holder"
    );
    assert_eq!(sim.count(Role::Prefill), 3);
}

/// A change of an engine that crashes must be dropped, not waited for.
#[rstest]
#[case(1)]
#[case(2)]
fn crash_during_change(#[case] seed: u64) {
    let mut sim = Simulation::new(30, 3, seed);
    sim.loss = 0.1;
    sim.demand = DECODE_HEAVY;
    sim.grant(0, Duration::ZERO);
    run(&mut sim, 0, 8);
    for i in 0..6 {
        sim.engines[i * 5].crashed = Some(sim.now);
    }
    run(&mut sim, 0, 200);
    assert!(sim.holders[0].changes.is_empty(), "a change still waits for a crashed engine");
}

/// A record with the largest number of changes fits; a larger, cut or foreign one is rejected.
#[test]
fn record_limits() {
    let intent = |n| ChangeIntent {
        engine: format!("engine-with-a-rather-long-name-{n:04}"),
        from: Role::Prefill,
        to: Role::Decode,
        phase: agate_ctl::Phase::Ordered,
    };
    let most: Vec<_> = (0..agate_ctl::MAX_CHANGES).map(intent).collect();
    let bytes = encode(u64::MAX, &most).unwrap();
    assert_eq!(agate_ctl::decode(&bytes), Ok((u64::MAX, most.clone())));
    let more = [most, vec![intent(0)]].concat();
    assert_eq!(encode(1, &more), Err(agate_ctl::RecordError::Large));
    assert_eq!(agate_ctl::decode(&bytes[..9]), Err(agate_ctl::RecordError::Malformed));
    assert_eq!(agate_ctl::decode(&[7, 0]), Err(agate_ctl::RecordError::Version(7)));
}
