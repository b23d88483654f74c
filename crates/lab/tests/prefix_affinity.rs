//! Prefix affinity against the baselines.

use {
    agate_lab::{
        baseline::Choice,
        study::{
            affinity::{Case, measure},
            deadline::measured,
        },
    },
    rstest::rstest,
    std::time::Duration,
};

fn case(engines: u32, hot: bool) -> Case {
    Case { engines, hot, events: None, length: Duration::from_secs(40), seed: 20 }
}

#[rstest]
fn more_hits_than_without(
    #[values(8, 24)] engines: u32,
    #[values(Choice::Random, Choice::LeastReported)] choice: Choice,
) {
    let case = case(engines, false);
    let (ours, other) = (measure(&case, Choice::Predicted), measure(&case, choice));
    assert!(ours.cached_share() > other.cached_share());
    let p95 =
        |f: &agate_lab::figures::Figures| f.first_percentile(95.0, |r| measured(r) && !r.urgent);
    assert!(p95(&ours) < p95(&other));
}

#[test]
fn hot_prefix_spreads() {
    let case = case(48, true);
    let (ours, hash) = (measure(&case, Choice::Predicted), measure(&case, Choice::PlainHash));
    assert!(ours.late_share(measured) <= hash.late_share(measured));
    let p95 =
        |f: &agate_lab::figures::Figures| f.first_percentile(95.0, |r| measured(r) && !r.urgent);
    assert!(p95(&ours) < p95(&hash));
}
