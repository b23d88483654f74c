//! Routing by cached prefixes must find more cached tokens and be faster than the baselines,
//! without overloading one engine when a single prefix is popular.

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
fn cache_hits(
    #[values(8, 24)] engines: u32,
    #[values(Choice::Random, Choice::LeastReported)] choice: Choice,
) {
    let case = case(engines, false);
    let (production, other) = (measure(&case, Choice::Predicted), measure(&case, choice));
    assert!(production.cached_fraction() > other.cached_fraction());
    let p95 =
        |f: &agate_lab::results::Results| f.first_percentile(95.0, |r| measured(r) && !r.urgent);
    assert!(p95(&production) < p95(&other));
}

#[test]
fn hot_prefix() {
    let case = case(48, true);
    let (production, hash) = (measure(&case, Choice::Predicted), measure(&case, Choice::PlainHash));
    assert!(production.late_fraction(measured) <= hash.late_fraction(measured));
    let p95 =
        |f: &agate_lab::results::Results| f.first_percentile(95.0, |r| measured(r) && !r.urgent);
    assert!(p95(&production) < p95(&hash));
}
