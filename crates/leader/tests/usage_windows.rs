//! Usage windows: counted on the stable clock, merged without loss, sealed once.

use {
    agate_leader::{
        count::{JUMP_ACCEPT, MAX_WINDOWS, StableClock, Tally, end_of, window_of, window_sum},
        window::{Sealed, Settings, due_windows, is_expired, key, window_in},
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
    agate_core::time::seconds(n)
}

/// A clock jump that is undone later must not move counts to another window.
#[rstest]
#[case(1_000.0)]
#[case(-2.4)]
#[case(2.4)]
fn reverted_jump(#[case] jump: f64) {
    let mut wall = StableClock::new(s(1e6), s(50.0));
    assert_eq!(wall.read(s(1e6 + 1.0), s(51.0)), s(1e6 + 1.0));
    for t in 2..8 {
        let t = f64::from(t);
        assert_eq!(wall.read(s(1e6 + t + jump), s(50.0 + t)), s(1e6 + t));
    }
    assert_eq!(wall.read(s(1e6 + 9.0), s(59.0)), s(1e6 + 9.0));
}

/// A clock jump that lasts is accepted in the end.
#[test]
fn lasting_jump() {
    let mut wall = StableClock::new(s(1e6), s(0.0));
    wall.read(s(1e6 + 101.0), s(1.0));
    let later = s(1.0) + JUMP_ACCEPT;
    assert_eq!(wall.read(s(1e6 + 100.0) + later, later), s(1e6 + 100.0) + later);
}

/// An instance that starts with a wrong clock uses the agreed time. The time that it reports itself
/// changes only once its own clock shows the agreed one, so it never repeats what it was told.
#[test]
fn agreed_time() {
    let mut wall = StableClock::new(s(1e6 + 4.0), s(0.0));
    assert_eq!(wall.agree(s(1e6 + 1.0), s(1.0)), Some(s(4.0)));
    assert_eq!(wall.read(s(1e6 + 6.0), s(2.0)), s(1e6 + 2.0));
    assert_eq!(wall.vote(s(1e6 + 6.0), s(2.0)), (s(1e6 + 6.0), s(2.0)));
    assert_eq!(wall.read(s(1e6 + 3.0), s(3.0)), s(1e6 + 3.0));
    assert_eq!(wall.vote(s(1e6 + 4.0), s(4.0)), (s(1e6 + 4.0), s(1.0)));
    assert_eq!(wall.agree(s(1e6 + 4.02), s(4.0)), None, "a difference within the normal range");
}

/// A new agreed time replaces an earlier one.
#[test]
fn replaced_agreement() {
    let mut wall = StableClock::new(s(1e6), s(0.0));
    assert_eq!(wall.agree(s(1e6 + 3.0), s(0.0)), Some(s(3.0)));
    assert_eq!(wall.agree(s(1e6 + 1.0), s(1.0)), Some(s(3.0)));
    assert_eq!(wall.read(s(1e6 + 2.0), s(2.0)), s(1e6 + 2.0));
}

/// Counts may arrive repeatedly and out of order; each incarnation counts once.
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
    let total = window_sum([&own, &restarted], 7);
    assert_eq!(total.get("x"), Some(&6));
    assert_eq!(total.get("y"), Some(&2));
    assert_eq!(Tally::decode(b"\x09abc"), None);
}

/// Old windows are dropped, so that a record stays small.
#[test]
fn bounded_record() {
    let mut tally = Tally::default();
    for window in 0..100 {
        tally.count(window, &"x".into());
    }
    assert_eq!(tally.newest(), Some(99));
    assert_eq!(tally.newest_rows(100).len() as u64, MAX_WINDOWS);
}

/// A window is due once its counts were gathered and until it is too late.
#[test]
fn report_period() {
    let window = window_of(s(1_000.0), LENGTH);
    assert_eq!(end_of(window, LENGTH), s(1_005.0));
    let is_due = |at: f64| due_windows(&SETTINGS, s(at)).any(|w| w == window);
    assert!(!is_due(1_006.6) && is_due(1_006.8) && is_due(1_014.9) && !is_due(1_015.1));
    assert!(
        !is_expired(&SETTINGS, window, s(1_020.0)) && is_expired(&SETTINGS, window, s(1_036.0))
    );
}

/// A sealed record decodes to the same counts, and its key to the window.
#[test]
fn sealed_record() {
    let mut tally = Tally::default();
    tally.count(3, &"b".into());
    tally.count(3, &"a".into());
    let sealed = Sealed::new(&window_sum([&tally], 3));
    assert_eq!(Sealed::decode(&sealed.encode()), Some(sealed));
    assert_eq!(window_in(&key(3)), Some(3));
    assert_eq!(window_in("agate/sealed/x"), None);
}
