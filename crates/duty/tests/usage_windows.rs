//! Usage windows: counted by steady time, added up whole, sealed once.

use {
    agate_duty::{
        count::{BELIEVE_JUMP, KEPT, SteadyWall, Tally, end_of, sum, window_of},
        window::{Sealed, Settings, due, is_old, key, window_in},
    },
    rstest::rstest,
    std::time::Duration,
};

const LENGTH: Duration = Duration::from_secs(5);
const SETTINGS: Settings = Settings {
    length: LENGTH,
    gather: Duration::from_millis(1_700),
    late: Duration::from_secs(10),
};

fn s(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// A jump of the time of day that is undone later does not move counts to another window.
#[rstest]
#[case(1_000.0)]
#[case(-2.4)]
#[case(2.4)]
fn undone_jump(#[case] jump: f64) {
    let mut wall = SteadyWall::new(s(1e6), s(50.0));
    assert_eq!(wall.read(s(1e6 + 1.0), s(51.0)), s(1e6 + 1.0));
    for t in 2..8 {
        let t = f64::from(t);
        assert_eq!(wall.read(s(1e6 + t + jump), s(50.0 + t)), s(1e6 + t));
    }
    assert_eq!(wall.read(s(1e6 + 9.0), s(59.0)), s(1e6 + 9.0));
}

/// A time of day that stays different is believed in the end.
#[test]
fn lasting_jump() {
    let mut wall = SteadyWall::new(s(1e6), s(0.0));
    wall.read(s(1e6 + 101.0), s(1.0));
    let later = s(1.0) + BELIEVE_JUMP;
    assert_eq!(wall.read(s(1e6 + 100.0) + later, later), s(1e6 + 100.0) + later);
}

/// An instance that starts while its machine's clock is off uses what the others agree on. What it
/// says itself follows once its own clock shows the same, so it never repeats what it was told.
#[test]
fn agreed_time() {
    let mut wall = SteadyWall::new(s(1e6 + 4.0), s(0.0));
    assert_eq!(wall.agree(s(1e6 + 1.0), s(1.0)), Some(s(4.0)));
    assert_eq!(wall.read(s(1e6 + 6.0), s(2.0)), s(1e6 + 2.0));
    assert_eq!(wall.vote(s(1e6 + 6.0), s(2.0)), (s(1e6 + 6.0), s(2.0)));
    assert_eq!(wall.read(s(1e6 + 3.0), s(3.0)), s(1e6 + 3.0));
    assert_eq!(wall.vote(s(1e6 + 4.0), s(4.0)), (s(1e6 + 4.0), s(1.0)));
    assert_eq!(wall.agree(s(1e6 + 4.02), s(4.0)), None, "a usual difference");
}

/// A time that all instances come to agree on is followed, whatever was agreed before.
#[test]
fn agreed_anew() {
    let mut wall = SteadyWall::new(s(1e6), s(0.0));
    assert_eq!(wall.agree(s(1e6 + 3.0), s(0.0)), Some(s(3.0)));
    assert_eq!(wall.agree(s(1e6 + 1.0), s(1.0)), Some(s(3.0)));
    assert_eq!(wall.read(s(1e6 + 2.0), s(2.0)), s(1e6 + 2.0));
}

/// Whole values may be repeated and overtaken; each incarnation counts once.
#[test]
fn merged_counts() {
    let mut own = Tally::default();
    for _ in 0..3 {
        own.count(7, &"x".into());
    }
    let mut copy = Tally::default();
    copy.merge(7, &[("x".into(), 3)]);
    copy.merge(7, &[("x".into(), 2), ("y".into(), 1)]);
    own.merge_all(&copy);
    let restarted = Tally::decode(&copy.encode()).expect("an own record");
    let total = sum([&own, &restarted], 7);
    assert_eq!(total.get("x"), Some(&6));
    assert_eq!(total.get("y"), Some(&2));
    assert_eq!(Tally::decode(b"\x09abc"), None);
}

/// Old windows are dropped, so a record stays small.
#[test]
fn bounded_record() {
    let mut tally = Tally::default();
    for window in 0..100 {
        tally.count(window, &"x".into());
    }
    assert_eq!(tally.newest(), Some(99));
    assert_eq!(tally.newest_rows(100).len() as u64, KEPT);
}

/// A window is due once its counts were gathered, until it is too late.
#[test]
fn due_windows() {
    let window = window_of(s(1_000.0), LENGTH);
    assert_eq!(end_of(window, LENGTH), s(1_005.0));
    let is_due = |at: f64| due(&SETTINGS, s(at)).any(|w| w == window);
    assert!(!is_due(1_006.6) && is_due(1_006.8) && is_due(1_014.9) && !is_due(1_015.1));
    assert!(!is_old(&SETTINGS, window, s(1_020.0)) && is_old(&SETTINGS, window, s(1_036.0)));
}

/// The sealed record says the same to whoever reads it.
#[test]
fn sealed_record() {
    let mut tally = Tally::default();
    tally.count(3, &"b".into());
    tally.count(3, &"a".into());
    let sealed = Sealed::new(&sum([&tally], 3));
    assert_eq!(Sealed::decode(&sealed.encode()), Some(sealed));
    assert_eq!(window_in(&key(3)), Some(3));
    assert_eq!(window_in("agate/sealed/x"), None);
}
