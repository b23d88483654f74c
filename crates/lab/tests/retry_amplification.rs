//! Retry amplification and detectors while a third of the endpoints fails.

use {
    agate_lab::study::retry::{Detector, Fault, measure},
    rstest::rstest,
};

#[rstest]
fn amplification_bounded(
    #[values(Fault::Refused, Fault::Silent, Fault::Flaky, Fault::Blip)] fault: Fault,
    #[values(Detector::None, Detector::Production)] detector: Detector,
    #[values(20, 21)] seed: u64,
) {
    let outcome = measure(fault, detector, true, seed);
    assert!(outcome.amplification <= 1.1, "{} attempts a request", outcome.amplification);
}

#[test]
fn budget_is_what_bounds() {
    assert!(measure(Fault::Refused, Detector::None, false, 20).amplification > 1.1);
}

#[rstest]
fn detector_beats_buckets(
    #[values(Fault::Refused, Fault::Silent, Fault::Flaky)] fault: Fault,
    #[values(20, 21)] seed: u64,
) {
    let ours = measure(fault, Detector::Production, true, seed);
    let buckets = measure(fault, Detector::Buckets, true, seed);
    assert!(ours.answered >= buckets.answered);
    assert!(ours.amplification <= buckets.amplification);
}
