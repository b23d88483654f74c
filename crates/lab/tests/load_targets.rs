//! Targets for latency below saturation, goodput above it, and load balance with delayed reports.

use {
    agate_lab::{
        baseline::Choice,
        study::{
            deadline::{BASELINES, FIRST_TARGET, GAP_TARGET, PRODUCTION, measure, measured},
            overload::measure_lag,
        },
    },
    rstest::rstest,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(60);

#[rstest]
fn question_latency(#[values(20, 21)] seed: u64) {
    let production = measure(8, 0.8, PRODUCTION, LENGTH, seed);
    assert!(production.first_percentile(95.0, |r| measured(r) && r.urgent) <= FIRST_TARGET);
    assert!(production.gap_percentile(95.0) <= GAP_TARGET);
    let late = |f: &agate_lab::results::Results| f.late_fraction(|r| measured(r) && r.urgent);
    for policy in BASELINES {
        assert!(
            late(&production) <= late(&measure(8, 0.8, policy, LENGTH, seed)),
            "{}",
            policy.name
        );
    }
}

#[test]
#[ignore = "known red: uncached dossiers need more than 0.78 s of prefill on one modelled engine"]
fn all_requests_in_time() {
    let production = measure(8, 0.8, PRODUCTION, LENGTH, 20);
    assert!(production.first_percentile(95.0, measured) <= FIRST_TARGET);
}

#[rstest]
fn overload_goodput(#[values(20, 21)] seed: u64) {
    let full = measure(8, 1.0, PRODUCTION, LENGTH, seed);
    let overloaded = measure(8, 1.5, PRODUCTION, LENGTH, seed);
    assert!(overloaded.good_work(measured) >= full.good_work(measured) * 0.95);
}

#[rstest]
fn no_herding(#[values(100, 1000, 5000)] lag: u64) {
    let lag = Duration::from_millis(lag);
    let production = measure_lag(Choice::Predicted, lag, true, LENGTH, 20);
    let random = measure_lag(Choice::Random, lag, true, LENGTH, 20);
    assert!(
        production.load_imbalance() <= random.load_imbalance(),
        "the load is less balanced than with random choice"
    );
}
