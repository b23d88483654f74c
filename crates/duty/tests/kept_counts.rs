//! When an instance writes its own counts although coordinators are told of them.

use {
    agate_duty::counter::Counter,
    std::{
        thread::sleep,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const LENGTH: Duration = Duration::from_millis(400);
const PATIENCE: Duration = Duration::from_millis(150);
const SETTLE: Duration = Duration::from_millis(50);

/// Waits for the beginning of a window, so that a count lies well within it.
fn window_begins() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let into = Duration::from_nanos((now.as_nanos() % LENGTH.as_nanos()) as u64);
    sleep(LENGTH - into + Duration::from_millis(1));
}

fn written(counter: &Counter) -> bool {
    counter.unkept(PATIENCE, SETTLE).is_some()
}

/// Counts that nobody else has are written soon.
#[test]
fn nobody_has() {
    let counter = Counter::new(LENGTH);
    assert!(!written(&counter));
    counter.count(&"x".into());
    sleep(PATIENCE);
    assert!(written(&counter));
    counter.note_kept(1);
    assert!(!written(&counter));
}

/// After a write that failed nothing is written for a while, longer with each in a row.
#[test]
fn failed_write() {
    let counter = Counter::new(LENGTH);
    counter.count(&"x".into());
    sleep(PATIENCE);
    assert!(written(&counter));
    let (first, most) = (Duration::from_secs(1_000), Duration::from_secs(3_600));
    let pauses = [(); 4].map(|()| counter.note_unwritten(first, most).as_secs());
    assert_eq!(pauses, [1_000, 2_000, 3_600, 3_600]);
    assert!(!written(&counter));
    assert!(counter.unheld().is_some(), "a stop does not wait");
    counter.note_unwritten(Duration::ZERO, most);
    assert!(written(&counter));
    counter.note_kept(1);
    assert_eq!(counter.note_unwritten(first, most), first);
}

/// Counts that some coordinator has, but not the holder, are written only once their window is over.
#[test]
fn copied_only() {
    let counter = Counter::new(Duration::from_secs(1_000_000_000));
    counter.count(&"x".into());
    counter.note_copied(1);
    sleep(PATIENCE);
    assert!(!written(&counter), "the window goes on");
    let counter = Counter::new(LENGTH);
    window_begins();
    counter.count(&"x".into());
    counter.note_copied(1);
    sleep(LENGTH + SETTLE);
    assert!(written(&counter), "the holder must have them for its report");
    counter.note_kept(1);
    assert!(!written(&counter));
}

/// The last step of a stop writes whatever the holder lacks.
#[test]
fn at_the_end() {
    let counter = Counter::new(LENGTH);
    assert!(counter.unheld().is_none());
    counter.count(&"x".into());
    counter.note_copied(1);
    assert!(counter.unheld().is_some());
    counter.note_kept(1);
    assert!(counter.unheld().is_none());
}
