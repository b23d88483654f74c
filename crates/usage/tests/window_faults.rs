//! Random faults against a model of the work that ran: what is reported is never wrong.

mod support;

use {
    agate_store::{Call, Reply},
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestRunner},
    },
    rstest::rstest,
    support::{FAR, Mode, Op, Plant, World},
};

const COUNT: usize = 3;

fn ops(kills: u32) -> impl Strategy<Value = Vec<Op>> {
    let i = 0..COUNT;
    let mode = prop_oneof![3 => Just(Mode::Fine), 1 => Just(Mode::Lost), 1 => Just(Mode::Down)];
    let op = prop_oneof![
        8 => (i.clone(), 0..2usize, 1..50u64).prop_map(|(i, o, n)| Op::Count(i, o, n)),
        4 => i.clone().prop_map(Op::Ship),
        6 => (any::<usize>(), any::<bool>(), any::<bool>()).prop_map(|(k, a, b)| Op::Deliver(k, a, b)),
        2 => any::<usize>().prop_map(Op::Drop),
        kills => (i.clone(), any::<bool>()).prop_map(|(i, c)| if c { Op::Kill(i) } else { Op::Stop(i) }),
        2 => i.clone().prop_map(Op::Relay),
        2 => (i.clone(), any::<bool>()).prop_map(|(i, y)| Op::Authority(i, y)),
        10 => (i.clone(), mode, 0..8u8).prop_map(|(i, m, r)| Op::Drive(i, m, r)),
        6 => (1..40u64).prop_map(Op::Wait),
        1 => (i, -300..300i64).prop_map(|(i, s)| Op::Jump(i, s)),
    ];
    prop::collection::vec(op, 1..160)
}

fn check(w: &World, exact: bool) -> Result<(), TestCaseError> {
    prop_assert!(w.nodes.iter().all(|n| n.sealer.rejected == 0), "a window with two figures");
    for o in 0..2 {
        let (reported, ran) = (w.reported(o), w.ran(o));
        prop_assert!(reported <= ran, "org{o}: {reported} reported of {ran}");
        prop_assert!(!exact || reported >= w.left(o), "org{o}: {reported} of {}", w.left(o));
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

/// Runs `ops`, with a check after each, and lets the system recover.
fn run_checked(w: &mut World, ops: &[Op]) -> Result<(), TestCaseError> {
    for op in ops {
        w.run(op);
        check(w, false)?;
    }
    w.recover();
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Without kills, the reports add up to the work that ran.
    #[test]
    fn reports_equal_work(ops in ops(0)) {
        let mut w = World::new(Plant::Sound, FAR, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)?;
        prop_assert_eq!((w.reported(0), w.reported(1)), (w.ran(0), w.ran(1)));
    }

    /// With a short horizon late work may be dropped, records are deleted, and nothing is ever
    /// reported twice or above the work that ran.
    #[test]
    fn horizon_never_above(ops in ops(1)) {
        let mut w = World::new(Plant::Sound, 2, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, false)?;
        let Reply::Keys(kept) = w.store.apply(&Call::List { prefix: "usage/".into() }, w.now).unwrap()
        else { panic!() };
        prop_assert!(kept.len() <= 6, "{kept:?}");
    }

    /// With kills, only what no live instance had a copy of is missing, and never too much is there.
    #[test]
    fn kills_lose_unshipped(ops in ops(2)) {
        let mut w = World::new(Plant::Sound, FAR, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)?;
    }
}

#[rstest]
#[case(Plant::ForgetEntries)]
#[case(Plant::OwnProposal)]
#[case(Plant::Overwrite)]
fn planted_fault_found(#[case] plant: Plant) {
    let mut runner = TestRunner::new(ProptestConfig { max_shrink_iters: 0, ..config() });
    let found = runner.run(&ops(1), |ops| {
        let mut w = World::new(plant, FAR, COUNT);
        run_checked(&mut w, &ops)?;
        check(&w, true)
    });
    assert!(found.is_err(), "the checks see {plant:?}");
}

/// An instance killed after a round loses what it counted since, and nothing else.
#[test]
fn loss_is_bounded() {
    let mut w = World::new(Plant::Sound, FAR, COUNT);
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Ship(1));
    w.run(&Op::Deliver(0, false, true));
    w.run(&Op::Count(1, 0, 12));
    w.run(&Op::Kill(1));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (42, 30));
}

/// All instances are replaced within one window, one after the other, and no work is lost; were
/// each to hand over only its own counters, as by a last round, it would be.
#[rstest]
#[case::handed_on(true, 63)]
#[case::own_only(false, 0)]
fn rolling_restart_keeps(#[case] handed_on: bool, #[case] reported: u64) {
    let mut w = World::new(Plant::Sound, FAR, COUNT);
    for i in 0..COUNT {
        w.run(&Op::Count(i, 0, 21));
    }
    for i in 0..COUNT {
        w.run(&Op::Ship(i));
        w.run(&Op::Deliver(0, false, true));
        w.run(&Op::Deliver(0, false, true));
        let op = if handed_on { Op::Stop(i) } else { Op::Kill(i) };
        w.run(&op);
    }
    // The successors of all three are replaced in their turn.
    for i in 0..COUNT {
        let op = if handed_on { Op::Stop(i) } else { Op::Kill(i) };
        w.run(&op);
    }
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (63, reported));
}

/// A holder that dies between seal and report is followed by one that reports the same record.
#[test]
fn successor_reports_again() {
    let mut w = World::new(Plant::Sound, FAR, COUNT);
    w.run(&Op::Authority(0, true));
    w.run(&Op::Drive(0, Mode::Fine, 7));
    w.run(&Op::Count(1, 0, 30));
    w.run(&Op::Wait(65));
    w.run(&Op::Drive(0, Mode::Fine, 7));
    w.run(&Op::Wait(1));
    while w.seals == 0 {
        w.run(&Op::Wait(1));
        w.run(&Op::Drive(0, Mode::Lost, 7));
    }
    w.run(&Op::Count(1, 0, 5));
    w.run(&Op::Kill(0));
    w.run(&Op::Authority(2, true));
    w.run(&Op::Drive(2, Mode::Lost, 7));
    w.recover();
    assert_eq!((w.ran(0), w.reported(0)), (35, 35));
    assert_eq!(w.nodes[2].sealer.rejected, 0);
}
