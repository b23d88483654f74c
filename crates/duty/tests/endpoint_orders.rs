//! Which endpoints are ordered: reclaimable ones first, lasting ones where there are none.

use {
    agate_duty::order::{Answer, Order, State, TRY_AGAIN, UNSEEN, plan},
    agate_view::{
        roster::Entry,
        table::{Parts, Scaling, Service, Table},
    },
    indexmap::IndexMap,
    rstest::rstest,
    std::time::Duration,
};

const BOOT: Duration = Duration::from_secs(4);

fn table(spot: Option<f64>, max: u32) -> Table {
    let prices = IndexMap::from([("a".into(), 1.0), ("b".into(), 0.8)]);
    let scaling = Some(Scaling { min: 1, max, boot: BOOT, spot, prices });
    let service = Service { connections: 140, scaling, ..Service::default() };
    Table::new(Parts { services: IndexMap::from([("model".into(), service)]), ..Parts::default() })
}

fn entry(name: &str, zone: &str, spot: bool) -> Entry {
    Entry {
        name: name.into(),
        service: "model".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: None,
        spot,
    }
}

fn entries(zone: &str, lasting: usize, spot: usize) -> Vec<Entry> {
    let one = |kind: &str, i: usize| entry(&format!("{zone}-{kind}-{i}"), zone, kind == "spot");
    (0..lasting).map(|i| one("lasting", i)).chain((0..spot).map(|i| one("spot", i))).collect()
}

fn in_zone(orders: &[Order], zone: &str) -> Vec<(bool, u32)> {
    orders.iter().filter(|o| &*o.subject.zone == zone).map(|o| (o.spot, o.count)).collect()
}

/// Pattern: lasting endpoints serve at the start. They go only once reclaimable ones serve.
#[test]
fn replaces_lasting() {
    let (table, state, now) = (table(Some(0.15), 4), State::default(), Duration::from_secs(100));
    let both = |a: Vec<Entry>| [a, entries("b", 0, 4)].concat();
    let first = plan(&state, &table, &both(entries("a", 2, 0)), now);
    assert_eq!(in_zone(&first, "a"), [(true, 2)], "as many as fit beside the lasting ones");
    assert_eq!(in_zone(&first, "b"), [], "nothing to do there");
    let next = plan(&state, &table, &both(entries("a", 2, 2)), now);
    assert_eq!(in_zone(&next, "a"), [(false, 0)], "the lasting ones are given back");
    let last = plan(&state, &table, &both(entries("a", 0, 2)), now);
    assert_eq!(in_zone(&last, "a"), [(true, 4)]);
}

/// Pattern: a zone loses all reclaimable endpoints and gets no more.
#[test]
fn scarce_zone() {
    let table = table(Some(0.15), 4);
    let (mut state, now) = (State::default(), Duration::from_secs(100));
    let orders = plan(&state, &table, &entries("b", 0, 4), now);
    assert_eq!(in_zone(&orders, "a"), [(true, 4)]);
    state.answered(&orders[0], Answer::Scarce, now);
    let orders = plan(&state, &table, &entries("b", 0, 4), now);
    assert_eq!(in_zone(&orders, "a"), [(false, 2)], "lasting ones take their place");
    state.answered(&orders[0], Answer::Accepted, now);
    let later = now + TRY_AGAIN;
    let orders = plan(&state, &table, &entries("b", 0, 4), later);
    assert_eq!(in_zone(&orders, "a"), [(true, 2)], "reclaimable ones are tried again");
    state.answered(&orders[0], Answer::Accepted, later);
    let orders = plan(&state, &table, &[entries("a", 2, 2), entries("b", 0, 4)].concat(), later);
    assert_eq!(in_zone(&orders, "a"), [(false, 0)]);
}

/// An accepted order is not repeated before its endpoints can have come, an unknown one is.
#[rstest]
#[case(Answer::Accepted, false)]
#[case(Answer::Unknown, true)]
fn repeated_orders(#[case] answer: Answer, #[case] repeated: bool) {
    let table = table(Some(0.15), 4);
    let (mut state, now) = (State::default(), Duration::from_secs(100));
    for order in plan(&state, &table, &[], now) {
        state.answered(&order, answer, now);
    }
    let soon = plan(&state, &table, &[], now + Duration::from_secs(1));
    assert_eq!(!soon.is_empty(), repeated, "{soon:?}");
    assert!(!plan(&state, &table, &[], now + BOOT + UNSEEN).is_empty());
}

/// Without a reclaimable kind the number of lasting endpoints stays what it is at least.
#[test]
fn lasting_only() {
    let (table, state) = (table(None, 4), State::default());
    let orders = plan(&state, &table, &entries("a", 2, 0), Duration::from_secs(100));
    assert_eq!(in_zone(&orders, "a"), []);
    assert_eq!(in_zone(&orders, "b"), [(false, 2)]);
}
