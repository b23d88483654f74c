//! The check of the budget of repeats finds planted excesses and passes what is allowed.

use {
    agate_audit::{
        history::Time,
        repeats::{Arrival, Budget, excess},
    },
    rstest::rstest,
};

const BUDGET: Budget = Budget { ratio: 0.2, slack: 2.0, window: Time::from_secs(10) };

/// `number` requests a second for 40 s.
fn requests(number: u64) -> Vec<Time> {
    (0..40_000).step_by((1_000 / number) as usize).map(Time::from_millis).collect()
}

fn arrival(ms: u64, request: &str, read: bool) -> Arrival {
    Arrival { at: Time::from_millis(ms), request: request.into(), read }
}

/// Runs of one request, the first of which is none beyond the first.
fn runs(times: impl Iterator<Item = u64>) -> Vec<Arrival> {
    times.map(|ms| arrival(ms, "r", false)).collect()
}

#[rstest]
#[case(5, false)]
#[case(6, true)]
fn planted(#[case] further: u64, #[case] found: bool) {
    // Twenty requests a window allow four, and the slack two.
    let arrivals = runs((0..=further + 1).map(|i| 15_000 + i));
    assert_eq!(excess(&arrivals, &requests(2), BUDGET).is_some(), found);
}

/// A window counts wherever it begins.
#[test]
fn sliding() {
    let arrivals =
        runs([15_000, 16_000, 19_999, 20_001, 21_000, 23_000, 24_000, 25_999].into_iter());
    let found = excess(&arrivals, &requests(2), BUDGET).expect("seven within ten seconds");
    assert_eq!((found.arrivals, found.requests), (7, 20));
}

/// Requests sent up to one window before count where there were more.
#[test]
fn load_drops() {
    let requests: Vec<Time> = requests(10).into_iter().filter(|t| t.as_secs() < 10).collect();
    let arrivals = |from: u64| runs((0..=20).map(|i| from + i));
    assert_eq!(excess(&arrivals(10_000), &requests, BUDGET), None);
    assert!(excess(&arrivals(30_000), &requests, BUDGET).is_some());
}

/// Of the calls that have a prompt read, the first that an engine accepts does not count.
#[rstest]
#[case(&[true, false], 0)]
#[case(&[false, false], 1)]
#[case(&[true, true, false], 1)]
#[case(&[false, true, false, true], 2)]
fn readings(#[case] calls: &[bool], #[case] further: usize) {
    let budget = Budget { ratio: 0.0, slack: 0.0, ..BUDGET };
    let calls = calls.iter().enumerate();
    let arrivals: Vec<Arrival> = calls.map(|(i, read)| arrival(i as u64, "r", *read)).collect();
    let found = excess(&arrivals, &[], budget).map_or(0, |e| e.arrivals);
    assert_eq!(found, further);
}
