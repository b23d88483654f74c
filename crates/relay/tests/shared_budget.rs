//! The budget of repeated attempts holds over all instances together.

use {
    agate_relay::{
        arrivals::Arrivals,
        spare::{Budget, Rates},
    },
    rstest::rstest,
    std::time::Duration,
};

const RATES: Rates = Rates { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

/// Sends a request twice if the budget permits the second time.
fn repeat(budget: &Budget, instances: usize, now: Duration) -> bool {
    let mut arrivals = Arrivals::default();
    arrivals.admit(|| unreachable!("the first call is free")).expect("the first call");
    arrivals.admit(|| budget.take(instances, now)).is_some()
}

/// Pattern: every request fails and would be sent again, evenly over the fleet.
#[rstest]
#[case(1)]
#[case(8)]
#[case(89)]
fn storm(#[case] instances: usize) {
    let fleet: Vec<Budget> = (0..instances).map(|_| Budget::new(RATES)).collect();
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for ms in 0..40_000_u64 {
        let now = Duration::from_millis(ms);
        let spare = &fleet[ms as usize % instances];
        spare.on_request(now);
        requests.push(ms);
        if repeat(spare, instances, now) {
            repeats.push(ms);
        }
    }
    for end in (10_000..40_000).step_by(250) {
        let within =
            |times: &[u64]| times.iter().filter(|t| (end - 10_000..end).contains(*t)).count();
        let allowed = RATES.ratio * within(&requests) as f64 + RATES.slack;
        let sent = within(&repeats) as f64;
        assert!(sent <= allowed, "{sent} of {allowed} at {end} ms");
    }
}

/// A quiet instance may still repeat a few.
#[test]
fn own_slack() {
    let spare = Budget::new(RATES);
    let taken = (0..100).filter(|_| repeat(&spare, 8, Duration::from_secs(1))).count();
    assert!((1..=7).contains(&taken), "{taken}");
    assert!(!repeat(&spare, 8, Duration::from_secs(10)), "the window has not passed");
    assert!(repeat(&spare, 8, Duration::from_secs(12)), "it has passed");
}
