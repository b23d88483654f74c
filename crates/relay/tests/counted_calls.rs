//! A request spends as many permits as endpoints see calls beyond its first.

use {
    agate_audit::repeats::{self, Arrival, excess},
    agate_relay::{
        arrivals::Arrivals,
        spare::{Budget, Rates},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::time::Duration,
};

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Run,
    Kept,
    ReadFailed,
    Unsent,
}

use Call::{Kept, ReadFailed, Run, Unsent};

const NOW: Duration = Duration::from_secs(1);

fn budget() -> Budget {
    Budget::new(Rates { ratio: 0.0, slack: 1e6, window: Duration::from_secs(10) })
}

fn make(arrivals: &mut Arrivals, budget: &Budget, call: Call) {
    let pass = arrivals.admit(|| budget.take(Some(1), NOW)).expect("a large budget");
    match call {
        Run | ReadFailed => {}
        Kept => drop(arrivals.accepted(pass)),
        Unsent => arrivals.unsent(pass),
    }
}

/// Calls beyond the first, as endpoints count them.
fn seen(calls: &[Call]) -> usize {
    let reached = calls.iter().enumerate().filter(|(_, call)| **call != Unsent);
    let arrival = |(i, call): (usize, &Call)| Arrival {
        at: Duration::from_millis(i as u64),
        request: "r".into(),
        read: *call == Kept,
    };
    let none = repeats::Budget { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
    excess(&reached.map(arrival).collect::<Vec<_>>(), &[], none).map_or(0, |e| e.arrivals)
}

#[rstest]
#[case(&[Run], 0)]
#[case(&[Kept, Run], 0)]
#[case(&[Unsent, Unsent, Run], 0)]
#[case(&[ReadFailed, Run], 1)]
#[case(&[ReadFailed, Kept, Run], 1)]
#[case(&[ReadFailed, ReadFailed, Run], 2)]
#[case(&[Kept, Run, ReadFailed, Kept, Run], 3)]
fn spent(#[case] calls: &[Call], #[case] permits: u32) {
    let (mut arrivals, budget) = (Arrivals::default(), budget());
    calls.iter().for_each(|call| make(&mut arrivals, &budget, *call));
    drop(arrivals);
    assert_eq!(budget.counts(NOW).repeats, permits);
}

/// Random calls: never fewer permits than endpoints see calls beyond the first, and no more once the
/// request has ended. A reading admitted as a further one, accepted as the first, leaves its permit
/// to the run.
#[test]
fn random_calls() {
    let mut rng = StdRng::seed_from_u64(17);
    for _ in 0..2_000 {
        let (mut arrivals, budget) = (Arrivals::default(), budget());
        let mut calls = Vec::new();
        for _ in 0..rng.random_range(1..9) {
            let call = [Run, Kept, ReadFailed, Unsent][rng.random_range(0..4)];
            make(&mut arrivals, &budget, call);
            calls.push(call);
            assert!(budget.counts(NOW).repeats as usize >= seen(&calls), "{calls:?}");
        }
        drop(arrivals);
        assert_eq!(budget.counts(NOW).repeats as usize, seen(&calls), "{calls:?}");
    }
}

/// What is held is enough for reading and running, whatever went before.
#[test]
fn enough_held() {
    let mut rng = StdRng::seed_from_u64(18);
    for _ in 0..2_000 {
        let (mut arrivals, budget) = (Arrivals::default(), budget());
        for _ in 0..rng.random_range(0..5) {
            make(&mut arrivals, &budget, [Run, Kept, ReadFailed][rng.random_range(0..3)]);
        }
        let needed = arrivals.needs_to_read();
        assert!(arrivals.hold(needed, || budget.take(Some(1), NOW)));
        let mut more = || -> Option<_> { panic!("a permit is missing") };
        let reading = arrivals.admit(&mut more).expect("held");
        arrivals.accepted(reading);
        arrivals.admit(&mut more).expect("held");
    }
}

/// A call whose caller leaves stays counted.
#[test]
fn cancelled() {
    let (mut arrivals, budget) = (Arrivals::default(), budget());
    make(&mut arrivals, &budget, Run);
    drop(arrivals.admit(|| budget.take(Some(1), NOW)));
    drop(arrivals);
    assert_eq!(budget.counts(NOW).repeats, 1);
}
