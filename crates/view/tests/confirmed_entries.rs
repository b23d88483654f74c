//! An instance confirms only entries that the store shows.

use {
    agate_view::{
        LocalView, clock,
        roster::{Entry, Input, Roster},
    },
    std::time::Duration,
};

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
        born: None,
        spot: false,
    }
}

fn install_roster(view: &LocalView, roster: &Roster) {
    let entries = roster.entries().cloned().collect();
    view.set_retained(roster.missing().cloned().collect());
    view.install_entries(entries, roster.digest());
    view.roster.confirm(clock::now());
}

/// The active coordinator alone loses the store while an endpoint leaves. After its outage it
/// retains the endpoint for a while, and must not confirm this set to instances with newer data.
#[test]
fn own_outage() {
    let (view, mut roster) = (LocalView::new(), Roster::default());
    assert!(view.confirmed_roster().is_none(), "nothing is known");
    let read = |entries: Vec<Entry>, at: u64| Input::Read {
        entries,
        sent: Duration::from_secs(at),
        era: 0,
    };
    roster.step(read(vec![entry("x", 1), entry("y", 2)], 100), Duration::from_secs(100));
    install_roster(&view, &roster);
    assert_eq!(view.confirmed_roster().map(|(digest, _)| digest), Some(roster.digest()));
    roster.step(read(vec![entry("y", 2)], 106), Duration::from_secs(106));
    assert_eq!(roster.missing().count(), 1);
    install_roster(&view, &roster);
    assert!(view.confirmed_roster().is_none());
    for at in [107, 108, 109] {
        roster.step(read(vec![entry("y", 2)], at), Duration::from_secs(at));
    }
    install_roster(&view, &roster);
    assert!(view.confirmed_roster().is_some(), "the grace period is over");
}
