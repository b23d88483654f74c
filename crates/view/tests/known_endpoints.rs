//! Usable endpoints when entries change, expire or come back.

use {
    agate_view::roster::{Entry, Input, MIN_OUTAGE, REREGISTRATION_GRACE, Roster},
    rstest::rstest,
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(100_000 + n)
}

fn entry(name: &str, port: u16) -> Entry {
    Entry {
        name: name.into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: Some(1),
        spot: false,
    }
}

fn read(entries: &[Entry], at: u64) -> Input {
    read_in(1, entries, at)
}

fn read_in(era: u64, entries: &[Entry], at: u64) -> Input {
    Input::Read { entries: entries.to_vec(), sent: ms(at), era }
}

fn names(roster: &Roster) -> Vec<String> {
    roster.entries().map(|e| e.name.to_string()).collect()
}

/// An entry that disappears while the store responds means that the endpoint left.
#[test]
fn removed_entry() {
    let mut roster = Roster::default();
    assert!(roster.step(read(&[entry("x", 1), entry("y", 2)], 0), ms(5)));
    assert!(roster.step(read(&[entry("y", 2)], 600), ms(605)));
    assert_eq!(names(&roster), ["y"]);
}

/// Entries that expired during a store outage are retained until living endpoints must have written
/// them again, and no longer. A shorter gap between reads is no outage.
#[rstest]
#[case(MIN_OUTAGE.as_millis() as u64 + 1, true)]
#[case(MIN_OUTAGE.as_millis() as u64 - 1, false)]
fn outage_grace(#[case] away: u64, #[case] kept: bool) {
    let mut roster = Roster::default();
    roster.step(read(&[entry("x", 1), entry("y", 2)], 0), ms(0));
    roster.step(Input::Failed, ms(500));
    roster.step(read(&[entry("y", 2)], away), ms(away));
    assert_eq!(names(&roster).contains(&"x".to_owned()), kept);
    let end = away + REREGISTRATION_GRACE.as_millis() as u64;
    for at in (away + 600..end).step_by(600).chain([end]) {
        roster.step(read(&[entry("y", 2)], at), ms(at));
        assert_eq!(names(&roster).contains(&"x".to_owned()), kept && at < end, "{at}");
    }
    assert_eq!(names(&roster), ["y"], "after the grace period the list counts");
}

/// Entries that a store lacks after it came back from an older copy are retained like those that
/// expired in an outage, and an endpoint that was leaving is not used again.
#[test]
fn rollback_grace() {
    let mut roster = Roster::default();
    let leaving = Entry { leaving: true, ..entry("z", 3) };
    roster.step(read(&[entry("x", 1), entry("y", 2), leaving.clone()], 0), ms(0));
    let copy = [entry("y", 2), entry("z", 3)];
    roster.step(read_in(2, &copy, 600), ms(600));
    let usable = |roster: &Roster| {
        let usable = roster.entries().filter(|e| !e.leaving);
        usable.map(|e| e.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(usable(&roster), ["y", "x"]);
    let mut restarted = entry("z", 3);
    restarted.born = Some(2);
    let written = [entry("x", 1), entry("y", 2), restarted];
    roster.step(read_in(2, &written, 1_200), ms(1_200));
    assert_eq!(usable(&roster), ["x", "y", "z"]);
}

/// An endpoint that was seen after an outage and then leaves within the grace period must not be
/// retained.
#[test]
fn seen_after_outage() {
    let mut roster = Roster::default();
    roster.step(read(&[entry("x", 1), entry("y", 2)], 0), ms(0));
    roster.step(read(&[entry("x", 1), entry("y", 2)], 12_000), ms(12_000));
    roster.step(read(&[entry("y", 2)], 13_000), ms(13_000));
    assert_eq!(names(&roster), ["y"]);
}

/// Confirmations of other instances replace reads: an instance that read nothing for long because
/// of them saw no outage.
#[test]
fn confirmed_without_reads() {
    let mut roster = Roster::default();
    roster.step(read(&[entry("x", 1), entry("y", 2)], 0), ms(0));
    for at in (500..10_000).step_by(500) {
        roster.confirm(ms(at));
    }
    roster.step(read(&[entry("y", 2)], 10_000), ms(10_005));
    assert_eq!(names(&roster), ["y"]);
}

/// An endpoint marked as leaving must not be retained, nor one whose address another endpoint has
/// taken.
#[test]
fn never_retained() {
    let mut roster = Roster::default();
    let leaving = Entry { leaving: true, ..entry("x", 1) };
    roster.step(read(&[leaving, entry("y", 2), entry("z", 3)], 0), ms(0));
    roster.step(read(&[entry("new", 2), entry("z", 3)], 9_000), ms(9_000));
    assert_eq!(names(&roster), ["new", "z"]);
}

/// A read that arrives after a newer one changes nothing.
#[test]
fn late_read() {
    let mut roster = Roster::default();
    roster.step(read(&[entry("y", 2)], 600), ms(605));
    assert!(!roster.step(read(&[entry("x", 1)], 0), ms(700)));
    assert_eq!(names(&roster), ["y"]);
}

/// Equal sets must have equal digests in any order and whatever their remaining warm-up time.
#[test]
fn equal_digests() {
    let (mut a, mut b) = (Roster::default(), Roster::default());
    a.step(read(&[entry("x", 1), entry("y", 2)], 0), ms(0));
    let cold = Entry { cold: Duration::from_secs(2), ..entry("x", 1) };
    b.step(read(&[entry("y", 2), cold], 0), ms(0));
    assert_eq!(a.digest(), b.digest());
    b.step(read(&[Entry { leaving: true, ..entry("y", 2) }, entry("x", 1)], 1), ms(1));
    assert_ne!(a.digest(), b.digest());
}
