//! A request spends one retry permit for each call beyond the first that endpoints see.

use {
    agate_audit::retries::{self, Arrival, excess},
    agate_relay::{
        calls::CallTracker,
        retry_budget::{RetryBudget, RetryLimits},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::time::Duration,
};

/// Result of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    Run,
    PrefillAccepted,
    PrefillFailed,
    Unsent,
}

use CallResult::{PrefillAccepted, PrefillFailed, Run, Unsent};

const NOW: Duration = Duration::from_secs(1);

fn budget() -> RetryBudget {
    RetryBudget::new(RetryLimits { ratio: 0.0, slack: 1e6, window: Duration::from_secs(10) })
}

fn make(tracker: &mut CallTracker, budget: &RetryBudget, call: CallResult) {
    let admission = tracker.admit(|| budget.take(Some(1), NOW)).expect("a large budget");
    match call {
        Run | PrefillFailed => {}
        PrefillAccepted => drop(tracker.on_prefill_accepted(admission)),
        Unsent => tracker.on_unsent(admission),
    }
}

/// Number of calls beyond the first, as endpoints count them.
fn seen(calls: &[CallResult]) -> usize {
    let reached = calls.iter().enumerate().filter(|(_, call)| **call != Unsent);
    let arrival = |(i, call): (usize, &CallResult)| Arrival {
        at: Duration::from_millis(i as u64),
        request: "r".into(),
        prefill_only: *call == PrefillAccepted,
    };
    let none = retries::Budget { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
    excess(&reached.map(arrival).collect::<Vec<_>>(), &[], none).map_or(0, |e| e.arrivals)
}

/// Guards against free retries and against permits spent on calls that do not count.
#[rstest]
#[case(&[Run], 0)]
#[case(&[PrefillAccepted, Run], 0)]
#[case(&[Unsent, Unsent, Run], 0)]
#[case(&[PrefillFailed, Run], 1)]
#[case(&[PrefillFailed, PrefillAccepted, Run], 1)]
#[case(&[PrefillFailed, PrefillFailed, Run], 2)]
#[case(&[PrefillAccepted, Run, PrefillFailed, PrefillAccepted, Run], 3)]
fn permits_spent(#[case] calls: &[CallResult], #[case] permits: u32) {
    let (mut tracker, budget) = (CallTracker::default(), budget());
    calls.iter().for_each(|call| make(&mut tracker, &budget, *call));
    drop(tracker);
    assert_eq!(budget.counts(NOW).retries, permits);
}

/// Guards against wrong counts in any sequence of calls: at no time fewer permits are spent than
/// endpoints see calls beyond the first, and none in excess once the request ended. A prefill
/// admitted as a retry but accepted as the first one passes its permit on to the run.
#[test]
fn random_calls() {
    let mut rng = StdRng::seed_from_u64(17);
    for _ in 0..2_000 {
        let (mut tracker, budget) = (CallTracker::default(), budget());
        let mut calls = Vec::new();
        for _ in 0..rng.random_range(1..9) {
            let call = [Run, PrefillAccepted, PrefillFailed, Unsent][rng.random_range(0..4)];
            make(&mut tracker, &budget, call);
            calls.push(call);
            assert!(budget.counts(NOW).retries as usize >= seen(&calls), "{calls:?}");
        }
        drop(tracker);
        assert_eq!(budget.counts(NOW).retries as usize, seen(&calls), "{calls:?}");
    }
}

/// Guards against a prefill whose run finds no permit: after any earlier calls, the reserved
/// permits suffice for both.
#[test]
fn enough_reserved() {
    let mut rng = StdRng::seed_from_u64(18);
    for _ in 0..2_000 {
        let (mut tracker, budget) = (CallTracker::default(), budget());
        for _ in 0..rng.random_range(0..5) {
            make(
                &mut tracker,
                &budget,
                [Run, PrefillAccepted, PrefillFailed][rng.random_range(0..3)],
            );
        }
        let needed = tracker.permits_to_prefill();
        assert!(tracker.reserve(needed, || budget.take(Some(1), NOW)));
        let mut more = || -> Option<_> { panic!("a permit is missing") };
        let reading = tracker.admit(&mut more).expect("held");
        tracker.on_prefill_accepted(reading);
        tracker.admit(&mut more).expect("held");
    }
}

/// A call whose caller disconnects stays counted.
#[test]
fn cancelled_call_counts() {
    let (mut tracker, budget) = (CallTracker::default(), budget());
    make(&mut tracker, &budget, Run);
    drop(tracker.admit(|| budget.take(Some(1), NOW)));
    drop(tracker);
    assert_eq!(budget.counts(NOW).retries, 1);
}
