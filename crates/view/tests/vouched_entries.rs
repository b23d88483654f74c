//! An instance vouches only for entries that the store shows.

use {
    agate_view::{
        Belief, clock,
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
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: None,
        spot: false,
    }
}

fn install(belief: &Belief, roster: &Roster) {
    let entries = roster.entries().cloned().collect();
    belief.set_graced(roster.missing() > 0);
    belief.install(entries, roster.digest());
    belief.roster.note(clock::now());
}

/// Pattern: the first coordinator alone is cut off from the store while an endpoint leaves. On its
/// return it keeps the endpoint for a while, which must not reach those that know better.
#[test]
fn own_outage() {
    let (belief, mut roster) = (Belief::new(), Roster::default());
    assert!(belief.vouched_roster().is_none(), "nothing is known");
    let read =
        |entries: Vec<Entry>, at: u64| Input::Read { entries, sent: Duration::from_secs(at) };
    roster.step(read(vec![entry("x", 1), entry("y", 2)], 100), Duration::from_secs(100));
    install(&belief, &roster);
    assert_eq!(belief.vouched_roster().map(|(digest, _)| digest), Some(roster.digest()));
    roster.step(read(vec![entry("y", 2)], 106), Duration::from_secs(106));
    assert_eq!(roster.missing(), 1);
    install(&belief, &roster);
    assert!(belief.vouched_roster().is_none());
    for at in [107, 108, 109] {
        roster.step(read(vec![entry("y", 2)], at), Duration::from_secs(at));
    }
    install(&belief, &roster);
    assert!(belief.vouched_roster().is_some(), "the grace is over");
}
