//! Endpoint orders: spot endpoints first, on-demand ones where there are none.

use {
    agate_leader::order::{
        Order, OrderOutcome, OrderState, RESEND_DELAY, SCARCE_RETRY, plan_orders,
    },
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
        version: "v1".into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: None,
        spot,
    }
}

fn entries(zone: &str, on_demand: usize, spot: usize) -> Vec<Entry> {
    let one = |kind: &str, i: usize| entry(&format!("{zone}-{kind}-{i}"), zone, kind == "spot");
    (0..on_demand).map(|i| one("lasting", i)).chain((0..spot).map(|i| one("spot", i))).collect()
}

fn in_zone(orders: &[Order], zone: &str) -> Vec<(bool, u32)> {
    orders.iter().filter(|o| &*o.subject.zone == zone).map(|o| (o.spot, o.count)).collect()
}

/// On-demand endpoints that serve at the start must not be released before spot ones serve.
#[test]
fn replaced_on_demand() {
    let (table, state, now) =
        (table(Some(0.15), 4), OrderState::default(), Duration::from_secs(100));
    let both = |a: Vec<Entry>| [a, entries("b", 0, 4)].concat();
    let first = plan_orders(&state, &table, &both(entries("a", 2, 0)), now);
    assert_eq!(in_zone(&first, "a"), [(true, 2)], "as many as fit beside the on-demand ones");
    assert_eq!(in_zone(&first, "b"), [], "zone b needs no order");
    let next = plan_orders(&state, &table, &both(entries("a", 2, 2)), now);
    assert_eq!(in_zone(&next, "a"), [(false, 0)], "the on-demand ones are released");
    let last = plan_orders(&state, &table, &both(entries("a", 0, 2)), now);
    assert_eq!(in_zone(&last, "a"), [(true, 4)]);
}

/// A zone loses all spot endpoints and has no spot capacity: on-demand ones replace them until spot
/// ones are back.
#[test]
fn missing_spot_capacity() {
    let table = table(Some(0.15), 4);
    let (mut state, now) = (OrderState::default(), Duration::from_secs(100));
    let orders = plan_orders(&state, &table, &entries("b", 0, 4), now);
    assert_eq!(in_zone(&orders, "a"), [(true, 4)]);
    state.on_outcome(&orders[0], OrderOutcome::Scarce, now);
    let orders = plan_orders(&state, &table, &entries("b", 0, 4), now);
    assert_eq!(in_zone(&orders, "a"), [(false, 2)], "on-demand ones replace them");
    state.on_outcome(&orders[0], OrderOutcome::Accepted, now);
    let later = now + SCARCE_RETRY;
    let orders = plan_orders(&state, &table, &entries("b", 0, 4), later);
    assert_eq!(in_zone(&orders, "a"), [(true, 2)], "spot ones are tried again");
    state.on_outcome(&orders[0], OrderOutcome::Accepted, later);
    let orders =
        plan_orders(&state, &table, &[entries("a", 2, 2), entries("b", 0, 4)].concat(), later);
    assert_eq!(in_zone(&orders, "a"), [(false, 0)]);
}

/// An accepted order must not be repeated before its endpoints can have started; one with an
/// unknown outcome is repeated.
#[rstest]
#[case(OrderOutcome::Accepted, false)]
#[case(OrderOutcome::Unknown, true)]
fn repeated_orders(#[case] outcome: OrderOutcome, #[case] repeated: bool) {
    let table = table(Some(0.15), 4);
    let (mut state, now) = (OrderState::default(), Duration::from_secs(100));
    for order in plan_orders(&state, &table, &[], now) {
        state.on_outcome(&order, outcome, now);
    }
    let soon = plan_orders(&state, &table, &[], now + Duration::from_secs(1));
    assert_eq!(!soon.is_empty(), repeated, "{soon:?}");
    assert!(!plan_orders(&state, &table, &[], now + BOOT + RESEND_DELAY).is_empty());
}

/// Without spot endpoints the number of on-demand ones must not drop.
#[test]
fn on_demand_only() {
    let (table, state) = (table(None, 4), OrderState::default());
    let orders = plan_orders(&state, &table, &entries("a", 2, 0), Duration::from_secs(100));
    assert_eq!(in_zone(&orders, "a"), []);
    assert_eq!(in_zone(&orders, "b"), [(false, 2)]);
}
