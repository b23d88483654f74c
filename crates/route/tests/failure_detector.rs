//! Failure detector: when endpoints go offline and return.

use {
    agate_route::health::{self, ExchangeResult, Health, on_result, return_early, usable},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn failed(now: Duration) -> Health {
    let health = Health::default();
    for _ in 0..health::MAX_CONSECUTIVE {
        on_result(&health, ExchangeResult::Failure, now);
    }
    health
}

/// Consecutive failures take an endpoint offline for the initial period.
#[test]
fn consecutive_failures_trip() {
    let health = Health::default();
    assert!(!on_result(&health, ExchangeResult::Failure, SECOND));
    assert!(!on_result(&health, ExchangeResult::Failure, SECOND));
    assert!(on_result(&health, ExchangeResult::Failure, SECOND));
    assert!(!usable(&health, SECOND));
    assert!(usable(&health, SECOND + health::OFFLINE_MIN));
}

/// Guards against an endpoint that stays online because successes interrupt its failures.
#[test]
fn mixed_failures_trip() {
    let health = Health::default();
    let mut tripped = false;
    for i in 0..health::MIN_REQUESTS {
        let kind = if i % 2 == 0 { ExchangeResult::Success } else { ExchangeResult::Failure };
        tripped |= on_result(&health, kind, SECOND);
    }
    assert!(tripped);
}

/// Guards against taking an endpoint offline for a low failure rate.
#[test]
fn rare_failures_do_not_trip() {
    let health = Health::default();
    for i in 0..1000 {
        let kind = if i % 4 == 0 { ExchangeResult::Failure } else { ExchangeResult::Success };
        assert!(!on_result(&health, kind, SECOND + Duration::from_millis(10 * i)));
    }
}

/// A failure on probation takes an endpoint offline again, for twice as long up to the maximum.
#[test]
fn relapse_doubles_period() {
    let health = failed(SECOND);
    let mut now = SECOND;
    for period in [1, 2, 4, 8, 16, 30, 30] {
        assert_eq!(health::offline_left(&health, now).as_secs(), period);
        now += health::offline_left(&health, now);
        assert!(
            on_result(&health, ExchangeResult::Failure, now),
            "on probation one failure suffices"
        );
    }
}

/// Guards against taking an endpoint offline for exchanges that ended on the caller's side.
#[test]
fn neutral_results_ignored() {
    let health = Health::default();
    assert!((0..100).all(|_| !on_result(&health, ExchangeResult::Neutral, SECOND)));
}

/// Guards against a pool whose endpoints are all offline.
#[test]
fn early_return() {
    let pool: Vec<_> = (0..6).map(|i| failed(SECOND + Duration::from_millis(i))).collect();
    let list: Vec<_> = pool.iter().collect();
    let now = SECOND + Duration::from_millis(10);
    return_early(&list, now);
    let back: Vec<_> = pool.iter().map(|h| usable(h, now)).collect();
    assert_eq!(back, [true, true, true, false, false, false]);
}
