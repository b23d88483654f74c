//! Verification of the limits of ordering endpoints for a pool.

use {
    agate_config::{Document, doc::PoolKind, parse, verify},
    rstest::rstest,
};

const SAVIKODA: &str = include_str!("../../../examples/savikoda.yaml");
const ORDERS: &str = "orders: {zones: [harju-a], max: 4, prices: {standard: 1, cheap: 0.4}, \
                      budget: 3, rate: 2000, lag: 3m}";

fn document(from: &str, to: &str) -> Document {
    let orders = ORDERS.replacen(from, to, 1);
    let text = SAVIKODA.replacen("slots: 32", &format!("slots: 32, {orders}"), 1);
    parse(&text).expect("it parses")
}

#[test]
fn valid_orders() {
    let doc = document("", "");
    assert_eq!(verify(&doc), []);
    assert_eq!(doc.fleet.pools["glaze-oracle"].orders.as_ref().map(|o| o.max), Some(4));
}

#[rstest]
#[case("[harju-a]", "[harju-z]", "zones")]
#[case("[harju-a]", "[harju-a, harju-a]", "zones")]
#[case("[harju-a]", "[]", "zones")]
#[case("max: 4", "max: 0", "max")]
#[case("max: 4", "min: 5, max: 4", "max")]
#[case("max: 4", "max: 4, kinds: []", "kinds")]
#[case("cheap: 0.4", "cheap: 0", "prices.cheap")]
#[case("budget: 3", "budget: -1", "budget")]
#[case("rate: 2000", "rate: .nan", "rate")]
#[case("lag: 3m", "lag: 2h", "lag")]
fn injected_problems(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let place = format!("fleet.pools.glaze-oracle.orders.{field}");
    let found = verify(&document(from, to));
    assert!(found.iter().any(|p| p.place == place), "{found:?}");
}

#[test]
fn service_pool() {
    let mut doc = document("", "");
    doc.fleet.pools["glaze-oracle"].kind = PoolKind::Service;
    let found = verify(&doc);
    assert!(found.iter().any(|p| p.place == "fleet.pools.glaze-oracle.orders"), "{found:?}");
}
