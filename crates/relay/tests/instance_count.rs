//! The number of instances that the fleet's allowances are divided by errs on the side of too many.

use {agate_relay::headcount::Headcount, rstest::rstest, std::time::Duration};

const WINDOW: Duration = Duration::from_secs(10);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The greatest count of the window holds, whatever the list shows meanwhile.
#[test]
fn greatest_counts() {
    let mut headcount = Headcount::new(WINDOW, Duration::ZERO);
    for (at, count) in [(1.0, 8), (4.0, 5), (5.0, 6), (8.0, 0)] {
        headcount.note(count, s(at));
    }
    let expected = [(8.0, 8), (13.9, 8), (14.1, 6), (17.9, 6), (18.1, 1)];
    for (at, most) in expected {
        assert_eq!(headcount.most(s(at)), most, "at {at} s");
    }
}

/// The time of the next fall is known, so that what was divided is divided anew.
#[test]
fn next_fall() {
    let mut headcount = Headcount::new(WINDOW, Duration::ZERO);
    assert_eq!(headcount.falls(), None);
    headcount.note(8, s(1.0));
    assert_eq!(headcount.falls(), None);
    headcount.note(3, s(2.0));
    assert_eq!(headcount.falls(), Some(s(12.0)));
    headcount.note(9, s(3.0));
    assert_eq!(headcount.falls(), None);
}

#[rstest]
#[case::just_started(9.9, Some(0.1), None)]
#[case::listed(10.0, Some(0.1), Some(8))]
#[case::listed_before(10.0, Some(5.0), Some(8))]
#[case::no_longer_listed(10.0, Some(5.1), None)]
#[case::never_listed(60.0, None, None)]
fn has_part(#[case] up: f64, #[case] listed: Option<f64>, #[case] sharing: Option<usize>) {
    let started = s(100.0);
    let mut headcount = Headcount::new(WINDOW, started);
    headcount.note(8, started);
    assert_eq!(headcount.sharing(listed.map(s), started + s(up)), sharing);
}
