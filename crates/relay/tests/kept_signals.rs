//! What an endpoint stated about itself stays valid as long as its incarnation may live.

use {
    agate_relay::{
        fleet::{Fleet, Requirements},
        placement::{Choice, Workload},
        signal_store::{RETENTION, SignalStore},
    },
    agate_route::signals::{Change, RateSignal, Signals},
    agate_view::roster::{Entry, Stage},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

fn entry() -> Entry {
    Entry {
        name: "i-1".into(),
        service: "desk".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
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

fn choose(fleet: &Fleet) -> Result<(), Choice> {
    let service = "desk".into();
    let workload = Workload { limit: Duration::from_secs(1), ..Workload::default() };
    let chosen = fleet.choose(&Requirements {
        service: &service,
        workload,
        stage: None,
        tried: &[],
        avoided: &[],
        version: None,
        zone: None,
    });
    chosen.map(drop)
}

/// A fleet whose only endpoint has stated a rate limit. The number of instances is unknown, so no
/// request may be sent there.
fn limited_fleet() -> Fleet {
    let fleet = Fleet::new("a".into());
    fleet.install(&[entry()], None, 1);
    assert_eq!(choose(&fleet), Ok(()));
    let endpoint = fleet.services().values().flatten().next().expect("an endpoint").clone();
    fleet.on_signals(&endpoint, &Signals { rate: RateSignal::Limit(5.0), ..Signals::default() });
    assert!(matches!(choose(&fleet), Err(Choice::Withheld(_))));
    fleet
}

/// Guards against a limit that is forgotten when the endpoint's entry changes, or is missing for a
/// while although the endpoint lives.
#[rstest]
#[case::entry_missing(vec![vec![], vec![entry()]])]
#[case::marked_leaving(vec![vec![Entry { leaving: true, ..entry() }], vec![entry()]])]
#[case::other_stage(vec![vec![Entry { stage: Some(Stage::Decode), ..entry() }]])]
#[case::other_slots(vec![vec![Entry { slots: 9, ..entry() }]])]
fn limit_kept(#[case] changes: Vec<Vec<Entry>>) {
    let fleet = limited_fleet();
    for entries in changes {
        fleet.install(&entries, None, 1);
    }
    assert!(matches!(choose(&fleet), Err(Choice::Withheld(_))));
}

/// Guards against new work for an endpoint that stated that it is leaving, whatever its entry and its
/// later responses say.
#[rstest]
#[case::entry_missing(vec![vec![], vec![entry()]])]
#[case::other_stage(vec![vec![Entry { stage: Some(Stage::Decode), ..entry() }]])]
fn leaving_kept(#[case] changes: Vec<Vec<Entry>>) {
    let fleet = Fleet::new("a".into());
    fleet.install(&[entry()], None, 1);
    let endpoint = fleet.services().values().flatten().next().expect("an endpoint").clone();
    let leaving = Signals { leaving: true, ..Signals::default() };
    assert_eq!(fleet.on_signals(&endpoint, &leaving), [Change::Leaving]);
    assert_eq!(fleet.on_signals(&endpoint, &Signals::default()), []);
    assert!(fleet.leaving(&entry()));
    for entries in changes {
        fleet.install(&entries, None, 1);
        assert!(choose(&fleet).is_err());
    }
    fleet.install(&[Entry { born: Some(2), ..entry() }], None, 1);
    assert_eq!(choose(&fleet), Ok(()));
}

/// A new incarnation under the same name, or another endpoint at the address, has stated nothing.
#[rstest]
#[case::restarted(Entry { born: Some(2), ..entry() })]
#[case::other_endpoint(Entry { name: "i-2".into(), ..entry() })]
fn new_incarnation(#[case] next: Entry) {
    let fleet = limited_fleet();
    fleet.install(&[next], None, 1);
    assert_eq!(choose(&fleet), Ok(()));
}

/// Guards against statements that are kept for ever: many endpoints come and go in a day.
#[test]
fn statements_expire() {
    let mut store = SignalStore::default();
    for i in 0..10_000_u64 {
        store.list(&Entry { born: Some(i), ..entry() });
        store.end_list(Duration::from_secs(i));
    }
    assert_eq!(store.len() as u64, RETENTION.as_secs() + 1);
}

/// Guards against a retention that is counted from an old list: lists may be minutes apart.
#[test]
fn retention_begins() {
    let mut store = SignalStore::default();
    let signals = store.list(&entry());
    store.end_list(Duration::from_secs(1));
    let missing = Duration::from_secs(1_000);
    store.end_list(missing);
    store.end_list(missing + RETENTION - Duration::from_secs(1));
    assert!(Arc::ptr_eq(&signals, &store.list(&entry())));
    store.end_list(missing + RETENTION);
    store.end_list(missing + 2 * RETENTION);
    store.end_list(missing + 3 * RETENTION);
    assert!(store.is_empty());
}
