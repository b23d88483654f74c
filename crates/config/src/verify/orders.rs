//! Checks of the limits of ordering endpoints for pools.

use {
    super::{Problems, bounds},
    crate::doc::{Document, Orders, PoolKind},
    std::time::Duration,
};

pub fn orders(doc: &Document, problems: &mut Problems) {
    for (name, pool) in &doc.fleet.pools {
        let Some(orders) = &pool.orders else { continue };
        let place = format!("fleet.pools.{name}.orders");
        problems.check(
            pool.kind == PoolKind::Engine,
            || place.clone(),
            || "only pools of engines take orders".into(),
        );
        zones(doc, orders, &place, problems);
        numbers(orders, &place, problems);
    }
}

fn zones(doc: &Document, orders: &Orders, place: &str, problems: &mut Problems) {
    let none = orders.zones.is_empty();
    problems.check(!none, || format!("{place}.zones"), || "no availability zone is named".into());
    for (i, zone) in orders.zones.iter().enumerate() {
        let known = doc.fleet.zones.contains_key(zone);
        let at = || format!("{place}.zones");
        problems.check(known, at, || format!("no availability zone {zone:?}"));
        let first = !orders.zones[..i].contains(zone);
        problems.check(first, at, || format!("availability zone {zone:?} is named twice"));
    }
    let empty = orders.kinds.is_empty();
    problems.check(!empty, || format!("{place}.kinds"), || "no kind is named".into());
}

fn numbers(orders: &Orders, place: &str, problems: &mut Problems) {
    let (least, most) = (orders.min, bounds::ORDERED);
    problems.check(
        (least.max(1)..=most).contains(&orders.max),
        || format!("{place}.max"),
        || format!("{} is not between {} and {most}", orders.max, least.max(1)),
    );
    for (field, value) in [
        ("prices.standard", orders.prices.standard),
        ("prices.cheap", orders.prices.cheap),
        ("budget", orders.budget),
        ("rate", orders.rate),
    ] {
        let valid = value.is_finite() && value > 0.0;
        problems.check(valid, || format!("{place}.{field}"), || format!("{value} is not above 0"));
    }
    for (field, value) in [("lag", orders.lag), ("hold", orders.hold)] {
        let valid = (Duration::from_secs(1)..=bounds::LAG).contains(&value);
        let text = || format!("{value:?} is not between 1s and {:?}", bounds::LAG);
        problems.check(valid, || format!("{place}.{field}"), text);
    }
}
