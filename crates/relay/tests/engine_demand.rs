//! Demand follows what callers ask for, served or not.

use {
    agate_relay::demand::{Class, Demand, MEMORY, hold},
    std::time::Duration,
};

/// Pattern: traffic shifts between long prompts and long answers within seconds.
#[test]
fn follows_shift() {
    let mut demand = Demand::default();
    for _ in 0..400 {
        demand.on_generated(Class::Short, Duration::from_millis(3_500));
        demand.on_generated(Class::Long, Duration::from_millis(25));
        demand.on_read(Duration::from_millis(9));
    }
    let mut at = Duration::ZERO;
    let mut run = |demand: &mut Demand, class, per_second: u32| {
        for _ in 0..per_second * 6 {
            at += Duration::from_secs(1) / per_second;
            demand.on_request(class, at);
        }
        demand.asked(at)
    };
    let long = run(&mut demand, Class::Long, 200);
    assert!((1.5..2.1).contains(&long.reading), "{long:?}");
    assert!((4.0..6.0).contains(&long.slots), "{long:?}");
    let short = run(&mut demand, Class::Short, 8);
    assert!(short.reading < 0.1, "{short:?}");
    assert!((22.0..34.0).contains(&short.slots), "{short:?}");
}

/// Demand that ended is forgotten.
#[test]
fn fades() {
    let mut demand = Demand::default();
    demand.on_request(Class::Long, Duration::ZERO);
    let asked = demand.asked(MEMORY * 8);
    assert!(asked.reading < 1e-4 && asked.slots < 1e-4, "{asked:?}");
}

/// Pattern: short prompts on engines of many slots. While an engine reads one, all its slots wait, so
/// the demand for slots must not look small because few are taken.
#[test]
fn reading_takes_all_slots() {
    let (run, reading) = (Duration::from_millis(100), Duration::from_millis(40));
    assert_eq!(hold(run, reading, 64), reading * 64);
    assert_eq!(hold(run, Duration::from_millis(1), 6), run, "a quick reading changes nothing");
}
