//! The check of the retry budget must find an excess and accept what the budget allows.

use {
    agate_audit::{
        history::Time,
        retries::{Arrival, Budget, excess},
    },
    rstest::rstest,
};

const BUDGET: Budget = Budget { ratio: 0.2, slack: 2.0, window: Time::from_secs(10) };

/// Times of `number` requests per second for 40 s.
fn requests(number: u64) -> Vec<Time> {
    (0..40_000).step_by((1_000 / number) as usize).map(Time::from_millis).collect()
}

fn arrival(ms: u64, request: &str, prefill_only: bool) -> Arrival {
    Arrival { at: Time::from_millis(ms), request: request.into(), prefill_only }
}

/// Arrivals of one request; all but the first one are retries.
fn arrivals_at(times: impl Iterator<Item = u64>) -> Vec<Arrival> {
    times.map(|ms| arrival(ms, "r", false)).collect()
}

#[rstest]
#[case(5, false)]
#[case(6, true)]
fn exceeded_budget(#[case] retries: u64, #[case] found: bool) {
    // 20 requests per window allow four retries, and the slack allows two.
    let arrivals = arrivals_at((0..=retries + 1).map(|i| 15_000 + i));
    assert_eq!(excess(&arrivals, &requests(2), BUDGET).is_some(), found);
}

/// An excess must be found in a window that starts at any time.
#[test]
fn sliding_window() {
    let arrivals =
        arrivals_at([15_000, 16_000, 19_999, 20_001, 21_000, 23_000, 24_000, 25_999].into_iter());
    let found = excess(&arrivals, &requests(2), BUDGET)
        .expect("seven retries within ten seconds exceed the budget");
    assert_eq!((found.arrivals, found.requests), (7, 20));
}

/// After the load drops, the requests of the previous window still count.
#[test]
fn load_drop() {
    let requests: Vec<Time> = requests(10).into_iter().filter(|t| t.as_secs() < 10).collect();
    let arrivals = |from: u64| arrivals_at((0..=20).map(|i| from + i));
    assert_eq!(excess(&arrivals(10_000), &requests, BUDGET), None);
    assert!(excess(&arrivals(30_000), &requests, BUDGET).is_some());
}

/// The first prefill-only call that an engine accepts is not a retry.
#[rstest]
#[case(&[true, false], 0)]
#[case(&[false, false], 1)]
#[case(&[true, true, false], 1)]
#[case(&[false, true, false, true], 2)]
fn prefill_calls(#[case] calls: &[bool], #[case] retries: usize) {
    let budget = Budget { ratio: 0.0, slack: 0.0, ..BUDGET };
    let calls = calls.iter().enumerate();
    let arrivals: Vec<Arrival> = calls.map(|(i, read)| arrival(i as u64, "r", *read)).collect();
    let found = excess(&arrivals, &[], budget).map_or(0, |e| e.arrivals);
    assert_eq!(found, retries);
}
