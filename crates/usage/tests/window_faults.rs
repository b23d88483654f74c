//! Random operations and faults; the reports are compared with the work that ran.

mod support;

use {
    agate_store::{Call, StoreResponse},
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    rstest::rstest,
    support::{LONG_HORIZON, Op, PlantedBug, Simulation, StoreMode},
};

const COUNT: usize = 3;

fn ops(kills: u32) -> impl Strategy<Value = Vec<Op>> {
    let i = 0..COUNT;
    let mode = prop_oneof![3 => Just(StoreMode::Working), 1 => Just(StoreMode::ResultLost), 1 => Just(StoreMode::Unavailable)];
    let op = prop_oneof![
        8 => (i.clone(), 0..2usize, 1..50u64).prop_map(|(i, o, n)| Op::Count(i, o, n)),
        4 => i.clone().prop_map(Op::Replicate),
        6 => (any::<usize>(), any::<bool>(), any::<bool>()).prop_map(|(k, a, b)| Op::Deliver(k, a, b)),
        2 => any::<usize>().prop_map(Op::Drop),
        kills => (i.clone(), any::<bool>()).prop_map(|(i, c)| if c { Op::Kill(i) } else { Op::Stop(i) }),
        2 => i.clone().prop_map(Op::Relay),
        2 => (i.clone(), any::<bool>()).prop_map(|(i, y)| Op::SetLease(i, y)),
        10 => (i.clone(), mode, 0..8u8).prop_map(|(i, m, r)| Op::RunSealer(i, m, r)),
        6 => (1..40u64).prop_map(Op::Advance),
        1 => (i, -300..300i64).prop_map(|(i, s)| Op::SetSkew(i, s)),
    ];
    prop::collection::vec(op, 1..160)
}

fn check(w: &Simulation, exact: bool) -> Result<(), TestCaseError> {
    prop_assert!(
        w.instances.iter().all(|n| n.sealer.rejected == 0),
        "reports of one window differ"
    );
    for o in 0..2 {
        let (reported, ran) = (w.reported(o), w.ran(o));
        prop_assert!(reported <= ran, "org{o}: {reported} reported of {ran}");
        prop_assert!(
            !exact || reported >= w.surviving(o),
            "org{o}: {reported} of {}",
            w.surviving(o)
        );
    }
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..Default::default()
    }
}

/// Runs `ops`, with a check after each, then lets the system recover.
fn run_checked(w: &mut Simulation, ops: &[Op]) -> Result<(), TestCaseError> {
    for op in ops {
        w.run(op);
        check(w, false)?;
    }
    w.recover();
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Without kills, the reports add up to exactly the work that ran.
    #[test]
    fn reports_equal_work(ops in ops(0)) {
        let mut w = Simulation::new(PlantedBug::None, LONG_HORIZON, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)?;
        prop_assert_eq!((w.reported(0), w.reported(1)), (w.ran(0), w.ran(1)));
    }

    /// With a short horizon late work may be dropped and old records are deleted, but never more
    /// than the work that ran is reported.
    #[test]
    fn short_horizon(ops in ops(1)) {
        let mut w = Simulation::new(PlantedBug::None, 2, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, false)?;
        let StoreResponse::Keys(keys) = w.store.apply(&Call::List { prefix: "usage/".into() }, w.now).unwrap()
        else { panic!() };
        prop_assert!(keys.len() <= 6, "{keys:?}");
    }

    /// With kills, only work of which no live instance had a copy is missing, and never more than
    /// the work that ran is reported.
    #[test]
    fn kills_lose_unshipped(ops in ops(2)) {
        let mut w = Simulation::new(PlantedBug::None, LONG_HORIZON, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)?;
    }
}

/// Guards against checks that are too weak: they must detect each of these deliberate bugs.
#[rstest]
#[case(PlantedBug::ForgetEntries)]
#[case(PlantedBug::OwnProposal)]
#[case(PlantedBug::Overwrite)]
fn planted_bug_found(#[case] bug: PlantedBug) {
    let mut runner = TestRunner::new(ProptestConfig { max_shrink_iters: 0, ..config() });
    let found = runner.run(&ops(1), |ops| {
        let mut w = Simulation::new(bug, LONG_HORIZON, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)
    });
    assert!(found.is_err(), "{bug:?} was not detected");
}

/// A killed instance loses only what it counted after its last acknowledged round.
#[test]
fn kill_loss() {
    let mut w = Simulation::new(PlantedBug::None, LONG_HORIZON, COUNT);
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Replicate(1));
    w.run(&Op::Deliver(0, false, true));
    w.run(&Op::Count(1, 0, 12));
    w.run(&Op::Kill(1));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (42, 30));
}

/// Guards against losing work when all instances are replaced one after the other, twice, within
/// one window. Each has to send its copies to its peers before it stops; if it sent only its own
/// counters, as in a last round, all work would be lost.
#[rstest]
#[case::copies_sent(true, 63)]
#[case::own_only(false, 0)]
fn rolling_restart(#[case] copies_sent: bool, #[case] reported: u64) {
    let mut w = Simulation::new(PlantedBug::None, LONG_HORIZON, COUNT);
    for i in 0..COUNT {
        w.run(&Op::Count(i, 0, 21));
    }
    for i in 0..COUNT {
        w.run(&Op::Replicate(i));
        w.run(&Op::Deliver(0, false, true));
        w.run(&Op::Deliver(0, false, true));
        let op = if copies_sent { Op::Stop(i) } else { Op::Kill(i) };
        w.run(&op);
    }
    // The three replacements are replaced as well.
    for i in 0..COUNT {
        let op = if copies_sent { Op::Stop(i) } else { Op::Kill(i) };
        w.run(&op);
    }
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (63, reported));
}

/// A lease holder dies between sealing and reporting; its successor reports the same record.
#[test]
fn successor_repeats_report() {
    let mut w = Simulation::new(PlantedBug::None, LONG_HORIZON, COUNT);
    w.run(&Op::SetLease(0, true));
    w.run(&Op::RunSealer(0, StoreMode::Working, 7));
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Advance(65));
    w.run(&Op::RunSealer(0, StoreMode::Working, 7));
    w.run(&Op::Advance(1));
    while w.seals == 0 {
        w.run(&Op::Advance(1));
        w.run(&Op::RunSealer(0, StoreMode::ResultLost, 7));
    }
    w.run(&Op::Count(1, 0, 5));
    w.run(&Op::Kill(0));
    w.run(&Op::SetLease(2, true));
    w.run(&Op::RunSealer(2, StoreMode::ResultLost, 7));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (35, 35));
    assert_eq!(w.instances[2].sealer.rejected, 0);
}
