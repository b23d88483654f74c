//! Retry rules, retry budget and delays.

use {
    agate_core::Retry,
    agate_route::{Budget, Failure, may_retry, retry},
    rstest::rstest,
    std::time::Duration,
};

const LEFT: Duration = Duration::from_secs(5);

/// Guards against retrying a request that may have run and is not idempotent.
#[rstest]
#[case(false, false, false, Some(Retry::Unsent))]
#[case(true, true, false, Some(Retry::DeclaredNotRun))]
#[case(true, false, true, Some(Retry::Idempotent))]
#[case(true, false, false, None)]
fn retry_reasons(
    #[case] sent: bool,
    #[case] declared_not_run: bool,
    #[case] idempotent: bool,
    #[case] expected: Option<Retry>,
) {
    let failure = Failure { sent, declared_not_run };
    assert_eq!(may_retry(failure, idempotent, 1, LEFT, &Budget::default()), expected);
}

/// Attempts, time to the deadline and the budget each limit retries.
#[test]
fn retry_bounds() {
    let unsent = Failure { sent: false, declared_not_run: false };
    let budget = Budget::default();
    assert_eq!(may_retry(unsent, true, retry::MAX_ATTEMPTS, LEFT, &budget), None);
    assert_eq!(may_retry(unsent, true, 1, Duration::from_millis(1), &budget), None);
    while budget.take() {}
    assert_eq!(may_retry(unsent, true, 1, LEFT, &budget), None);
}

/// Guards against retries that multiply the load when all requests fail.
#[test]
fn bounded_amplification() {
    let budget = Budget::default();
    let requests = 10_000;
    let mut retries = 0;
    for _ in 0..requests {
        budget.on_request();
        retries += usize::from(budget.take());
    }
    assert!(retries * 10 <= requests, "{retries} retries of {requests} requests");
}

/// A delay never exceeds its maximum or half of the remaining time.
#[test]
fn bounded_delay() {
    for seed in 0..100 {
        for attempts in 1..40 {
            assert!(retry::delay(attempts, LEFT, seed) <= retry::DELAY_MAX);
            assert!(retry::delay(attempts, Duration::from_millis(8), seed).as_millis() <= 4);
        }
    }
}
