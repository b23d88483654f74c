//! When an instance writes its own counts although it sends them to coordinators.

use {
    agate_leader::counter::UsageCounter,
    std::{
        thread::sleep,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const LENGTH: Duration = Duration::from_millis(400);
const MAX_UNSHARED: Duration = Duration::from_millis(150);
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Waits for the beginning of a window, so that a count lies well within it.
fn wait_for_window() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let into = Duration::from_nanos((now.as_nanos() % LENGTH.as_nanos()) as u64);
    sleep(LENGTH - into + Duration::from_millis(1));
}

fn write_due(counter: &UsageCounter) -> bool {
    counter.due_write(MAX_UNSHARED, SETTLE_TIME).is_some()
}

/// Counts that no other instance has are written soon.
#[test]
fn unshared_counts() {
    let counter = UsageCounter::new(LENGTH);
    assert!(!write_due(&counter));
    counter.count(&"x".into());
    sleep(MAX_UNSHARED);
    assert!(write_due(&counter));
    counter.mark_held(1);
    assert!(!write_due(&counter));
}

/// Failed writes must back off, longer with each consecutive failure.
#[test]
fn write_backoff() {
    let counter = UsageCounter::new(LENGTH);
    counter.count(&"x".into());
    sleep(MAX_UNSHARED);
    assert!(write_due(&counter));
    let (first, most) = (Duration::from_secs(1_000), Duration::from_secs(3_600));
    let pauses = [(); 4].map(|()| counter.on_write_failed(first, most).as_secs());
    assert_eq!(pauses, [1_000, 2_000, 3_600, 3_600]);
    assert!(!write_due(&counter));
    assert!(counter.unreported().is_some(), "a shutdown ignores the backoff");
    counter.on_write_failed(Duration::ZERO, most);
    assert!(write_due(&counter));
    counter.mark_held(1);
    assert_eq!(counter.on_write_failed(first, most), first);
}

/// Counts that a coordinator has, but not the lease holder, are written only after their window is
/// over.
#[test]
fn copied_only() {
    let counter = UsageCounter::new(Duration::from_secs(1_000_000_000));
    counter.count(&"x".into());
    counter.mark_copied(1);
    sleep(MAX_UNSHARED);
    assert!(!write_due(&counter), "the window is not over");
    let counter = UsageCounter::new(LENGTH);
    wait_for_window();
    counter.count(&"x".into());
    counter.mark_copied(1);
    sleep(LENGTH + SETTLE_TIME);
    assert!(write_due(&counter), "the lease holder needs them for its report");
    counter.mark_held(1);
    assert!(!write_due(&counter));
}

/// A shutdown writes all counts that the lease holder lacks.
#[test]
fn shutdown_write() {
    let counter = UsageCounter::new(LENGTH);
    assert!(counter.unreported().is_none());
    counter.count(&"x".into());
    counter.mark_copied(1);
    assert!(counter.unreported().is_some());
    counter.mark_held(1);
    assert!(counter.unreported().is_none());
}
