//! When a third of the endpoints fails, retries must not multiply the load, and the production
//! detector must not do worse than the baseline.

use {
    agate_lab::study::retry::{Detector, Fault, measure},
    rstest::rstest,
};

#[rstest]
fn bounded_amplification(
    #[values(Fault::Refused, Fault::Silent, Fault::Flaky, Fault::Blip)] fault: Fault,
    #[values(Detector::None, Detector::Production)] detector: Detector,
    #[values(20, 21)] seed: u64,
) {
    let outcome = measure(fault, detector, true, seed);
    assert!(outcome.amplification <= 1.1, "{} attempts per request", outcome.amplification);
}

/// Without a retry budget the limit is exceeded, so it is the budget that enforces it.
#[test]
fn unlimited_retries() {
    assert!(measure(Fault::Refused, Detector::None, false, 20).amplification > 1.1);
}

#[rstest]
fn detector_baseline(
    #[values(Fault::Refused, Fault::Silent, Fault::Flaky)] fault: Fault,
    #[values(20, 21)] seed: u64,
) {
    let production = measure(fault, Detector::Production, true, seed);
    let buckets = measure(fault, Detector::Buckets, true, seed);
    assert!(production.succeeded >= buckets.succeeded);
    assert!(production.amplification <= buckets.amplification);
}
