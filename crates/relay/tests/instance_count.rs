//! The number of instances by which fleet-wide limits are divided is never too small.

use {agate_relay::instance_count::InstanceCount, rstest::rstest, std::time::Duration};

const WINDOW: Duration = Duration::from_secs(10);

fn s(seconds: f64) -> Duration {
    agate_core::time::seconds(seconds)
}

/// The maximum count of the window applies, whatever the list shows meanwhile.
#[test]
fn sliding_maximum() {
    let mut instance_count = InstanceCount::new(WINDOW, Duration::ZERO);
    for (at, count) in [(1.0, 8), (4.0, 5), (5.0, 6), (8.0, 0)] {
        instance_count.record(count, s(at));
    }
    let expected = [(8.0, 8), (13.9, 8), (14.1, 6), (17.9, 6), (18.1, 1)];
    for (at, most) in expected {
        assert_eq!(instance_count.max(s(at)), most, "at {at} s");
    }
}

/// The time of the next decrease is known, so that limits can be divided again then.
#[test]
fn next_decrease_time() {
    let mut instance_count = InstanceCount::new(WINDOW, Duration::ZERO);
    assert_eq!(instance_count.next_decrease(), None);
    instance_count.record(8, s(1.0));
    assert_eq!(instance_count.next_decrease(), None);
    instance_count.record(3, s(2.0));
    assert_eq!(instance_count.next_decrease(), Some(s(12.0)));
    instance_count.record(9, s(3.0));
    assert_eq!(instance_count.next_decrease(), None);
}

/// Guards against using a share while other instances may not count this one: just after its start,
/// and while it is missing from the list.
#[rstest]
#[case::just_started(9.9, Some(0.1), None)]
#[case::listed(10.0, Some(0.1), Some(8))]
#[case::listed_before(10.0, Some(5.0), Some(8))]
#[case::no_longer_listed(10.0, Some(5.1), None)]
#[case::never_listed(60.0, None, None)]
fn share_conditions(#[case] up: f64, #[case] listed: Option<f64>, #[case] sharers: Option<usize>) {
    let started = s(100.0);
    let mut instance_count = InstanceCount::new(WINDOW, started);
    instance_count.record(8, started);
    assert_eq!(instance_count.sharers(listed.map(s), started + s(up)), sharers);
}
