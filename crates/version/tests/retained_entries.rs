//! Instances agree on the splits although some of them retain endpoints after a store outage.

use {
    agate_core::Mono,
    agate_version::Split,
    agate_view::{
        Entry, LocalView,
        roster::{Input, MIN_OUTAGE, Roster},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

fn entry(number: u16, version: &str) -> Entry {
    Entry {
        name: format!("i{number}").into(),
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        zone: "a".into(),
        version: version.into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: Some(1),
        spot: false,
    }
}

/// View of an instance that reads `lists` at these times.
fn view(lists: &[(Mono, &[Entry])]) -> Arc<LocalView> {
    let (view, mut roster) = (LocalView::new(), Roster::default());
    for (at, entries) in lists {
        roster.step(Input::Read { entries: entries.to_vec(), sent: *at, era: 1 }, *at);
        view.set_retained(roster.missing().cloned().collect());
        view.install_entries(roster.entries().cloned().collect(), roster.digest());
    }
    view
}

/// Guards against streams of two versions when an instance computes with endpoints that it retains after
/// an outage, and which one that has started since does not know.
#[test]
fn started_after_outage() {
    let all = [entry(1, "v1"), entry(2, "v2")];
    let (before, after) = (Duration::from_secs(10), Duration::from_secs(11) + MIN_OUTAGE);
    let retaining = view(&[(before, &all), (after, &all[..1])]);
    assert_eq!(retaining.entries.load().len(), 2, "the endpoint is used");
    let started = view(&[(after, &all[..1])]);
    let splits = |view: &LocalView| Split::of_services(&view.stored_entries());
    assert_eq!(splits(&retaining), splits(&started));
    // The endpoint is back.
    let returned = view(&[(before, &all), (after, &all[..1]), (after, &all)]);
    assert_eq!(splits(&returned), Split::of_services(&all));
}
