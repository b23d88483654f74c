//! Times for which nothing confirmed a part of the local view.

use {
    agate_view::{
        LocalView,
        local_view::{LastConfirmed, MIN_GAP},
    },
    std::time::Duration,
};

const START: Duration = Duration::from_secs(100);

/// Only a long time between two confirmations is a gap, and the latest one is remembered.
#[test]
fn long_gaps() {
    let confirmed = LastConfirmed::default();
    confirmed.confirm(START);
    assert_eq!(confirmed.gap(), Some(Duration::ZERO..START));
    confirmed.confirm(START + MIN_GAP);
    assert_eq!(confirmed.gap(), Some(Duration::ZERO..START));
    let after = START + MIN_GAP * 5;
    confirmed.confirm(after);
    assert_eq!(confirmed.gap(), Some(START + MIN_GAP..after));
    // An older confirmation that arrives late.
    confirmed.confirm(START);
    assert_eq!((confirmed.gap(), confirmed.at()), (Some(START + MIN_GAP..after), Some(after)));
}

/// Guards against a confirmation of the entries that is applied to others than those in force.
#[test]
fn other_entries() {
    let view = LocalView::new();
    assert_eq!(view.entries_held(0), None);
    view.install_entries(Vec::new(), 7);
    assert_eq!(view.entries_held(7), None);
    view.roster.confirm(START);
    assert_eq!((view.entries_held(7), view.entries_held(8)), (Some(START), None));
    view.agreed.confirm(START + MIN_GAP);
    assert_eq!(view.entries_held(7), Some(START + MIN_GAP));
}
